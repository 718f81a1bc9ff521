// Tests of a balancer's writes to the store: of the list of targets and of its
// contact. A write without an answer may be executed seconds later, and other
// balancers may write the same keys.
#include "support/fake_store.hpp"
#include "unit/watcher_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace daisytrail;
using swap_fault = fake_store::swap_fault;
using std::chrono::milliseconds;

namespace
{

// A change of the targets is written within this time: the interval between
// writes and a backoff.
constexpr milliseconds written_within{2'900};

std::string const list_key(target_list_key);

// A watcher that writes the list of targets and holds no contact.
class list_writer : public watcher_fixture
{
public:
    list_writer()
    {
        duties_.contact_key_.reset();
        list("a");
        run_until_stored("a");
    }

    void run_until_stored(std::string const& value)
    {
        auto const end = std::chrono::steady_clock::now() + written_within;
        while (stored() != value && std::chrono::steady_clock::now() < end)
        {
            run_for(milliseconds(50));
        }
    }

    void list(std::string const& value)
    {
        duties_.target_list_ = value;
        watcher_->set_duties(duties_);
    }

    std::string stored() const
    {
        auto const found = store_->entries_.find(list_key);
        return found == store_->entries_.end() ? "" : found->second.value_;
    }

    // Another balancer writes the list.
    void write_elsewhere(std::string const& value)
    {
        store_->entries_[list_key] = {list_key, value, ++store_->revision_};
    }
};

// A watcher that holds a contact and writes no list.
class contact_holder : public watcher_fixture
{
public:
    contact_holder() : watcher_fixture(own_settings())
    {
        duties_.target_list_.reset();
        watcher_->set_duties(duties_);
    }

    static balancer_settings own_settings()
    {
        balancer_settings settings;
        settings.common_.control_ = parse_endpoint("10.0.0.1:7580");
        return settings;
    }

    std::string stored() const
    {
        auto const found = store_->entries_.find(contact_key_);
        return found == store_->entries_.end() ? "" : found->second.value_;
    }
};

} // namespace

// FLOW: a write that was executed late replaced newer lists for good, and after
// a loss of all balancers nobody knew the target that it lacked.
TEST_CASE("a late write of the list of targets replaces a newer one")
{
    list_writer writer;
    REQUIRE(writer.stored() == "a");
    writer.run_for(milliseconds(2'000));
    writer.store_->swap_faults_ = {swap_fault::delayed};
    writer.list("a b");
    writer.run_for(milliseconds(250));
    REQUIRE(writer.store_->swap_faults_.empty());
    writer.list("a b c");
    writer.run_until_stored("a b c");
    REQUIRE(writer.stored() == "a b c");
    CHECK_FALSE(writer.store_->release_delayed());
    CHECK(writer.stored() == "a b c");
}

TEST_CASE("a write of the list whose answer is lost is taken for missing")
{
    list_writer writer;
    writer.run_for(milliseconds(2'000));
    writer.store_->swap_faults_ = {swap_fault::lost_answer};
    writer.list("a b");
    writer.run_until_stored("a b");
    writer.list("a b c");
    writer.run_until_stored("a b c");
    CHECK(writer.stored() == "a b c");
}

// Two balancers have the duty at once while the fleet is split: each of them
// knows targets that the other one lacks.
TEST_CASE("a write of the list drops the targets that another balancer has "
          "written")
{
    list_writer writer;
    writer.run_for(milliseconds(2'000));
    writer.repeats_duties_ = false;
    writer.write_elsewhere("x");
    writer.list("a b");
    writer.run_for(milliseconds(400));
    CHECK(writer.stored() == "x");
    REQUIRE(!writer.lists_.empty());
    CHECK(writer.lists_.back() == "x");
    // The targets have joined the own list.
    writer.list("a b x");
    writer.run_until_stored("a b x");
    CHECK(writer.stored() == "a b x");
}

// The balancer believed in what it had written last until its list changed.
TEST_CASE("a list that another balancer has replaced stays as it is")
{
    list_writer writer;
    writer.write_elsewhere("");
    writer.run_for(milliseconds(5'500));
    writer.run_until_stored("a");
    CHECK(writer.stored() == "a");
}

TEST_CASE(
    "a balancer that gets the duty again believes in what it wrote before")
{
    list_writer writer;
    writer.duties_.target_list_.reset();
    writer.watcher_->set_duties(writer.duties_);
    writer.run_for(milliseconds(300));
    writer.repeats_duties_ = false;
    writer.write_elsewhere("x");
    writer.list("a");
    writer.run_for(written_within);
    CHECK(writer.lists_.back() == "x");
    // What the balancer listed before it has read the list is outdated.
    CHECK(writer.stored() == "x");
    writer.list("a x");
    writer.run_until_stored("a x");
    CHECK(writer.stored() == "a x");
}

// The key stays bound to the lease of the former write, which nobody renews.
TEST_CASE("a late write of the contact replaces a newer one")
{
    contact_holder holder;
    holder.store_->swap_faults_ = {swap_fault::delayed};
    holder.run_for(milliseconds(150));
    REQUIRE(holder.store_->swap_faults_.empty());
    holder.run_for(milliseconds(1'500));
    REQUIRE(holder.stored() == "10.0.0.1:7580");
    CHECK_FALSE(holder.store_->release_delayed());
}

TEST_CASE("a contact replaces that of a balancer that nobody here knows, and "
          "the balancer stays unknown")
{
    contact_holder holder;
    holder.store_->entries_[holder.contact_key_] = {
        holder.contact_key_, "10.0.0.9:7580", ++holder.store_->revision_};
    holder.run_for(milliseconds(600));
    CHECK(holder.stored() == "10.0.0.9:7580");
    CHECK(holder.contacts_ ==
          std::vector<endpoint>{parse_endpoint("10.0.0.9:7580")});
    // It hasn't led to other keys: the key is of a balancer that has ended.
    holder.run_for(milliseconds(2'500));
    CHECK(holder.stored() == "10.0.0.1:7580");
}
