// Idempotency keys of one agent: a repeated key meets the first answer and
// never a second run. Memory is bounded and nothing is forgotten early: when it
// is full, requests with new keys are refused.
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

// A key that the system issued: it names the one process that may run the
// request, so that no other ever does.
struct issued_key
{
    target_id target_ = 0;
    incarnation incarnation_ = 0;
    std::uint64_t issued_ms_ = 0; // on the issuing process's own clock
    std::uint64_t sequence_ = 0;
    std::uint64_t check_ = 0; // keyed hash of the rest

    bool operator==(issued_key const&) const = default;
};

// "dt1-TARGET-INCARNATION-ISSUED-SEQUENCE-CHECK", in hexadecimal.
std::string to_string(issued_key const& key);

// Reads the form only; empty for a key that a caller has chosen.
std::optional<issued_key> parse_issued_key(std::string_view text);

// The first answer, as given to repeats of its key.
struct stored_answer
{
    unsigned status_ = 0;
    std::string reason_;
    std::vector<std::pair<std::string, std::string>> fields_;
    std::string body_;

    std::size_t bytes() const;

    bool operator==(stored_answer const&) const = default;
};

enum class key_verdict
{
    run,    // first use: run it and report back
    join,   // it runs now: wait for its outcome
    replay, // give answer_ again
    outcome // give outcome_
};

struct key_decision
{
    key_verdict verdict_ = key_verdict::run;
    stored_answer const* answer_ = nullptr; // until the next call
    request_outcome outcome_ = request_outcome::answered;
};

enum class owner_record_result : std::uint8_t
{
    recorded,      // nothing else is known of the key
    already_known, // this process ran it, or another owner noted it here
    full
};

struct dedup_limits
{
    std::size_t max_bytes_ = 32U << 20U;
    std::size_t max_answer_bytes_ = 65'536; // a larger answer isn't kept
    // From the outcome for a key that a caller chose; from its issue for a key
    // of the system, which is refused afterwards.
    duration retention_{std::chrono::minutes(10)};
};

class dedup_table
{
public:
    // `secret` is random and new for each process.
    dedup_table(target_id self, incarnation own_incarnation,
                std::uint64_t secret, dedup_limits const& limits = {});

    std::string issue(time_point now);

    // Decides about a request with this key. `fingerprint` is a hash of its
    // method, path and body.
    key_decision begin(std::string const& key, std::uint64_t fingerprint,
                       time_point now);

    // The outcomes of a request that begin() let run.
    void record_answer(std::string const& key, stored_answer answer,
                       time_point now);
    // Unknown, or ran without an answer to keep: every repeat hears the same.
    void record_outcome(std::string const& key, request_outcome outcome,
                        time_point now);
    // Not run: the key is free again.
    void release(std::string const& key);

    // Notes for another agent that it is about to run the key's request. If
    // that agent is gone later, begin() answers key_owner_gone here.
    owner_record_result record_owner(std::string const& key,
                                     std::uint64_t fingerprint, target_id owner,
                                     time_point now);

    // True if this process holds the key.
    bool contains(std::string const& key) const
    {
        return entries_.count(key) != 0;
    }

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
        target_id recorded_owner_ = 0; // another agent runs it; 0: this one
        request_outcome outcome_ = request_outcome::answered;
        stored_answer answer_;
        std::size_t bytes_ = 0; // charged to the table
    };

    std::optional<request_outcome> refusal_of_issued(issued_key const& key,
                                                     time_point now) const;
    std::uint64_t check(issued_key const& key) const;
    entry* finish(std::string const& key, time_point now);

    target_id self_;
    incarnation incarnation_;
    std::uint64_t secret_;
    dedup_limits limits_;
    std::uint64_t next_sequence_ = 1;
    std::size_t bytes_ = 0; // sum of bytes_ of the entries
    std::unordered_map<std::string, entry> entries_;
    // Finished entries by the time they may be forgotten; it only grows.
    std::deque<std::pair<time_point, std::string>> expiries_;
};

// Fingerprint of a request: hash_request("POST", "/orders", body).
std::uint64_t hash_request(std::string_view method, std::string_view target,
                           std::string_view body);

} // namespace daisytrail
