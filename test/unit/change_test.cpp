// Tests changes of templates against a store that loses answers, delays
// requests, becomes unavailable and is changed by other operators concurrently.
#include "../support/fake_store.hpp"
#include "cli/change.hpp"
#include "cli/commands.hpp"
#include "cli/status.hpp"
#include "net/adopted_template.hpp"

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace std::chrono_literals;

namespace
{

using fault = fake_store::swap_fault;

std::string template_text(std::string const& name, std::string const& vip,
                          int queue = 64)
{
    return R"({"name": ")" + name +
           R"(", "services": [{"name": "s", "mode": "requests", "vips": [")" +
           vip + R"("], "limits": {"queue": )" + std::to_string(queue) + "}}]}";
}

struct change_fixture
{
    fake_store store_;
    time_point now_{};
    blocking_store calls_{store_,
                          {[this] { store_.run_one(); },
                           [this](std::chrono::milliseconds delay)
                           { now_ += delay; },
                           [this]
                           {
                               return now_;
                           }}};
    std::vector<endpoint> processes_;
    std::vector<std::string> progress_;

    change_request request(std::string const& text, std::string const& id,
                           revision base)
    {
        change_request result;
        result.text_ = text;
        result.value_ = parse_organisation(text).value_;
        result.change_id_ = id;
        result.who_ = "amutenya";
        result.when_ = "2026-12-04T01:02:03Z";
        result.base_ = base;
        result.deadline_ = now_ + 10s;
        return result;
    }

    change_outcome apply(std::string const& text, std::string const& id,
                         revision base)
    {
        return apply_change(calls_, request(text, id, base));
    }

    // Accepts two changes and restores the store to its state between them.
    // Returns the second one, which is lost.
    change_outcome lose_change()
    {
        apply(template_text("a", "203.0.113.1:80"), "kept", 0);
        auto const copy = store_.entries_;
        auto lost =
            request(template_text("a", "203.0.113.1:80", 32), "lost", 1);
        lost.unix_ms_ = time_of_lost_change;
        auto outcome = apply_change(calls_, lost);
        store_.restore(copy);
        return outcome;
    }

    // The change that follows a restoration, a second after the lost one.
    change_outcome apply_after_loss(std::string const& id)
    {
        auto next = request(template_text("a", "203.0.113.1:80", 96), id, 1);
        next.unix_ms_ = time_of_lost_change + 1'000;
        return apply_change(calls_, next);
    }

    static constexpr std::uint64_t time_of_lost_change = 1'700'000'000'000;

    command_context context(process_query query_processes = nullptr)
    {
        return {calls_, std::move(query_processes), processes_, 10s,
                [this](std::string const& line)
                {
                    progress_.push_back(line);
                }};
    }
};

std::string const first = template_text("a", "203.0.113.1:80");
std::string const second = template_text("a", "203.0.113.1:80", 32);

} // namespace

TEST_CASE("an accepted change is stored with its audit entry and id")
{
    change_fixture fixture;
    auto const outcome = fixture.apply(first, "one", 0);
    REQUIRE(outcome.result_ == change_result::accepted);
    CHECK(outcome.number_ == 1);
    CHECK(outcome.revision_ == 1);
    auto const stored = parse_stored_template(
        fixture.store_.entries_.at(template_key("a")).value_);
    CHECK(stored.template_ == first);
    CHECK(stored.change_id_ == "one");
    auto const entry =
        parse_audit_entry(fixture.store_.entries_.at(audit_key("a", 1)));
    CHECK(entry.before_.empty());
    CHECK(entry.after_ == first);
    CHECK(entry.who_ == "amutenya");
    CHECK(fixture.store_.applied_swaps_ == 1);
}

TEST_CASE("a change whose answer is lost is read back as accepted")
{
    change_fixture fixture;
    fixture.store_.swap_faults_ = {fault::lost_answer};
    auto const outcome = fixture.apply(first, "one", 0);
    CHECK(outcome.result_ == change_result::accepted);
    CHECK_FALSE(outcome.repeated_);
    CHECK(fixture.store_.applied_swaps_ == 1);
}

