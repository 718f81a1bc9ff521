// Tests of the weighted rendezvous choice.
#include <daisytrail/forwarding.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;

namespace
{

std::vector<target_record> make_records(std::uint32_t count)
{
    std::vector<target_record> records;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        target_record record;
        record.name_ = "target-" + std::to_string(i);
        record.target_ = hash_name(record.name_);
        record.weight_ = 1;
        record.state_ = member_state::ready;
        records.push_back(record);
    }
    return records;
}

} // namespace

TEST_CASE("an empty service has an empty trail")
{
    CHECK(service_table({}).pick(1).size_ == 0);
}

TEST_CASE("records in any order give the same trail")
{
    auto records = make_records(7);
    service_table const forward(records);
    std::reverse(records.begin(), records.end());
    service_table const backward(records);
    for (std::uint64_t flow = 0; flow < 1'000; ++flow)
    {
        CHECK(forward.pick(flow).candidates_ ==
              backward.pick(flow).candidates_);
    }
}

TEST_CASE("a leaving target moves only its own flows")
{
    auto records = make_records(7);
    service_table const before(records);
    auto const gone = records.back().target_;
    records.pop_back();
    service_table const after(records);
    for (std::uint64_t flow = 0; flow < 10'000; ++flow)
    {
        auto const first = before.pick(flow).candidates_[0].target_;
        if (first != gone)
        {
            CHECK(after.pick(flow).candidates_[0].target_ == first);
        }
    }
}

TEST_CASE("the score has the same bits on every build")
{
    CHECK(rendezvous_score(1, 2, 0.25) == rendezvous_score(1, 2, 0.25));
}
