// State machine of one request, the closed list of its outcomes and the table
// from outcome to answer. "Not run" is a promise: the machine gives it only if
// the backend server can't have seen the request, or itself refused it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace daisytrail
{

enum class request_phase : std::uint8_t
{
    received, // its head is read
    queued,   // waits for a slot
    reserved, // a slot is held for it, here or at another agent
    started,  // the backend server may have seen it
    answered, // its one outcome is settled
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(request_phase::count)>
    request_phase_names{"received", "queued", "reserved", "started",
                        "answered"};

enum class request_outcome : std::uint8_t
{
    answered,             // the backend server's own answer
    refused_by_backend,   // the backend server shed it
    queue_full,           // no room in the queue
    shed,                 // gave way to a request of a higher class
    deadline_unreachable, // the expected wait is longer than the deadline
    deadline_passed,      // the deadline passed in the queue
    no_backend,           // no backend server can be reached
    draining,             // the target is leaving and no other took it
    malformed,            // not an HTTP/1.1 request
    header_too_large,
    body_too_large,
    slow_sender,     // the head or body came too slowly
    key_mismatch,    // the key was used for another request
    key_invalid,     // a key of the system's form that it never issued
    key_memory_full, // no room to remember another key
    key_not_kept,    // it ran; its answer was too large to keep
    key_expired,     // the key is older than its retention
    key_owner_gone,  // the agent that knows the key's outcome is gone
    lost,            // the backend server was lost after the start
    overdue,         // no answer by the deadline
    truncated,       // lost within the answer; the connection is reset
    cancelled,       // the caller went away
    count
};

// What a caller can conclude about the request.
enum class outcome_verdict : std::uint8_t
{
    ran,     // it ran once
    not_run, // it didn't run and won't
    unknown, // it may have run, and may be running
    none     // nobody is told
};

inline constexpr std::array<std::string_view, 4> outcome_verdict_names{
    "ran", "not-run", "unknown", ""};

enum class retry_advice : std::uint8_t
{
    none,        // the answer is final
    later,       // after the seconds of Retry-After
    fix_request, // the same request is refused again
    same_key,    // only with the same Idempotency-Key; else look first
    check_first  // look whether it ran; a retry may run it a second time
};

inline constexpr std::array<std::string_view, 5> retry_advice_names{
    "none", "later", "fix-request", "same-key", "check-first"};

struct outcome_answer
{
    std::string_view name_; // Daisytrail-Reason
    unsigned status_;       // 0: nothing is sent
    std::string_view reason_phrase_;
    outcome_verdict verdict_; // Daisytrail-Outcome
    retry_advice advice_;
    bool closes_connection_; // the flow can't carry another request
};

inline constexpr std::array<outcome_answer,
                            static_cast<std::size_t>(request_outcome::count)>
    outcome_answers{{
        {"answered", 0, "", outcome_verdict::ran, retry_advice::none, false},
        {"refused_by_backend", 503, "Service Unavailable",
         outcome_verdict::not_run, retry_advice::later, false},
        {"queue_full", 503, "Service Unavailable", outcome_verdict::not_run,
         retry_advice::later, false},
        {"shed", 503, "Service Unavailable", outcome_verdict::not_run,
         retry_advice::later, false},
        {"deadline_unreachable", 503, "Service Unavailable",
         outcome_verdict::not_run, retry_advice::later, false},
        {"deadline_passed", 503, "Service Unavailable",
         outcome_verdict::not_run, retry_advice::later, false},
        {"no_backend", 503, "Service Unavailable", outcome_verdict::not_run,
         retry_advice::later, false},
        {"draining", 503, "Service Unavailable", outcome_verdict::not_run,
         retry_advice::later, true},
        {"malformed", 400, "Bad Request", outcome_verdict::not_run,
         retry_advice::fix_request, true},
        {"header_too_large", 431, "Request Header Fields Too Large",
         outcome_verdict::not_run, retry_advice::fix_request, true},
        {"body_too_large", 413, "Payload Too Large", outcome_verdict::not_run,
         retry_advice::fix_request, true},
        {"slow_sender", 408, "Request Timeout", outcome_verdict::not_run,
         retry_advice::later, true},
        {"key_mismatch", 422, "Unprocessable Entity", outcome_verdict::not_run,
         retry_advice::fix_request, false},
        {"key_invalid", 400, "Bad Request", outcome_verdict::not_run,
         retry_advice::fix_request, false},
        {"key_memory_full", 503, "Service Unavailable",
         outcome_verdict::not_run, retry_advice::later, false},
        {"key_not_kept", 409, "Conflict", outcome_verdict::ran,
         retry_advice::none, false},
        {"key_expired", 502, "Bad Gateway", outcome_verdict::unknown,
         retry_advice::check_first, false},
        {"key_owner_gone", 502, "Bad Gateway", outcome_verdict::unknown,
         retry_advice::check_first, false},
        {"lost", 502, "Bad Gateway", outcome_verdict::unknown,
         retry_advice::same_key, false},
        {"overdue", 504, "Gateway Timeout", outcome_verdict::unknown,
         retry_advice::same_key, false},
        {"truncated", 0, "", outcome_verdict::unknown, retry_advice::same_key,
         true},
        {"cancelled", 0, "", outcome_verdict::none, retry_advice::none, true},
    }};

// answer_for(request_outcome::lost).status_ == 502.
constexpr outcome_answer const& answer_for(request_outcome outcome)
{
    return outcome_answers[static_cast<std::size_t>(outcome)];
}

constexpr std::string_view to_string(request_outcome outcome)
{
    return answer_for(outcome).name_;
}

constexpr std::string_view to_string(outcome_verdict verdict)
{
    return outcome_verdict_names[static_cast<std::size_t>(verdict)];
}

constexpr std::string_view to_string(retry_advice advice)
{
    return retry_advice_names[static_cast<std::size_t>(advice)];
}

class request_state
{
public:
    explicit request_state(bool repeatable) : repeatable_(repeatable) {}

    request_phase phase() const
    {
        return phase_;
    }

    // Moves on by one step that the table allows; throws error(internal) for
    // any other, so that nothing is started twice or answered twice.
    void enqueue();
    void reserve();
    void start();

    // The start is proved not to have reached the backend server's work: the
    // connect failed, or the backend server refused. The request is queued.
    void withdraw();

    // Goes back to the queue after a loss; only repeatable requests may.
    void repeat();

    bool may_repeat() const
    {
        return repeatable_ && phase_ == request_phase::started;
    }

    // Settles the outcome once. A not-run outcome wanted after the start
    // becomes `lost`.
    request_outcome settle(request_outcome requested);

    std::uint32_t starts() const
    {
        return starts_;
    }

private:
    void advance(request_phase to);

    request_phase phase_ = request_phase::received;
    bool repeatable_;
    bool may_have_run_ = false; // an earlier start was lost
    std::uint32_t starts_ = 0;  // above 1 only if repeatable or withdrawn
};

} // namespace daisytrail
