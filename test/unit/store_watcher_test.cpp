// Tests of the first calls that a balancer makes to the store.
#include "net/store_watcher.hpp"
#include "support/fake_store.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <string>

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