TEST_CASE("a request that is lost before the write is retried")
{
    change_fixture fixture;
    fixture.store_.swap_faults_ = {fault::lost_request, fault::unavailable};
    CHECK(fixture.apply(first, "one", 0).result_ == change_result::accepted);
    CHECK(fixture.store_.applied_swaps_ == 1);
}

TEST_CASE("a delayed request never applies the change a second time")
{
    change_fixture fixture;
    fixture.store_.swap_faults_ = {fault::delayed};
    CHECK(fixture.apply(first, "one", 0).result_ == change_result::accepted);
    CHECK_FALSE(fixture.store_.release_delayed());
    CHECK(fixture.store_.applied_swaps_ == 1);
}

TEST_CASE(
    "a change whose answer is lost is accepted if another change follows it")
{
    change_fixture fixture;
    REQUIRE(fixture.apply(first, "one", 0).result_ == change_result::accepted);
    fixture.store_.swap_faults_ = {fault::lost_answer};
    bool other_change_applied = false;
    change_fixture* const fixture_pointer = &fixture;
    // The other operator changes the template before the answer is read back.
    auto environment = fixture.calls_.environment();
    auto const pause = environment.pause_;
    environment.pause_ = [&](std::chrono::milliseconds delay)
    {
        pause(delay);
        if (!std::exchange(other_change_applied, true))
        {
            auto const other = fixture_pointer->apply(first, "other", 2);
            CHECK(other.result_ == change_result::accepted);
        }
    };
    blocking_store calls(fixture.store_, environment);
    auto const outcome = apply_change(calls, fixture.request(second, "two", 1));
    CHECK(other_change_applied);
    CHECK(outcome.result_ == change_result::accepted);
    CHECK(outcome.number_ == 2);
    CHECK(outcome.revision_ == 2);
}

TEST_CASE("a store that is down before any attempt: refused, nothing written")
{
    change_fixture fixture;
    fixture.store_.is_down_ = true;
    auto const outcome = fixture.apply(first, "one", 0);
    CHECK(outcome.result_ == change_result::refused);
    CHECK(outcome.kind_ == error_kind::unavailable);
    CHECK(fixture.store_.entries_.empty());
}

TEST_CASE(
    "if the store goes down during the write, a later run finds the outcome")
{
    change_fixture fixture;
    fixture.store_.swap_faults_ = {fault::lost_answer};
    auto environment = fixture.calls_.environment();
    auto const pause = environment.pause_;
    environment.pause_ = [&](std::chrono::milliseconds delay)
    {
        pause(delay);
        fixture.store_.is_down_ = true;
    };
    blocking_store calls(fixture.store_, environment);
    auto const outcome = apply_change(calls, fixture.request(first, "one", 0));
    CHECK(outcome.result_ == change_result::unknown);
    CHECK(outcome.kind_ == error_kind::outcome_unknown);
    fixture.store_.is_down_ = false;
    auto const settled = fixture.apply(first, "one", 0);
    CHECK(settled.result_ == change_result::accepted);
    CHECK(settled.repeated_);
    CHECK(fixture.store_.applied_swaps_ == 1);
}

TEST_CASE("of two concurrent changes, one is refused with the differences")
{
    change_fixture fixture;
    REQUIRE(fixture.apply(first, "one", 0).result_ == change_result::accepted);
    fixture.store_.before_swap_ = [&]
    {
        auto const other = fixture.apply(second, "other", 1);
        CHECK(other.result_ == change_result::accepted);
    };
    auto const third = template_text("a", "203.0.113.1:80", 16);
    auto const outcome = fixture.apply(third, "two", 1);
    CHECK(outcome.result_ == change_result::refused);
    CHECK(outcome.kind_ == error_kind::conflict);
    REQUIRE(outcome.differences_.size() == 1);
    CHECK(outcome.differences_[0].path_ == "services[s].limits.queue");
    CHECK(outcome.differences_[0].before_ == "32");
    CHECK(outcome.differences_[0].after_ == "16");
    CHECK(fixture.store_.applied_swaps_ == 2);
}

