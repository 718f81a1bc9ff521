// Tests of the encoding of control messages, the byte budget and the hash tree.
#include "rpc/control_messages.hpp"

#include <daisytrail/byte_budget.hpp>
#include <daisytrail/item_tree.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;

namespace
{

std::vector<control_message> make_all_messages()
{
    item const sample{item_kind::organisation, 1, {2, 3}, member_state::left};
    target_record record;
    record.target_ = 4;
    record.name_ = "depot-orders-1";
    record.failure_domain_ = "lafrenz";
    record.control_ = {0x7F000001, 9};
    record.state_ = member_state::draining;
    return {
        ping_message{1},
        pong_message{sample},
        probe_request{{1, {2, 3}}},
        probe_answer{1, true},
        digest_message{1, {sample, sample}, true},
        pull_message{{1, 2}},
        records_message{{record}},
        tree_message{2, 3, {4, 5}},
        branch_message{1, 6, {sample}},
        heartbeat_message{record, 1, 2, 3, 4},
        heartbeat_ack{sample, {{1, {2, 3}}}},
        template_request{1, 2, 3, 4, true, 5},
        template_chunk{"hamutenya", 1, 2, 3, std::string("\0a", 2), true, 4},
        view_question{1, 2},
        view_answer{1, 2, true, {3, 4}}};
}

} // namespace

TEST_CASE("every control message is decoded as it was encoded")
{
    auto const messages = make_all_messages();
    REQUIRE(messages.size() == std::variant_size_v<control_message>);
    for (auto const& message : messages)
    {
        auto const decoded = decode_control(encode_control(message));
        REQUIRE(decoded.has_value());
        CHECK((*decoded == message));
    }
}

TEST_CASE("a control message with an unknown state is rejected")
{
    item bad;
    bad.state_ = member_state::count;
    CHECK(!decode_control(encode_control(pong_message{bad})));
    CHECK(!decode_control({}));
}

TEST_CASE("the byte budget reserves half of its burst for urgent messages")
{
    byte_budget budget(100); // a burst of 10 s
    time_point const start{std::chrono::seconds(50)};
    CHECK(budget.consume(500, send_class::bulk, start));
    CHECK(!budget.consume(1, send_class::bulk, start));
    CHECK(budget.consume(500, send_class::urgent, start));
    CHECK(!budget.consume(1, send_class::urgent, start));
    auto const later = start + std::chrono::seconds(1);
    CHECK(budget.consume(100, send_class::urgent, later));
    CHECK(!budget.consume(1, send_class::urgent, later));
}

TEST_CASE("hash trees differ only on the path of a differing item")
{
    item_tree left;
    item_tree right;
    item const sample{
        item_kind::member, std::uint64_t{0xABC} << 52U, {1, 0}, {}};
    left.toggle(sample);
    CHECK(left.root() != right.root());
    CHECK(leaf_of(sample.id_) == 0xABC);
    CHECK(left.children(3, 0xAB)[0xC] == hash_item(sample));
    CHECK(left.children(1, 0)[0xB] == right.children(1, 0)[0xB]);
    right.toggle(sample);
    CHECK(left.root() == right.root());
    CHECK(left.children(3, 0x100).empty());
    CHECK(left.children(4, 0).empty());
}
