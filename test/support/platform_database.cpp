// Reads, transactions, leases and history of the metadata store's model.
#include "support/platform_database.hpp"

#include "store/etcd_codec.hpp"

#include <set>

namespace daisytrail
{

namespace
{

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

json::object to_json(platform_item const& from)
{
    if (from.deleted_)
    {
        return {{"key", from.key_},
                {"revision", from.revision_},
                {"tombstone", true}};
    }
    return {{"key", from.key_},
            {"value", detail::encode_base64(from.value_)},
            {"revision", from.revision_},
            {"createRevision", from.create_revision_},
            {"lease", from.lease_id_}};
}

http_response answer(unsigned status, json::object const& body)
{
    return make_response(status, json::serialize(body));
}

} // namespace

void platform_database::put(std::string const& key, std::string value,
                            std::int64_t lease_id)
{
    auto const held = now_.items_.find(key);
    auto const next = now_.revision_ + 1;
    auto const created =
        held == now_.items_.end() ? next : held->second.create_revision_;
    record({key, std::move(value), next, created, lease_id, false});
}

http_response platform_database::read_key(std::string const& key) const
{
    auto const found = now_.items_.find(key);
    if (found == now_.items_.end())
    {
        return answer(404, {});
    }
    auto body = to_json(found->second);
    body["storeRevision"] = now_.revision_;
    return answer(200, body);
}

http_response platform_database::read_range(std::string const& prefix) const
{
    json::array list;
    for (auto at = now_.items_.lower_bound(prefix);
         at != now_.items_.end() && at->first.starts_with(prefix); ++at)
    {
        list.push_back(to_json(at->second));
    }
    return answer(200, {{"items", list},
                        {"truncated", false},
                        {"storeRevision", now_.revision_}});
}

bool platform_database::revision_matches(json::object const& row,
                                         json::array& current) const
{
    std::string const key(row.at("key").as_string());
    auto const found = now_.items_.find(key);
    if (found != now_.items_.end())
    {
        current.push_back(to_json(found->second));
    }
    auto const held = found == now_.items_.end() ? 0 : found->second.revision_;
    return held == row.at("revision").to_number<std::int64_t>();
}

bool platform_database::leases_exist(json::array const& writes) const
{
    for (auto const& write : writes)
    {
        auto const id = write.as_object().at("lease").to_number<std::int64_t>();
        if (id != 0 && !leases_.contains(id))
        {
            return false;
        }
    }
    return true;
}

http_response platform_database::transact(json::object const& body)
{
    json::array current;
    bool holds = true;
    for (auto const& row : body.at("expectRev").as_array())
    {
        holds = revision_matches(row.as_object(), current) && holds;
    }
    if (!holds)
    {
        return answer(412, {{"items", current}});
    }
    if (!leases_exist(body.at("writes").as_array()))
    {
        return answer(404, {});
    }
    apply(body);
    return answer(200, {{"revision", now_.revision_}});
}

http_response platform_database::grant_lease(json::object const& body)
{
    milliseconds const time(body.at("ttlMs").to_number<std::int64_t>());
    leases_[++now_.last_lease_] = {time, steady_clock::now() + time};
    return answer(200, {{"lease", now_.last_lease_}, {"ttlMs", time.count()}});
}

http_response platform_database::renew_lease(std::int64_t id)
{
    auto const held = leases_.find(id);
    if (held == leases_.end())
    {
        return answer(404, {});
    }
    auto& value = held->second;
    value.expires_at_ = steady_clock::now() + value.time_to_live_;
    return answer(200, {{"lease", id}, {"ttlMs", value.time_to_live_.count()}});
}

void platform_database::expire_leases()
{
    auto const now = steady_clock::now();
    std::set<std::int64_t> ended;
    for (auto const& [id, held] : leases_)
    {
        if (held.expires_at_ < now)
        {
            ended.insert(id);
        }
    }
    std::vector<std::string> keys;
    for (auto const& [key, held] : now_.items_)
    {
        if (ended.contains(held.lease_id_))
        {
            keys.push_back(key);
        }
    }
    for (auto const& key : keys)
    {
        remove(key);
    }
    for (auto const id : ended)
    {
        leases_.erase(id);
    }
}

json::array platform_database::events(std::string const& prefix,
                                      std::int64_t after) const
{
    json::array list;
    for (auto const& change : now_.history_)
    {
        if (change.revision_ > after && change.key_.starts_with(prefix))
        {
            list.push_back(to_json(change));
        }
    }
    return list;
}

void platform_database::drop_history()
{
    now_.history_.clear();
    now_.history_start_ = now_.revision_ + 1;
}

bool platform_database::has_history(std::int64_t after) const
{
    return after + 1 >= now_.history_start_ && after <= now_.revision_;
}

void platform_database::save_copy()
{
    copy_ = now_;
}

void platform_database::restore_copy()
{
    now_ = copy_;
    ++era_;
    for (auto& [id, held] : leases_)
    {
        held.expires_at_ = {};
    }
    expire_leases();
}

void platform_database::apply(json::object const& body)
{
    for (auto const& write : body.at("writes").as_array())
    {
        auto const& value = write.as_object();
        put(std::string(value.at("key").as_string()),
            detail::decode_base64(value.at("value").as_string()),
            value.at("lease").to_number<std::int64_t>());
    }
    for (auto const& key : body.at("deletes").as_array())
    {
        remove(std::string(key.as_string()));
    }
}

void platform_database::remove(std::string const& key)
{
    record({key, "", now_.revision_ + 1, 0, 0, true});
}

void platform_database::record(platform_item change)
{
    now_.revision_ = change.revision_;
    if (change.deleted_)
    {
        now_.items_.erase(change.key_);
    }
    else
    {
        now_.items_[change.key_] = change;
    }
    now_.history_.push_back(std::move(change));
}

} // namespace daisytrail
