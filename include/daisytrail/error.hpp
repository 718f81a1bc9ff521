// Error kinds and the exit status and HTTP status that each kind maps to.
#pragma once

#include <array>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace daisytrail
{

// Kinds of errors. Every failure that crosses a module boundary has one.
enum class error_kind
{
    invalid_argument,  // malformed input from an operator or caller
    invalid_packet,    // malformed IPv4 packet, tunnel or control message
    unauthenticated,   // wrong or missing message authentication code
    conflict,          // a compare-and-swap lost against another change
    not_found,         // the named object does not exist
    stale,             // older revision than the one in force
    limit_exceeded,    // a configured limit would be exceeded
    deadline_exceeded, // the deadline passed or can't be met
    unavailable,       // peer or store unreachable; nothing was executed
    outcome_unknown,   // the operation may or may not have taken effect
    cancelled,         // the caller disconnected
    internal,          // violated invariant in this program
    count              // number of kinds
};

// How an error kind is reported to an operator's command and to an HTTP caller.
struct error_response
{
    std::string_view name_;
    int exit_code_;      // exit status of the operator's command
    int http_status_;    // HTTP status of the response to a caller
    bool is_retry_safe_; // the operation has certainly not taken effect
};

inline constexpr std::array<error_response,
                            static_cast<std::size_t>(error_kind::count)>
    error_responses{{
        {"invalid_argument", 2, 400, true},
        {"invalid_packet", 2, 400, true},
        {"unauthenticated", 3, 403, true},
        {"conflict", 4, 409, true},
        {"not_found", 5, 404, true},
        {"stale", 4, 409, true},
        {"limit_exceeded", 6, 503, true},
        {"deadline_exceeded", 7, 503, true},
        {"unavailable", 8, 503, true},
        {"outcome_unknown", 9, 502, false},
        {"cancelled", 10, 499, false},
        {"internal", 1, 500, false},
    }};

// Returns the response for a kind, e.g.
// response_for(error_kind::conflict).exit_code_ == 4.
constexpr error_response const& response_for(error_kind kind)
{
    return error_responses[static_cast<std::size_t>(kind)];
}

// Exception with an error kind: throw error(error_kind::stale, "...").
class error : public std::runtime_error
{
public:
    error(error_kind kind, std::string const& text)
        : std::runtime_error(text), kind_(kind)
    {
    }

    error_kind kind() const noexcept
    {
        return kind_;
    }

private:
    error_kind kind_;
};

} // namespace daisytrail
