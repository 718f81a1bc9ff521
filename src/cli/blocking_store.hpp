// The configuration store as a command uses it: one call after another.
#pragma once

#include <daisytrail/store.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisytrail
{

// What a command needs of its surroundings; tests put virtual time in here.
struct command_environment
{
    std::function<void()> run_one_; // handles one event of the store's loop
    std::function<void(std::chrono::milliseconds)> pause_;
    std::function<time_point()> now_;
};

// Waits for each answer by running the event loop.
class blocking_store
{
public:
    blocking_store(config_store& store, command_environment environment)
        : store_(store), environment_(std::move(environment))
    {
    }

    store_answer range(std::string const& prefix, std::size_t limit);

    // The entry with exactly this key is the only one in entries_, if any.
    store_answer get(std::string const& key);

    store_answer swap(std::vector<store_comparison> comparisons,
                      std::vector<store_write> writes);

    // Reads are repeated with backoff until the deadline.
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

// Exponential backoff with a ceiling.
class backoff
{
public:
    std::chrono::milliseconds next();

private:
    std::chrono::milliseconds delay_{50};
};

} // namespace daisytrail
