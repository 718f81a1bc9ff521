// Packets of flows whose owner is being searched. Bounded; what doesn't fit is
// left to the caller, which sends it again.
#pragma once

#include <daisytrail/packet_format.hpp>
#include <daisytrail/types.hpp>

#include <cstddef>
#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

class buffered_packets
{
public:
    static constexpr std::size_t max_packets = 2'000; // of all flows
    static constexpr std::size_t max_packets_per_flow =
        16; // what a caller sends

    struct packet
    {
        std::vector<std::byte> bytes_;
        std::vector<target_id> sent_to_ = {};
    };

    // Returns false if there is no room.
    bool add(flow_key const& flow, std::span<std::byte const> bytes);

    // The flow's packets in the order in which they came.
    std::span<packet> find(flow_key const& flow);

    void remove(flow_key const& flow);
    void remove_unless(std::function<bool(flow_key const&)> const& is_wanted);

    std::size_t size() const
    {
        return size_;
    }

private:
    std::unordered_map<flow_key, std::vector<packet>, flow_hash> flows_;
    std::size_t size_ = 0; // packets of all flows
};

} // namespace daisytrail
