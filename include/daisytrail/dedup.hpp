// Idempotency keys of one agent: a request that repeats a key gets the
// response to the first request with the key and isn't run again. Memory is
// bounded, and no key is evicted before its retention has elapsed: while the
// table is full, requests with new keys are refused.
#pragma once

#include <daisytrail/request_state.hpp>
#include <daisytrail/types.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisytrail
{

// A key that an agent issued. It names the only process that may run the
// request.
struct issued_key
{
    target_id target_ = 0;
    incarnation incarnation_ = 0;
    std::uint64_t issued_ms_ = 0; // by the clock of the issuing process
    std::uint64_t sequence_ = 0;
    std::uint64_t check_ = 0; // keyed hash of the other fields

    bool operator==(issued_key const&) const = default;
};

// Formats a key as "dt1-TARGET-INCARNATION-ISSUED-SEQUENCE-CHECK" with
// hexadecimal fields.
std::string to_string(issued_key const& key);

// Parses a key of that form without verifying its hash. The result is empty for
// a key that a caller chose.
std::optional<issued_key> parse_issued_key(std::string_view text);

// The response to the first request with a key, which is replayed to requests
// that repeat the key.
struct stored_response
{
    unsigned status_ = 0;
    std::string reason_;
    std::vector<std::pair<std::string, std::string>> fields_;
    std::string body_;

    std::size_t bytes() const;

    bool operator==(stored_response const&) const = default;
};

enum class key_verdict
{
    run,    // first use: run the request and record its outcome
    join,   // a request with the key is running: wait for its outcome
    replay, // send response_ again
    outcome // respond with response_for(outcome_)
};

struct key_decision
{
    key_verdict verdict_ = key_verdict::run;
    stored_response const* response_ = nullptr; // valid until the next call
    request_outcome outcome_ = request_outcome::answered;
};

// Result of recording which agent runs the request of a key.
enum class owner_record_result : std::uint8_t
{
    recorded,      // the key was new, or recorded for the same owner
    already_known, // used in this process, or recorded for another owner
    full           // no memory for another key
};

struct dedup_limits
{
    std::size_t max_bytes_ = 32U << 20U;      // memory of the table
    std::size_t max_response_bytes_ = 65'536; // larger responses aren't stored
    // Counted from the outcome for a key that a caller chose. For an issued key
    // it is also counted from the issue; the key is refused afterwards.
    duration retention_{std::chrono::minutes(10)};
};

class dedup_table
{
public:
    // `secret` keys the hash of issued keys; it is drawn at random for each
    // process.
    dedup_table(target_id self, incarnation own_incarnation,
                std::uint64_t secret, dedup_limits const& limits = {});

    // Issues a new key for a request that this process is to run.
    std::string issue(time_point now);

    // Decides how to handle a request with this key. `fingerprint` is the
    // hash_request() of its method, path and body.
    key_decision begin(std::string const& key, std::uint64_t fingerprint,
                       time_point now);

    // Each request that begin() let run ends with one of the next three calls.

    // Stores the response to the request.
    void record_response(std::string const& key, stored_response response,
                         time_point now);
    // Stores an outcome without a response, unknown or too large to store.
    // Every repetition of the key gets this outcome.
    void record_outcome(std::string const& key, request_outcome outcome,
                        time_point now);
    // Removes the key of a request that wasn't run, so that it can be reused.
    void release(std::string const& key);

    // Records that another agent, `owner`, is about to run the request of this
    // key. If the request is repeated here, after the owner has gone, begin()
    // returns the outcome key_owner_gone.
    owner_record_result record_owner(std::string const& key,
                                     std::uint64_t fingerprint, target_id owner,
                                     time_point now);

    // True if the table has an entry for the key.
    bool contains(std::string const& key) const
    {
        return entries_.count(key) != 0;
    }

    // Removes the entries whose retention has elapsed.
    void expire(time_point now);

    std::size_t size() const
    {
        return entries_.size();
    }

    std::size_t bytes() const
    {
        return bytes_;
    }

private:
    struct entry
    {
        std::uint64_t fingerprint_ = 0;
        bool running_ = true;
        target_id recorded_owner_ = 0; // agent that runs it; 0: this agent
        request_outcome outcome_ = request_outcome::answered;
        stored_response response_;
        std::size_t bytes_ = 0; // memory accounted to this entry
    };

    // Reason to refuse an issued key; empty if this process may run it.
    std::optional<request_outcome> refusal_of_issued(issued_key const& key,
                                                     time_point now) const;
    std::uint64_t check(issued_key const& key) const;
    // Marks a running entry as finished; null if the key isn't running.
    entry* finish(std::string const& key, time_point now);

    target_id self_;
    incarnation incarnation_;
    std::uint64_t secret_;
    dedup_limits limits_;
    std::uint64_t next_sequence_ = 1;
    std::size_t bytes_ = 0; // sum of bytes_ of the entries
    std::unordered_map<std::string, entry> entries_;
    // Keys of finished entries, in ascending order of their expiry time.
    std::deque<std::pair<time_point, std::string>> expiries_;
};

// Fingerprint of a request, for example hash_request("POST", "/orders", body).
std::uint64_t hash_request(std::string_view method, std::string_view target,
                           std::string_view body);

} // namespace daisytrail
