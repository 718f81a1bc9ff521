// Tests of the copies of templates in force that balancers keep in the store.
#include "net/template_copy.hpp"
#include "support/operator_documents.hpp"
#include "unit/watcher_fixture.hpp"

#include <daisytrail/error.hpp>

#include <doctest/doctest.h>

#include <functional>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

std::string const copy_key = std::string(template_copy_prefix) + "org";

// Time that the watcher has for a few calls, on a busy machine too.
constexpr milliseconds call_limit{8'000};

// A balancer that has the duty to write the copy of a template.
class copy_fixture : public watcher_fixture
{
public:
    // Sets the version in force and waits until the store has a copy of it or
    // of a newer one.
    void hold(template_version version, std::string const& value)
    {
        duties_.template_copy_ = held_template{"org", version, value};
        watcher_->set_duties(duties_);
        run_until([&] { return watcher_->is_copied("org", version); });
    }

    void run_until(std::function<bool()> const& holds)
    {
        auto const end = std::chrono::steady_clock::now() + call_limit;
        while (!holds() && std::chrono::steady_clock::now() < end)
        {
            run_for(milliseconds(20));
        }
        REQUIRE(holds());
    }

    template_copy copy() const
    {
        auto const found = store_->entries_.find(copy_key);
        return found == store_->entries_.end()
                   ? template_copy{}
                   : parse_template_copy(found->second.value_);
    }

    void put_copy(template_copy const& copy)
    {
        store_->entries_[copy_key] = {copy_key, format_template_copy(copy),
                                      ++store_->revision_};
    }
};

} // namespace

TEST_CASE("a copy of a template is parsed as it was formatted")
{
    template_copy const copy{1'790'000'000'000, make_document(18, 4'000)};
    auto const text = format_template_copy(copy);
    CHECK(text.size() < copy.value_.size() / 4);
    CHECK(parse_template_copy(text) == copy);
    CHECK(parse_copied_version(text) == copy.version_);
    for (auto const* odd : {"", "18", "\n", "x\n", "18\nno compressed text"})
    {
        CAPTURE(odd);
        CHECK_THROWS_AS(parse_template_copy(odd), error);
    }
}

TEST_CASE("the version in force is copied once")
{
    copy_fixture fixture;
    fixture.hold(18, "eighteen");
    CHECK(fixture.copy() == template_copy{18, "eighteen"});
    auto const writes = fixture.store_->applied_swaps_;
    fixture.run_for(milliseconds(300));
    CHECK(fixture.store_->applied_swaps_ == writes);
    CHECK(fixture.watcher_->is_copied("org", 18));
    CHECK_FALSE(fixture.watcher_->is_copied("org", 19));
}

// The duty goes to a balancer that the store refused for a while, or two
// balancers have it at once.
TEST_CASE("a newer copy is replaced by an older one")
{
    copy_fixture fixture;
    fixture.put_copy({21, "newer"});
    fixture.hold(18, "older");
    CHECK(fixture.copy() == template_copy{21, "newer"});
    CHECK(fixture.watcher_->is_copied("org", 18));
    // An older or unreadable copy is replaced.
    fixture.hold(22, "newest");
    CHECK(fixture.copy() == template_copy{22, "newest"});
}

TEST_CASE("an unreadable copy stays for ever")
{
    copy_fixture fixture;
    fixture.store_->entries_[copy_key] = {copy_key, "odd",
                                          ++fixture.store_->revision_};
    fixture.hold(18, "eighteen");
    CHECK(fixture.copy() == template_copy{18, "eighteen"});
}

TEST_CASE("a copy whose write was not answered is written again and again")
{
    copy_fixture fixture;
    fixture.run_until(
        [&]
        {
            return fixture.store_has(fixture.contact_key_) &&
                   fixture.store_has(std::string(target_list_key));
        });
    fixture.store_->swap_faults_ = {fake_store::swap_fault::lost_answer};
    fixture.hold(18, "eighteen");
    CHECK(fixture.store_->swap_faults_.empty());
    CHECK(fixture.copy() == template_copy{18, "eighteen"});
}

TEST_CASE("a copy is missing after the store was restored without it")
{
    copy_fixture fixture;
    fixture.hold(18, "eighteen");
    fixture.store_->restore({});
    fixture.answer_watch();
    fixture.run_until([&] { return fixture.store_has(copy_key); });
    CHECK(fixture.copy() == template_copy{18, "eighteen"});
}

TEST_CASE("a requested copy is read once, also after failures of the store")
{
    copy_fixture fixture;
    fixture.put_copy({18, "eighteen"});
    // Another organisation whose name begins alike.
    fixture.store_->entries_[copy_key + "-2"] = {copy_key + "-2", "other", 1};
    fixture.store_->is_down_ = true;
    fixture.watcher_->request_copy("org");
    fixture.run_for(milliseconds(300));
    CHECK(fixture.copies_.empty());
    fixture.store_->is_down_ = false;
    fixture.run_until([&] { return !fixture.copies_.empty(); });
    CHECK(parse_template_copy(fixture.copies_.front()) ==
          template_copy{18, "eighteen"});
    fixture.watcher_->request_copy("or");
    fixture.run_for(milliseconds(1'000));
    CHECK(fixture.copies_.size() == 1);
}

} // namespace daisytrail
