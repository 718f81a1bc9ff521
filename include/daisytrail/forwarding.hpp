// Choice of targets for a packet: weighted rendezvous hashing over the records
// of a service. No state is kept between packets, so that any two balancers
// with the same records make the same choice.
#pragma once

#include <daisytrail/record.hpp>
#include <daisytrail/types.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

// Candidates that travel with a packet.
inline constexpr std::size_t trail_length = 4;

// One ranked candidate for a flow.
struct candidate
{
    target_id target_ = 0;
    incarnation incarnation_ = 0;
    endpoint tunnel_;
    member_state state_ = member_state::dead;

    bool operator==(candidate const&) const = default;
};

// The best-ranked candidates of a flow, best first.
struct trail
{
    std::array<candidate, trail_length> candidates_;
    std::uint8_t size_ = 0;

    std::span<candidate const> view() const
    {
        return {candidates_.data(), size_};
    }
};

// One member of a service and its share of new flows.
struct table_member
{
    candidate candidate_;
    std::uint32_t weight_ = 0; // at least 1, or the member is left out
};

// The members of one service, laid out for fast choice. Immutable once built.
class service_table
{
public:
    // Keeps the members whose state may own flows; their order is immaterial.
    explicit service_table(std::span<target_record const> records);
    static service_table from_members(std::span<table_member const> members);

    // Ranked candidates for a flow hash. Members that take new work come in
    // rendezvous order; draining ones keep their rank, so that the first
    // candidate that takes new work is the owner of a new flow.
    trail pick(std::uint64_t flow) const;

    std::size_t size() const
    {
        return members_.size();
    }

    std::span<candidate const> members() const
    {
        return members_;
    }

private:
    void build(std::span<table_member const> members);

    // Parallel arrays; members_[i] has seed seeds_[i] and scale scales_[i].
    std::vector<candidate> members_;
    std::vector<std::uint64_t> seeds_;
    std::vector<double> scales_; // 1 / weight
};

// What the choice needs of a record.
table_member to_member(target_record const& record);

// Score of one member for one flow; the lowest score wins. The result has the
// same bits on every build, since only IEEE add, multiply and divide are used.
double rendezvous_score(std::uint64_t flow, std::uint64_t seed, double scale);

} // namespace daisytrail
