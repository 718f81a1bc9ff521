// Bounded buffer for packets of flows whose owner is being searched. A packet
// that doesn't fit is dropped; the caller's retransmission replaces it.
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
    static constexpr std::size_t max_packets = 2'000; // of all flows together
    // As many as a caller sends without an answer.
    static constexpr std::size_t max_packets_per_flow = 16;

    struct packet
    {
        std::vector<std::byte> bytes_;
        std::vector<target_id> sent_to_ = {};
    };

    // Copies the packet; returns false if the buffer is full or the flow has
    // max_packets_per_flow packets in it.
    bool add(flow_key const& flow, std::span<std::byte const> bytes);

    // The flow's packets in order of arrival.
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
