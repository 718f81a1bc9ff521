// In-memory model of the platform's metadata store: items, leases and history.
// Its operations return the store's HTTP responses.
#pragma once

#include "net/http_server.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace daisytrail
{

// An item, or the tombstone of a deleted item.
struct platform_item
{
    std::string key_;
    std::string value_;
    std::int64_t revision_ = 0;
    std::int64_t create_revision_ = 0;
    std::int64_t lease_id_ = 0;
    bool deleted_ = false;
};

class platform_database
{
public:
    void put(std::string const& key, std::string value, std::int64_t lease_id);

    http_response read_key(std::string const& key) const;
    http_response read_range(std::string const& prefix) const;
    http_response transact(boost::json::object const& body);
    http_response grant_lease(boost::json::object const& body);
    http_response renew_lease(std::int64_t id);

    // Deletes expired leases and the items that they hold.
    void expire_leases();

    // Returns the changes under a prefix after a revision.
    boost::json::array events(std::string const& prefix,
                              std::int64_t after) const;

    void drop_history();
    bool has_history(std::int64_t after) const;

    // Keeps a copy of the items, the history and the counters.
    void save_copy();

    // Goes back to the copy: later writes are lost, all leases end, and
    // revisions and lease numbers are given out again.
    void restore_copy();

    std::int64_t revision() const
    {
        return now_.revision_;
    }

    // Number of the history; rises with each restoration.
    std::int64_t era() const
    {
        return era_;
    }

private:
    struct lease
    {
        std::chrono::milliseconds time_to_live_;
        std::chrono::steady_clock::time_point expires_at_;
    };

    bool revision_matches(boost::json::object const& row,
                          boost::json::array& current) const;
    bool leases_exist(boost::json::array const& writes) const;
    void apply(boost::json::object const& body);
    void remove(std::string const& key);
    void record(platform_item change);

    // The part of the state that a copy has.
    struct contents
    {
        std::map<std::string, platform_item> items_;
        std::deque<platform_item> history_;
        std::int64_t revision_ = 1;
        std::int64_t history_start_ = 1; // first revision in the history
        std::int64_t last_lease_ = 0;
    };

    contents now_;
    contents copy_;
    std::map<std::int64_t, lease> leases_;
    std::int64_t era_ = 1;
};

} // namespace daisytrail
