// Sends calls and watches to the etcd v3 JSON gateway.
#include "store/etcd_store.hpp"

#include "net/http_call.hpp"
#include "store/etcd_codec.hpp"
#include "store/watch_stream.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace daisytrail
{

namespace
{

namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::chrono::milliseconds call_timeout{2'000};

// Maximum length of an answer. The store takes values of up to 1.5 MiB, which
// are base64 text in an answer.
constexpr std::size_t max_answer_bytes = 4ULL << 20U;

// Entries that one page of a read holds at most. A page that would exceed
// max_answer_bytes is read again with half as many.
constexpr std::size_t max_page_entries = 256;

constexpr unsigned status_ok = 200;

store_answer failed(error_kind kind, std::string detail)
{
    store_answer answer;
    answer.error_ = kind;
    answer.detail_ = std::move(detail);
    return answer;
}

// Decodes a response. An undecodable response leaves open whether a write took
// effect, so that the caller chooses the kind of error.
store_answer read_answer(std::string const& text,
                         store_answer (*read)(json::value const&),
                         error_kind unreadable_kind)
{
    try
    {
        return read(json::parse(text));
    }
    catch (std::exception const& failure)
    {
        return failed(unreadable_kind,
                      std::string("invalid response: ") + failure.what());
    }
}

store_answer to_answer(endpoint const& peer, http_outcome const& outcome,
                       bool is_write, store_answer (*read)(json::value const&))
{
    auto const kind_after_sending =
        is_write ? error_kind::outcome_unknown : error_kind::unavailable;
    if (outcome.error_)
    {
        bool const is_undetermined =
            *outcome.error_ == error_kind::outcome_unknown ||
            (is_write && *outcome.error_ == error_kind::limit_exceeded);
        return failed(is_undetermined ? kind_after_sending : *outcome.error_,
                      "configuration store " + to_string(peer) + ": " +
                          outcome.detail_);
    }
    auto const status = outcome.response_.result_int();
    if (status != status_ok)
    {
        return failed(kind_after_sending,
                      "the store answered " + std::to_string(status));
    }
    auto answer =
        read_answer(outcome.response_.body(), read, kind_after_sending);
    answer.transfer_ = {outcome.response_.body().size(),
                        outcome.transfer_time_};
    return answer;
}

} // namespace

etcd_store::etcd_store(boost::asio::io_context& io,
                       std::vector<endpoint> endpoints)
    : io_(io), endpoints_(std::move(endpoints)),
      alive_(std::make_shared<bool>(true))
{
    if (endpoints_.empty())
    {
        throw error(error_kind::invalid_argument,
                    "at least one endpoint of the store is required");
    }
}

etcd_store::~etcd_store()
{
    cancel_watches();
}

void etcd_store::range(std::string const& prefix, std::size_t limit,
                       store_handler handler)
{
    auto read = std::make_shared<paged_read>();
    read->prefix_ = prefix;
    read->next_key_ = prefix;
    read->wanted_ =
        limit == 0 ? std::numeric_limits<std::size_t>::max() : limit;
    read->page_entries_ = max_page_entries;
    read->handler_ = std::move(handler);
    read_page(read);
}

void etcd_store::read_page(std::shared_ptr<paged_read> const& read)
{
    read->page_entries_ = std::min(
        read->page_entries_, read->wanted_ - read->answer_.entries_.size());
    call(
        "/v3/kv/range",
        detail::range_body(read->prefix_, read->next_key_, read->page_entries_),
        false, detail::read_range,
        [this, alive = std::weak_ptr(alive_), read](store_answer page)
        {
            if (alive.expired())
            {
                read->handler_(failed(error_kind::unavailable,
                                      "the client of the store has ended"));
                return;
            }
            on_page(read, std::move(page));
        });
}

// The answer tells the revision of the first page. Later pages may be newer; a
// watch from that revision reports their changes again.
void etcd_store::on_page(std::shared_ptr<paged_read> const& read,
                         store_answer page)
{
    if (page.error_ == error_kind::limit_exceeded && read->page_entries_ > 1)
    {
        read->page_entries_ /= 2;
        read_page(read);
        return;
    }
    auto& whole = read->answer_;
    bool const is_first = read->next_key_ == read->prefix_;
    if (!page.error_ && !is_first && page.generation_ != whole.generation_)
    {
        page = failed(error_kind::unavailable,
                      "the store was restored between two pages");
    }
    if (page.error_)
    {
        read->handler_(std::move(page));
        return;
    }
    auto const count = page.entries_.size();
    auto entries = std::exchange(page.entries_, {});
    if (is_first)
    {
        whole = std::move(page);
    }
    whole.entries_.insert(whole.entries_.end(),
                          std::make_move_iterator(entries.begin()),
                          std::make_move_iterator(entries.end()));
    if (count < read->page_entries_ || whole.entries_.size() >= read->wanted_)
    {
        read->handler_(std::move(whole));
        return;
    }
    read->next_key_ = whole.entries_.back().key_ + '\0';
    read_page(read);
}

void etcd_store::swap(std::vector<store_comparison> comparisons,
                      std::vector<store_write> writes, store_handler handler)
{
    call("/v3/kv/txn", detail::swap_body(comparisons, writes), true,
         detail::read_swap, std::move(handler));
}

void etcd_store::grant_lease(std::chrono::seconds time_to_live,
                             store_handler handler)
{
    call("/v3/lease/grant", {{"TTL", std::to_string(time_to_live.count())}},
         true, detail::read_grant, std::move(handler));
}

void etcd_store::keep_alive(std::int64_t lease, store_handler handler)
{
    call("/v3/lease/keepalive", {{"ID", std::to_string(lease)}}, false,
         detail::read_keep_alive, std::move(handler));
}

void etcd_store::watch(std::string const& prefix, revision from,
                       std::chrono::milliseconds /*progress_interval*/,
                       store_handler handler)
{
    ++calls_;
    auto const shared_handler =
        std::make_shared<store_handler>(std::move(handler));
    auto const has_ended = std::make_shared<bool>(false);
    auto stream = std::make_shared<detail::watch_stream>(
        io_,
        [shared_handler, has_ended](std::string const& line)
        {
            if (*has_ended)
            {
                return;
            }
            auto answer =
                read_answer(line, detail::read_watch, error_kind::unavailable);
            *has_ended = answer.error_.has_value();
            (*shared_handler)(std::move(answer));
        },
        [this, shared_handler, has_ended,
         alive = std::weak_ptr(alive_)](std::string const& detail)
        {
            if (!alive.expired())
            {
                current_endpoint_ = (current_endpoint_ + 1) % endpoints_.size();
            }
            if (!std::exchange(*has_ended, true))
            {
                (*shared_handler)(failed(error_kind::unavailable, detail));
            }
        });
    std::erase_if(watches_,
                  [](auto const& handle) { return handle.expired(); });
    watches_.push_back(stream);
    stream->start(endpoints_[current_endpoint_],
                  make_request("/v3/watch", detail::watch_body(prefix, from)));
}

void etcd_store::cancel_watches()
{
    for (auto const& handle : watches_)
    {
        if (auto const stream = handle.lock())
        {
            stream->cancel();
        }
    }
    watches_.clear();
}

void etcd_store::call(char const* path, json::object const& body, bool is_write,
                      reader read, store_handler handler)
{
    ++calls_;
    async_http_call(
        io_, endpoints_[current_endpoint_], make_request(path, body),
        http_call_options{call_timeout, max_answer_bytes},
        [this, peer = endpoints_[current_endpoint_],
         alive = std::weak_ptr(alive_), is_write, read,
         handler = std::move(handler)](http_outcome const& outcome)
        {
            bool const is_endpoint_at_fault =
                outcome.error_ && outcome.error_ != error_kind::limit_exceeded;
            if (is_endpoint_at_fault && !alive.expired())
            {
                current_endpoint_ = (current_endpoint_ + 1) % endpoints_.size();
            }
            handler(to_answer(peer, outcome, is_write, read));
        });
}

http_request etcd_store::make_request(char const* path,
                                      json::object const& body) const
{
    http_request request{http::verb::post, path, 11};
    request.set(http::field::host, to_string(endpoints_[current_endpoint_]));
    request.set(http::field::content_type, "application/json");
    request.body() = json::serialize(body);
    request.prepare_payload();
    return request;
}

} // namespace daisytrail
