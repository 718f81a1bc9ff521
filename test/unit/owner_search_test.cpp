// Tests of the search for the target that holds a flow.
#include <daisytrail/owner_search.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace daisytrail;
using namespace std::chrono_literals;

namespace
{

struct search_fixture
{
    search_fixture()
    {
        search_.add_candidates({1, 2, 3, 4, 5, 6, 7, 8});
    }

    std::vector<target_id> ask()
    {
        return search_.next_questions(now_);
    }

    std::vector<target_id> repeat()
    {
        return search_.next_retransmissions(now_,
                                            [](target_id) { return false; });
    }

    // Asks all candidates; each gives the same answer.
    void answer_all(flow_ownership answer)
    {
        for (auto asked = ask(); !asked.empty(); asked = ask())
        {
            for (auto const target : asked)
            {
                search_.on_answer(target, answer);
            }
        }
    }

    std::vector<target_id> offer(std::vector<target_id> const& silent = {})
    {
        return search_.next_offers(
            now_,
            [&](target_id id)
            { return std::ranges::find(silent, id) != silent.end(); },
            budget_);
    }

    time_point now_{1h};
    owner_search search_{now_};
    offer_budget budget_;
};

} // namespace

TEST_CASE_FIXTURE(search_fixture,
                  "questions are sent in batches of growing size")
{
    auto const first = ask();
    CHECK(first == std::vector<target_id>{1, 2, 3, 4, 5, 6});
    CHECK(search_.has_pending_questions());
    CHECK(ask().empty());
    SUBCASE("after the first batch has answered")
    {
        for (auto const target : first)
        {
            search_.on_answer(target, flow_ownership::not_held);
        }
    }
    SUBCASE("after the batch timeout")
    {
        CHECK_FALSE(search_.is_overdue(now_ + 50ms));
        now_ += 51ms;
        CHECK(search_.is_overdue(now_));
    }
    CHECK(ask() == std::vector<target_id>{7, 8});
    CHECK(ask().empty());
}

TEST_CASE_FIXTURE(search_fixture,
                  "targets that a SYN went to form the first batch")
{
    owner_search search(now_);
    search.add_preferred_candidates({7, 3});
    search.add_candidates({1, 2, 3, 4, 5, 6, 7, 8});
    CHECK(search.next_questions(now_) == std::vector<target_id>{7, 3});
    search.on_answer(7, flow_ownership::undetermined);
    auto const none = [](target_id)
    {
        return false;
    };
    CHECK(search.next_offers(now_, none, budget_).empty());
    search.on_answer(3, flow_ownership::undetermined);
    CHECK(search.next_offers(now_, none, budget_) ==
          std::vector<target_id>{7, 3});
    CHECK(search.next_questions(now_).empty());
    CHECK(search.next_questions(now_ + 51ms).size() == 6);
}

TEST_CASE_FIXTURE(search_fixture,
                  "a search ends when all candidates have denied")
{
    for (auto asked = ask(); !asked.empty(); asked = ask())
    {
        for (auto const target : asked)
        {
            CHECK(search_.has_pending_questions());
            CHECK_FALSE(search_.is_exhausted());
            search_.on_answer(target, flow_ownership::not_held);
        }
    }
    CHECK_FALSE(search_.has_pending_questions());
    CHECK(search_.is_exhausted());
    CHECK(offer().empty());
}

TEST_CASE_FIXTURE(search_fixture, "only unanswered questions are retransmitted")
{
    ask();
    search_.on_answer(1, flow_ownership::not_held);
    search_.on_answer(2, flow_ownership::undetermined);
    CHECK_FALSE(search_.is_retransmission_due(now_ + 150ms));
    CHECK(search_.is_retransmission_due(now_ + 151ms));
    CHECK(repeat() == std::vector<target_id>{3, 4, 5, 6});
    CHECK_FALSE(search_.is_retransmission_due(now_ + 300ms));
    repeat();
    repeat();
    CHECK_FALSE(search_.is_retransmission_due(now_ + 600ms));
    CHECK(search_.is_retransmission_due(now_ + 601ms));
}

