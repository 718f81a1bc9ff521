// A watcher at a fake store, for tests of a balancer's duties there.
#pragma once

#include "net/store_watcher.hpp"
#include "support/fake_store.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace daisytrail
{

// A balancer's watcher that holds a contact key and writes the list of targets.
class watcher_fixture
{
public:
    explicit watcher_fixture(balancer_settings const& settings = {})
    {
        auto fake = std::make_unique<fake_store>();
        store_ = fake.get();
        put_template(15, "before");
        watcher_ = std::make_unique<store_watcher>(
            io_, std::move(fake), settings, counters_,
            [this](store_entry const& entry)
            { applied_.push_back(entry.value_); });
        watcher_->start(
            [this](std::vector<endpoint> const& found) { contacts_ = found; },
            [this](std::string const& list) { lists_.push_back(list); },
            [this](std::string const&, std::string const& copy)
            { copies_.push_back(copy); });
        duties_.watches_templates_ = true;
        duties_.contact_key_ = contact_key_;
        duties_.target_list_ = "listed";
        watcher_->set_duties(duties_);
    }

    ~watcher_fixture()
    {
        watcher_->stop();
    }

    watcher_fixture(watcher_fixture const&) = delete;
    watcher_fixture& operator=(watcher_fixture const&) = delete;

    // Runs timers and delivers the store's answers.
    void run_for(std::chrono::milliseconds time)
    {
        auto const end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end)
        {
            io_.restart();
            io_.run_for(std::chrono::milliseconds(5));
            store_->run();
            if (repeats_duties_)
            {
                watcher_->set_duties(duties_);
            }
        }
    }

    bool store_has(std::string const& key) const
    {
        return store_->entries_.contains(key);
    }

    void put_template(revision at, std::string const& value)
    {
        std::string const key = std::string(template_prefix) + "org";
        store_->entries_[key] = {key, value, at};
        store_->revision_ = at;
    }

    // The end of a watch of a store that is away.
    static store_answer outage()
    {
        store_answer answer;
        answer.error_ = error_kind::unavailable;
        return answer;
    }

    // Answers the last watch without a change, as of the store's revision.
    void answer_watch()
    {
        store_answer answer;
        answer.revision_ = store_->revision_;
        answer.generation_ = store_->generation_;
        auto const handler = store_->watch_handler_;
        handler(answer);
    }

    std::string const contact_key_ = std::string(contact_prefix) + "north/0";
    boost::asio::io_context io_;
    metrics counters_;
    std::vector<std::string> applied_;
    std::vector<std::string> copies_; // that were read
    std::vector<std::string> lists_;  // that were read
    std::vector<endpoint> contacts_;  // that were read last
    store_duties duties_;
    bool repeats_duties_ = true; // as a balancer does
    fake_store* store_ = nullptr;
    std::unique_ptr<store_watcher> watcher_;
};

} // namespace daisytrail