TEST_CASE("a VIP of another organisation is refused")
{
    change_fixture fixture;
    REQUIRE(fixture.apply(first, "one", 0).result_ == change_result::accepted);
    auto const outcome =
        fixture.apply(template_text("b", "203.0.113.1:80"), "two", 0);
    CHECK(outcome.result_ == change_result::refused);
    CHECK(outcome.detail_.find("belongs to organisation 'a'") !=
          std::string::npos);
    // Another port of the same address is another VIP.
    CHECK(fixture.apply(template_text("b", "203.0.113.1:81"), "three", 0)
              .result_ == change_result::accepted);
}

TEST_CASE("of two organisations that claim a VIP concurrently, one is refused")
{
    change_fixture fixture;
    fixture.store_.before_swap_ = [&]
    {
        CHECK(fixture.apply(template_text("b", "203.0.113.1:80"), "other", 0)
                  .result_ == change_result::accepted);
    };
    auto const outcome = fixture.apply(first, "one", 0);
    CHECK(outcome.result_ == change_result::refused);
    CHECK_FALSE(fixture.store_.entries_.contains(template_key("a")));
}

TEST_CASE("concurrent claims on other VIPs of a bucket don't conflict")
{
    change_fixture fixture;
    std::string const mine = "203.0.113.1:80";
    std::string other;
    for (int port = 81; other.empty(); ++port)
    {
        auto const vip = "203.0.113.1:" + std::to_string(port);
        other = vip_bucket_key(vip) == vip_bucket_key(mine) ? vip : "";
    }
    fixture.store_.before_swap_ = [&]
    {
        CHECK(fixture.apply(template_text("b", other), "other", 0).result_ ==
              change_result::accepted);
    };
    CHECK(fixture.apply(first, "one", 0).result_ == change_result::accepted);
    auto const claims = parse_vip_claims(
        fixture.store_.entries_.at(vip_bucket_key(mine)).value_);
    CHECK(claims.size() == 2);
}

TEST_CASE("a VIP that is given up can be claimed by another organisation")
{
    change_fixture fixture;
    REQUIRE(fixture.apply(first, "one", 0).result_ == change_result::accepted);
    auto moved =
        fixture.request(template_text("a", "203.0.113.2:80"), "two", 1);
    CHECK(apply_change(fixture.calls_, moved).kind_ ==
          error_kind::invalid_argument);
    moved.allow_breaking_ = true;
    REQUIRE(apply_change(fixture.calls_, moved).result_ ==
            change_result::accepted);
    CHECK(fixture.apply(template_text("b", "203.0.113.1:80"), "three", 0)
              .result_ == change_result::accepted);
}

TEST_CASE("a change id can't be reused for another change")
{
    change_fixture fixture;
    REQUIRE(fixture.apply(first, "one", 0).result_ == change_result::accepted);
    auto const outcome = fixture.apply(second, "one", 1);
    CHECK(outcome.result_ == change_result::refused);
    CHECK(outcome.kind_ == error_kind::conflict);
    CHECK(fixture.store_.applied_swaps_ == 1);
}

TEST_CASE("a change is refused as stale if the store is older than its base")
{
    change_fixture fixture;
    REQUIRE(fixture.apply(first, "one", 0).result_ == change_result::accepted);
    auto const outcome = fixture.apply(second, "two", 7);
    CHECK(outcome.result_ == change_result::refused);
    CHECK(outcome.kind_ == error_kind::stale);
}

TEST_CASE("the audit trail keeps a bounded number of entries")
{
    change_fixture fixture;
    revision base = 0;
    for (std::uint64_t i = 1; i <= audit_retention + 2; ++i)
    {
        auto const text =
            template_text("a", "203.0.113.1:80", static_cast<int>(i));
        auto const outcome = fixture.apply(text, "c" + std::to_string(i), base);
        REQUIRE(outcome.result_ == change_result::accepted);
        base = outcome.revision_;
    }
    CHECK_FALSE(fixture.store_.entries_.contains(audit_key("a", 2)));
    CHECK_FALSE(fixture.store_.entries_.contains(change_key("a", "c2")));
    CHECK(fixture.store_.entries_.contains(audit_key("a", 3)));
    CHECK(fixture.store_.entries_.contains(change_key("a", "c3")));
}