TEST_CASE_FIXTURE(search_fixture,
                  "early offers are limited while answers are outstanding")
{
    ask();
    for (target_id target = 1; target <= 5; ++target)
    {
        search_.on_answer(target, flow_ownership::undetermined);
    }
    CHECK(offer().empty());
    CHECK(offer({6}).empty()); // 7 and 8 haven't been asked yet
    now_ += 51ms;
    CHECK(ask() == std::vector<target_id>{7, 8});
    CHECK(offer({6, 7}).empty());
    SUBCASE("no early offers if more than two are ready")
    {
        CHECK(offer({6, 7, 8}).empty());
    }
    SUBCASE("two early offers while an agent is silent")
    {
        for (target_id const target : {3, 4, 5})
        {
            search_.on_answer(target, flow_ownership::not_held);
        }
        CHECK(offer({6, 7, 8}) == std::vector<target_id>{1, 2});
        search_.on_returned(1);
        search_.on_returned(2);
        search_.on_answer(6, flow_ownership::undetermined);
        CHECK(offer({7, 8}).empty());
    }
    SUBCASE("all offers once all agents have answered")
    {
        for (target_id const target : {6, 7, 8})
        {
            search_.on_answer(target, flow_ownership::not_held);
        }
        CHECK(offer() == std::vector<target_id>{1, 2, 3, 4, 5});
    }
}

// The owner ranked low among the undetermined targets, and was offered the
// packet only after the offers to the others had timed out.
TEST_CASE_FIXTURE(search_fixture,
                  "all undetermined targets are offered the packet together")
{
    search_.add_candidates({9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20});
    answer_all(flow_ownership::undetermined);
    CHECK(offer().size() == 20);
}

TEST_CASE_FIXTURE(search_fixture, "the number of open offers is bounded")
{
    for (target_id target = 9; target <= 35; ++target)
    {
        search_.add_candidates({target});
    }
    answer_all(flow_ownership::undetermined);
    CHECK(offer().size() == 32);
    CHECK(search_.has_open_offers());
    CHECK(offer().empty());
    search_.on_returned(3);
    CHECK(offer() == std::vector<target_id>{33});
}

TEST_CASE_FIXTURE(search_fixture, "first offers precede repeated offers")
{
    for (target_id target = 9; target <= 33; ++target)
    {
        search_.add_candidates({target});
    }
    answer_all(flow_ownership::undetermined);
    REQUIRE(offer().size() == 32);
    now_ += 599ms;
    CHECK(repeat().empty());
    now_ += 1ms;
    auto const again = repeat();
    CHECK(again.size() == 32);
    CHECK(offer().empty());
    for (auto const target : again)
    {
        search_.on_answer(target, flow_ownership::undetermined);
    }
    auto const next = offer();
    REQUIRE(next.size() == 32);
    CHECK(next[0] == 33);
    CHECK(next[1] == 1);
}

TEST_CASE_FIXTURE(search_fixture, "a late answer of a denied target is ignored")
{
    answer_all(flow_ownership::not_held);
    search_.on_returned(1);
    search_.on_answer(1, flow_ownership::undetermined);
    CHECK(offer().empty());
    search_.on_answer(99, flow_ownership::undetermined);
    CHECK(offer().empty());
    CHECK(search_.is_exhausted());
}

TEST_CASE_FIXTURE(search_fixture, "a lost target has time to answer")
{
    auto const asked = ask();
    auto const third_is_lost = [](target_id id)
    {
        return id == 3;
    };
    now_ += 350ms;
    CHECK(search_.next_retransmissions(now_, third_is_lost) == asked);
    now_ += 1ms;
    CHECK(search_.next_retransmissions(now_, third_is_lost) ==
          std::vector<target_id>{1, 2, 4, 5, 6});
}

// After a power failure the offers of all searches took the agents' processors
// for seconds, since no agent could deny a flow.
TEST_CASE_FIXTURE(search_fixture,
                  "improbable targets are offered the packet last and within "
                  "the budget")
{
    for (auto asked = ask(); !asked.empty(); asked = ask())
    {
        for (auto const target : asked)
        {
            search_.on_answer(target, target == 5 ? flow_ownership::undetermined
                                                  : flow_ownership::improbable);
        }
    }
    CHECK(offer() == std::vector<target_id>{5});
    CHECK(offer().empty());
    search_.on_returned(5);
    SUBCASE("all of them at once")
    {
        CHECK(offer().size() == 7);
        for (target_id const id : {1, 2, 3, 4, 6, 7, 8})
        {
            CHECK_FALSE(search_.is_exhausted());
            search_.on_returned(id);
        }
        CHECK(search_.is_exhausted());
    }
    SUBCASE("none while the budget is used up")
    {
        while (budget_.consume(1, now_))
        {
        }
        CHECK(offer().empty());
        CHECK_FALSE(search_.is_exhausted());
        now_ += 30ms; // refills fewer tokens than there are targets
        CHECK(offer().empty());
        now_ += 10ms;
        CHECK(offer().size() == 7);
    }
    SUBCASE("none while an answer is awaited")
    {
        search_.add_candidates({9});
        CHECK(offer().empty());
        CHECK(ask() == std::vector<target_id>{9});
        CHECK(offer().empty());
    }
}
