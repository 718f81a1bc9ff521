// Client of the configuration store over the etcd v3 JSON gateway.
#pragma once

#include "net/http_server.hpp"

#include <daisytrail/store.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <memory>
#include <vector>

namespace daisytrail
{

namespace detail
{
class watch_stream;
}

// Sends each call once, to one endpoint. After a call without a complete
// response and after the end of a watch, the next call goes to the next
// endpoint. Retries and backoff are left to the user of this class, because
// only the user knows which calls may be repeated.
class etcd_store : public config_store
{
public:
    // Throws error(invalid_argument) if `endpoints` is empty.
    etcd_store(boost::asio::io_context& io, std::vector<endpoint> endpoints);
    ~etcd_store() override;

    void range(std::string const& prefix, std::size_t limit,
               store_handler handler) override;
    void swap(std::vector<store_comparison> comparisons,
              std::vector<store_write> writes, store_handler handler) override;
    void grant_lease(std::chrono::seconds time_to_live,
                     store_handler handler) override;
    void keep_alive(std::int64_t lease, store_handler handler) override;
    // `progress_interval` is ignored: the gateway sends no progress
    // notifications.
    void watch(std::string const& prefix, revision from,
               std::chrono::milliseconds progress_interval,
               store_handler handler) override;

    void cancel_watches() override;

    // Returns the number of calls started so far. A watch counts as one call.
    std::uint64_t calls() const
    {
        return calls_;
    }

private:
    using reader = store_answer (*)(boost::json::value const&);

    // A read of a prefix, page by page.
    struct paged_read
    {
        std::string prefix_;
        std::string next_key_;         // first key of the next page
        std::size_t wanted_ = 0;       // entries in all
        std::size_t page_entries_ = 0; // of the next page, at most
        store_answer answer_;          // of the pages read so far
        store_handler handler_;
    };

    void read_page(std::shared_ptr<paged_read> const& read);
    void on_page(std::shared_ptr<paged_read> const& read, store_answer page);
    void call(char const* path, boost::json::object const& body, bool is_write,
              reader read, store_handler handler);
    http_request make_request(char const* path,
                              boost::json::object const& body) const;

    boost::asio::io_context& io_;
    std::vector<endpoint> endpoints_;  // never empty
    std::size_t current_endpoint_ = 0; // index of the endpoint in use
    std::uint64_t calls_ = 0;
    std::vector<std::weak_ptr<detail::watch_stream>> watches_;
    std::shared_ptr<bool> alive_; // its expiry disables pending handlers
};

} // namespace daisytrail
