// Synchronous access to the configuration store for commands.
#pragma once

#include <daisytrail/store.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisytrail
{

// The event loop and clock of a command. Tests substitute virtual time.
struct command_environment
{
    std::function<void()> run_one_; // runs one handler of the event loop
    std::function<void(std::chrono::milliseconds)> pause_;
    std::function<time_point()> now_;
};

// Runs the event loop until the answer to a call arrives.
class blocking_store
{
public:
    blocking_store(config_store& store, command_environment environment)
        : store_(store), environment_(std::move(environment))
    {
    }

    store_answer range(std::string const& prefix, std::size_t limit);

    // Returns at most one entry, whose key equals `key`.
    store_answer get(std::string const& key);

    store_answer swap(std::vector<store_comparison> comparisons,
                      std::vector<store_write> writes);

    // Retry a failed read with exponential backoff until the deadline.
    store_answer get_until(std::string const& key, time_point deadline);
    store_answer range_until(std::string const& prefix, std::size_t limit,
                             time_point deadline);

    command_environment const& environment() const
    {
        return environment_;
    }

private:
    store_answer wait(std::optional<store_answer> const& answer);

    config_store& store_;
    command_environment environment_;
};

// Exponential backoff with a maximum delay.
class backoff
{
public:
    std::chrono::milliseconds next();

private:
    std::chrono::milliseconds delay_{50};
};

} // namespace daisytrail
