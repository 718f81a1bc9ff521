// Tests of the first calls that a balancer makes to the store.
#include "net/store_watcher.hpp"
#include "support/fake_store.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace daisytrail;

// After a power failure each balancer read the list of targets at once and the
// templates 100 ms later, and dropped every SYN until then.
TEST_CASE("the templates are read as soon as the balancer has to follow them")
{
    boost::asio::io_context io;
    metrics counters;
    auto fake = std::make_unique<fake_store>();
    auto& store = *fake;
    std::string const key = std::string(template_prefix) + "org";
    store.entries_[key].key_ = key;
    store.entries_[key].value_ = "template";
    std::string read;
    store_watcher watcher(io, std::move(fake), {}, counters,
                          [&read](store_entry const& entry)
                          { read = entry.value_; });
    watcher.start([](auto const&) {}, [](auto const&) {});
    store_duties duties;
    duties.watches_templates_ = true;
    watcher.set_duties(duties);
    store.run();
    CHECK(read == "template");
    watcher.stop();
}

// CONFIG: a storm of changes outran a starved balancer, which checked and
// applied each version that an answer of the store brought, the outdated ones
// too.
TEST_CASE("a change is late in force after a storm of changes: outdated "
          "versions of the same answer are applied first")
{
    boost::asio::io_context io;
    metrics counters;
    auto fake = std::make_unique<fake_store>();
    auto& store = *fake;
    std::vector<std::string> applied;
    store_watcher watcher(io, std::move(fake), {}, counters,
                          [&applied](store_entry const& entry)
                          { applied.push_back(entry.value_); });
    watcher.start([](auto const&) {}, [](auto const&) {});
    store_duties duties;
    duties.watches_templates_ = true;
    watcher.set_duties(duties);
    store.run();
    REQUIRE(store.watch_handler_);
    store_answer answer;
    answer.revision_ = 14;
    std::string const prefix(template_prefix);
    answer.entries_ = {{prefix + "a", "a, first", 11},
                       {prefix + "b", "b", 12},
                       {prefix + "a", "a, second", 13},
                       {prefix + "a", "a, third", 14}};
    store.watch_handler_(answer);
    CHECK(applied == std::vector<std::string>{"b", "a, third"});
    watcher.stop();
}
