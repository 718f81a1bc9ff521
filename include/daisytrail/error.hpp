// Closed list of error kinds and the table from kind to answer.
#pragma once

#include <array>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace daisytrail
{

// Every failure that crosses a module boundary is one of these kinds.
enum class error_kind
{
    invalid_argument,  // malformed input from an operator or caller
    invalid_packet,    // malformed IPv4 packet, tunnel or control message
    unauthenticated,   // wrong or missing message authentication code
    conflict,          // a compare-and-swap lost against another change
    not_found,         // the named object does not exist
    stale,             // an older revision than the one in force
    limit_exceeded,    // a configured limit would be passed
    deadline_exceeded, // the deadline passed or can't be met
    unavailable,       // the peer or the store can't be reached; not run
    outcome_unknown,   // the work may or may not have taken effect
    cancelled,         // the caller went away
    internal,          // a broken invariant in this program
    count              // number of kinds
};

// What an operator's command and an HTTP caller are told for one kind.
struct error_response
{
    std::string_view name_;
    int exit_code_;      // exit status of the operator's command
    int http_status_;    // status of the answer to a caller
    bool is_retry_safe_; // true only if nothing has taken effect
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

// Returns the answer for a kind: response_for(error_kind::conflict).exit_code_.
constexpr error_response const& response_for(error_kind kind)
{
    return error_responses[static_cast<std::size_t>(kind)];
}

// Exception that carries an error kind: throw error(error_kind::stale, "...").
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