// A change after a restoration got the version of a change that the store lost,
// or a lower one, and balancers that still held the lost one refused it.
TEST_CASE("a change after the store was restored from a copy has a higher "
          "version than the changes that were lost")
{
    change_fixture fixture;
    auto const lost_outcome = fixture.lose_change();
    auto const outcome = fixture.apply_after_loss("next");
    REQUIRE(outcome.result_ == change_result::accepted);
    CHECK(outcome.revision_ == lost_outcome.revision_);
    CHECK(outcome.version_ > lost_outcome.version_);
    CHECK(version_of(fixture.store_.entries_.at(template_key("a"))) ==
          outcome.version_);
}

// The base was a revision of the store. A restored store gives revisions out
// again, so that the base of a lost change matched another operator's change.
TEST_CASE("a change overwrites another operator's change after the store was "
          "restored from a copy")
{
    change_fixture fixture;
    auto const lost_outcome = fixture.lose_change();
    auto const other_outcome = fixture.apply_after_loss("other");
    REQUIRE(other_outcome.revision_ == lost_outcome.revision_);
    auto const outcome =
        fixture.apply(template_text("a", "203.0.113.1:80", 128), "next",
                      lost_outcome.version_);
    CHECK(outcome.result_ == change_result::refused);
    CHECK(outcome.kind_ == error_kind::conflict);
}

TEST_CASE("a change made by a slow clock still has a higher version")
{
    change_fixture fixture;
    auto ahead = fixture.request(first, "ahead", 0);
    ahead.unix_ms_ = 1'700'000'000'000;
    auto const earlier = apply_change(fixture.calls_, ahead);
    auto behind = fixture.request(second, "behind", earlier.version_);
    behind.unix_ms_ = 1'600'000'000'000;
    CHECK(apply_change(fixture.calls_, behind).version_ ==
          earlier.version_ + 1);
}

TEST_CASE("history is paged, and each page refers to the next page")
{
    change_fixture fixture;
    for (revision i = 0; i < 12; ++i)
    {
        auto const text =
            template_text("a", "203.0.113.1:80", static_cast<int>(i));
        REQUIRE(fixture.apply(text, "c" + std::to_string(i), i).result_ ==
                change_result::accepted);
    }
    auto const context = fixture.context();
    auto const latest = history_command(context, "a", 0);
    CHECK(latest.json_.at("changes").as_array().size() == 3);
    CHECK(latest.json_.at("before").to_number<int>() == 9);
    auto const older = history_command(context, "a", 9);
    CHECK(older.json_.at("changes").as_array().size() == 9);
    CHECK(older.json_.at("before").to_number<int>() == 0);
}

TEST_CASE("a rollback is a new change with the old template")
{
    change_fixture fixture;
    REQUIRE(fixture.apply(first, "one", 0).result_ == change_result::accepted);
    REQUIRE(fixture.apply(second, "two", 1).result_ == change_result::accepted);
    change_options options;
    options.change_id_ = "three";
    auto const result = rollback_command(fixture.context(), "a", 1, options);
    CHECK(result.exit_code_ == 0);
    auto const& entry = fixture.store_.entries_.at(template_key("a"));
    CHECK(entry.modified_revision_ == 3);
    CHECK(parse_stored_template(entry.value_).template_ == first);
    CHECK(parse_stored_template(entry.value_).number_ == 3);
}

TEST_CASE("an unknown outcome reports the command that finds the outcome")
{
    change_fixture fixture;
    fixture.store_.swap_faults_ = std::deque<fault>(100, fault::lost_request);
    change_options options;
    options.change_id_ = "one";
    auto const result =
        apply_command(fixture.context(), {"a.json", first}, options);
    CHECK(result.exit_code_ == 9);
    CHECK(result.json_.at("command").as_string() ==
          "daisytrail apply a.json --change-id one");
    // The command was also reported before the first attempt.
    REQUIRE(fixture.progress_.size() == 1);
    CHECK(fixture.progress_[0].find("--change-id one") != std::string::npos);
}

