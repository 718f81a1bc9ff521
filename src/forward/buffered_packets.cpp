// Bounded packet buffer, grouped by flow.
#include "forward/buffered_packets.hpp"

namespace daisytrail
{

bool buffered_packets::add(flow_key const& flow,
                           std::span<std::byte const> bytes)
{
    bool const is_full =
        size_ >= max_packets || find(flow).size() >= max_packets_per_flow;
    if (is_full)
    {
        return false;
    }
    flows_[flow].push_back({{bytes.begin(), bytes.end()}});
    ++size_;
    return true;
}

std::span<buffered_packets::packet> buffered_packets::find(flow_key const& flow)
{
    auto const found = flows_.find(flow);
    return found == flows_.end() ? std::span<packet>{} : found->second;
}

void buffered_packets::remove(flow_key const& flow)
{
    size_ -= find(flow).size();
    flows_.erase(flow);
}

void buffered_packets::remove_unless(
    std::function<bool(flow_key const&)> const& is_wanted)
{
    for (auto at = flows_.begin(); at != flows_.end();)
    {
        if (is_wanted(at->first))
        {
            ++at;
            continue;
        }
        size_ -= at->second.size();
        at = flows_.erase(at);
    }
}

} // namespace daisytrail
