// Tests of which return reasons a balancer treats as a denial of the flow.
#include <daisytrail/flow_forwarder.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace std::chrono_literals;

namespace
{

constexpr endpoint vip{0x0A000001, 443};
constexpr std::string_view service_name = "org/orders";

struct denials_fixture
{
    denials_fixture()
    {
        organisation_template organisation{"org", {}, {}};
        organisation.routes_.push_back(
            {"main", vip, {{hash_name(service_name), 1}}});
        directory_.apply(organisation, 1);
        record_.name_ = "one";
        record_.target_ = hash_name("one");
        record_.service_ = hash_name(service_name);
        record_.state_ = member_state::ready;
        record_.version_ = {1, 1};
        directory_.apply(record_);
        directory_.on_load_report(record_.target_, {.accepts_ = true}, now_);
        directory_.confirm_view(now_);
    }

    void declare_dead()
    {
        record_.state_ = member_state::dead;
        record_.version_.sequence_ += 1;
        directory_.apply(record_);
    }

    flow_packet packet(bool syn = false) const
    {
        flow_packet result;
        result.source_ = {0x64000001, 1};
        result.destination_ = vip;
        result.syn_ = syn;
        result.ack_ = !syn;
        return result;
    }

    forward_action return_packet(return_reason reason)
    {
        return forwarder_.on_returned(packet(), record_.target_, reason, now_);
    }

    forward_action answer(flow_ownership ownership)
    {
        return forwarder_.on_owner_answer(packet().flow_from_caller(),
                                          record_.target_, ownership, now_);
    }

    time_point now_{1h};
    target_record record_;
    forward_directory directory_;
    flow_forwarder forwarder_{directory_, {}, now_ - 1min};
};

} // namespace

// Guards against the loss of open flows when a backend server is suspended for
// 1.2 s, or when its agent reads its first announcement late: the agent then
// returns packets although the backend server may hold their flows.
TEST_CASE_FIXTURE(denials_fixture,
                  "a packet returned for another reason doesn't deny the flow")
{
    forwarder_.on_packet(packet(true), now_);
    forwarder_.on_packet(packet(), now_);
    for (auto const reason :
         {return_reason::no_answer, return_reason::not_announced,
          return_reason::not_accepting, return_reason::other_target})
    {
        CHECK(return_packet(reason).step_ != forward_step::reset);
    }
    now_ += 1s;
    forwarder_.continue_search(packet().flow_from_caller(), now_);
    CHECK(answer(flow_ownership::held).step_ == forward_step::send);
}

TEST_CASE_FIXTURE(denials_fixture,
                  "a packet returned as not held denies the flow")
{
    forwarder_.on_packet(packet(true), now_);
    CHECK(return_packet(return_reason::not_held).step_ == forward_step::reset);
}

TEST_CASE_FIXTURE(denials_fixture,
                  "a dead target whose address another target uses holds no "
                  "flows")
{
    forwarder_.on_packet(packet(true), now_);
    declare_dead();
    CHECK(return_packet(return_reason::other_target).step_ ==
          forward_step::reset);
}

// Guards against a loop in which a packet that an agent returns immediately is
// offered to the agent again without a delay.
TEST_CASE_FIXTURE(denials_fixture,
                  "an undetermined target is offered the packet with growing "
                  "delays")
{
    forwarder_.on_packet(packet(), now_);
    CHECK(answer(flow_ownership::undetermined).step_ == forward_step::send);
    int offers = 0;
    for (int i = 0; i < 300; ++i, now_ += 10ms)
    {
        auto const again = return_packet(return_reason::no_answer).step_;
        offers += again == forward_step::send ? 1 : 0;
        if (!forwarder_.overdue_searches(now_).empty())
        {
            auto const action =
                forwarder_.continue_search(packet().flow_from_caller(), now_);
            offers += action.step_ == forward_step::send ? 1 : 0;
            bool const is_asked = !action.questions_.empty();
            auto const answer_step =
                is_asked ? answer(flow_ownership::undetermined).step_
                         : forward_step::hold;
            offers += answer_step == forward_step::send ? 1 : 0;
        }
    }
    CHECK(offers >= 3);
    CHECK(offers <= 8);
}