TEST_CASE("the reported command contains the store that the operator gave")
{
    change_fixture fixture;
    fixture.store_.swap_faults_ = std::deque<fault>(100, fault::lost_request);
    change_options options;
    options.change_id_ = "one";
    auto context = fixture.context();
    context.program_ = "daisytrail --store 10.0.0.9:2379";
    auto const result = apply_command(context, {"a.json", first}, options);
    CHECK(result.json_.at("command").as_string() ==
          "daisytrail --store 10.0.0.9:2379 apply a.json --change-id one");
}

TEST_CASE("apply without a base doesn't replace an existing template")
{
    change_fixture fixture;
    REQUIRE(fixture.apply(first, "one", 0).result_ == change_result::accepted);
    change_options options;
    options.change_id_ = "two";
    auto const result =
        apply_command(fixture.context(), {"a.json", second}, options);
    CHECK(result.exit_code_ == 4);
    CHECK(fixture.store_.applied_swaps_ == 1);
}

TEST_CASE("apply --wait reports the processes that lag behind")
{
    change_fixture fixture;
    fixture.processes_ = {parse_endpoint("127.0.0.1:1"),
                          parse_endpoint("127.0.0.1:2")};
    int rounds = 0;
    std::string const in_force = R"({"process": "x", "in_force":)"
                                 R"( [{"organisation": "a", "version": 1}]})";
    process_query const query_processes =
        [&](std::vector<endpoint> const& processes, std::string const& page)
    {
        rounds += page == "/adopted" ? 1 : 0;
        auto const late =
            rounds < 3 ? R"({"process": "y", "in_force": []})" : in_force;
        return std::vector<page_answer>{
            {processes[0], std::nullopt, "", in_force},
            {processes[1], std::nullopt, "", late}};
    };
    change_options options;
    options.change_id_ = "one";
    options.wait_ = true;
    auto const context = fixture.context(query_processes);
    auto const result = apply_command(context, {"a.json", first}, options);
    CHECK(result.exit_code_ == 0);
    CHECK(rounds == 3);
    options.change_id_ = "two";
    options.base_ = 1;
    auto const late = apply_command(context, {"a.json", second}, options);
    CHECK(late.exit_code_ == 7);
    CHECK(late.json_.at("outcome").as_string() == "accepted");
    CHECK(late.json_.at("behind").as_array().size() == 2);
}

TEST_CASE("an agent lags behind only in the organisation of its service")
{
    process_status agent;
    agent.versions_ = {{"a", 5}};
    CHECK(lagging_processes({agent}, {{"a", 5}, {"b", 9}}).empty());
    CHECK(lagging_processes({agent}, {{"a", 6}, {"b", 9}}).size() == 1);
    agent.versions_.clear();
    CHECK(lagging_processes({agent}, {{"a", 5}}).size() == 1);
    process_status balancer;
    balancer.is_balancer_ = true;
    balancer.versions_ = {{"a", 5}};
    CHECK(lagging_processes({balancer}, {{"a", 5}, {"b", 9}}).size() == 1);
}

TEST_CASE("plan reports the effect of a change on open flows")
{
    change_fixture fixture;
    REQUIRE(fixture.apply(first, "one", 0).result_ == change_result::accepted);
    auto const harmless = plan_command(fixture.context(), {"a.json", second});
    CHECK_FALSE(harmless.json_.at("breaks_flows").as_bool());
    CHECK(harmless.json_.at("command").as_string() ==
          "daisytrail apply a.json --base 1");
    auto const breaking = plan_command(
        fixture.context(), {"a.json", template_text("a", "203.0.113.2:80")});
    CHECK(breaking.json_.at("breaks_flows").as_bool());
    CHECK(breaking.json_.at("differences").as_array().size() == 2);
}

TEST_CASE("check reports VIPs that occur in two files")
{
    auto const result =
        check_command({{"a", template_text("a", "203.0.113.1:80")},
                       {"b", template_text("b", "203.0.113.1:80")}});
    CHECK(result.exit_code_ == 2);
    CHECK(result.json_.at("errors").as_array().size() == 1);
}
