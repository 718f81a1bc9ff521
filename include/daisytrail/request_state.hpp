// State machine of one request, the complete list of request outcomes and the
// response to each outcome. A caller may rely on the verdict "not run": it is
// given only if the backend server can't have seen the request or has refused
// it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace daisytrail
{

enum class request_phase : std::uint8_t
{
    received, // the header has been read
    queued,   // the request waits for a slot
    reserved, // a slot is reserved, here or at another agent
    started,  // the backend server may have seen the request
    answered, // the outcome is final
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(request_phase::count)>
    request_phase_names{"received", "queued", "reserved", "started",
                        "answered"};

// Final result of a request. Except for `answered`, `truncated` and
// `cancelled`, the agent itself responds to the caller; see outcome_responses.
enum class request_outcome : std::uint8_t
{
    answered,             // the backend server answered
    refused_by_backend,   // the backend server shed the request
    queue_full,           // the queue has no room
    shed,                 // displaced by a request of a higher priority
    deadline_unreachable, // expected to miss its deadline on arrival
    deadline_passed,      // waited so long that the deadline can't be met
    no_backend,           // no backend server can be reached
    draining,             // the target drains and no peer took the request
    malformed,            // not an HTTP/1.1 request
    header_too_large,
    body_too_large,
    slow_sender,     // the caller sent the header or body too slowly
    key_mismatch,    // the key was used for a different request
    key_invalid,     // has the form of an issued key but wasn't issued
    key_memory_full, // no memory to store another key
    key_not_kept,    // ran, but the response was too large to store
    key_expired,     // the key is older than its retention
    key_owner_gone,  // the agent that knows the key's outcome is gone
    lost,            // the backend server was lost after the start
    overdue,         // the backend server didn't answer by the deadline
    truncated,       // lost during the response; the connection is reset
    cancelled,       // the caller closed its connection
    count
};

// What a caller can conclude about the request.
enum class outcome_verdict : std::uint8_t
{
    ran,     // the request ran once
    not_run, // the request didn't run and won't run
    unknown, // the request may have run or may still be running
    none     // there is no caller to respond to
};

inline constexpr std::array<std::string_view, 4> outcome_verdict_names{
    "ran", "not-run", "unknown", ""};

// What a caller should do to retry a request.
enum class retry_advice : std::uint8_t
{
    none,        // don't retry; the response is final
    later,       // retry after the seconds that Retry-After gives
    fix_request, // change the request; it would be refused again unchanged
    same_key,    // retry with the same Idempotency-Key; without a key, as
                 // check_first
    check_first  // check whether it ran; a retry may run it a second time
};

inline constexpr std::array<std::string_view, 5> retry_advice_names{
    "none", "later", "fix-request", "same-key", "check-first"};

// How an outcome is reported to the caller.
struct outcome_response
{
    std::string_view name_; // value of Daisytrail-Reason
    unsigned status_;       // HTTP status; 0: the agent sends no response
    std::string_view reason_phrase_;
    outcome_verdict verdict_; // value of Daisytrail-Outcome
    retry_advice advice_;
    bool closes_connection_; // no further request on this connection
};

inline constexpr std::array<outcome_response,
                            static_cast<std::size_t>(request_outcome::count)>
    outcome_responses{{
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

// Returns the response for an outcome, e.g.
// response_for(request_outcome::lost).status_ == 502.
constexpr outcome_response const& response_for(request_outcome outcome)
{
    return outcome_responses[static_cast<std::size_t>(outcome)];
}

constexpr std::string_view to_string(request_outcome outcome)
{
    return response_for(outcome).name_;
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

    // Each of these functions takes one step of the state machine. A step that
    // the transition table doesn't allow throws error(internal), so that no
    // request is started or answered twice.
    void enqueue();
    void reserve();
    void start();

    // Returns a started request to the queue if the backend server certainly
    // didn't run it: the connection failed, or the backend server refused it.
    void withdraw();

    // Returns a started request to the queue after the backend server was lost.
    // Only a repeatable request may run again.
    void repeat();

    bool may_repeat() const
    {
        return repeatable_ && phase_ == request_phase::started;
    }

    // Sets the final outcome and returns it; a second call throws. If the
    // request may have run, a requested outcome of the verdict not_run becomes
    // `lost`.
    request_outcome settle(request_outcome requested);

    std::uint32_t starts() const
    {
        return starts_;
    }

private:
    void advance(request_phase to);

    request_phase phase_ = request_phase::received;
    bool repeatable_;
    bool may_have_run_ = false; // the backend server was lost in an earlier run
    std::uint32_t starts_ = 0;  // above 1 only after repeat() or withdraw()
};

} // namespace daisytrail
