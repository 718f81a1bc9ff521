// What one agent asks of another: to hold a slot, and to run a request. The
// service sees this interface only; peer_rpc carries it by Cap'n Proto RPC.
#pragma once

#include "agent/requests_exchange.hpp"
#include "agent/requests_job.hpp"

#include <daisytrail/peer_choice.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace daisytrail
{

struct peer_offer_request
{
    service_id service_ = 0;
    target_id origin_ = 0;
    request_id request_ = 0; // its id at home
    std::size_t class_ = 0;
    duration age_{};         // since it was received
    duration deadline_{};    // from now
    duration origin_wait_{}; // that it would have at home
    bool immediate_ = false;
};

enum class offer_result
{
    granted,
    refused,
    unreachable
};

struct offer_reply
{
    offer_result result_ = offer_result::unreachable;
    std::uint64_t reservation_ = 0;
    load_report load_;
};

// A request whose body is whole, on its way to another agent.
struct peer_request
{
    service_id service_ = 0;
    target_id origin_ = 0;
    request_id request_ = 0;
    std::size_t class_ = 0;
    duration age_{};
    duration deadline_{};
    request_head head_;
    std::string body_;
};

// Calls to other agents. Replies come on the event loop, never within a call.
class peer_link
{
public:
    virtual ~peer_link() = default;

    virtual void reserve(endpoint const& peer, peer_offer_request const& offer,
                         std::function<void(offer_reply)> reply) = 0;
    virtual void release(endpoint const& peer, target_id origin,
                         request_id request) = 0;

    // Notes a key that a caller chose at another agent; empty: unreachable.
    virtual void
    witness(endpoint const& peer, target_id origin, std::string const& key,
            std::uint64_t fingerprint,
            std::function<void(std::optional<owner_record_result>)> reply) = 0;

    // Runs the request on the reserved slot, or, with reservation 0, as the
    // owner of its key. Each is started at most once.
    virtual std::shared_ptr<exchange> start(endpoint const& peer,
                                            std::uint64_t reservation,
                                            peer_request request,
                                            exchange_events& events) = 0;
};

// Takes the answer of a request that runs for another agent, and is told when
// that agent is gone.
class peer_response : public response_sink
{
public:
    std::function<void()> on_cancel_; // the other agent gave up or is gone
    std::function<void()> on_resume_; // it takes more of the answer
};

// Calls from other agents.
class peer_events
{
public:
    virtual ~peer_events() = default;

    virtual void on_reserve(peer_offer_request const& offer,
                            std::function<void(offer_reply)> reply) = 0;
    virtual void on_release(target_id origin, request_id request) = 0;
    virtual owner_record_result on_witness(target_id origin,
                                           std::string const& key,
                                           std::uint64_t fingerprint) = 0;
    virtual void on_start(std::uint64_t reservation, peer_request request,
                          std::shared_ptr<peer_response> response) = 0;
};

} // namespace daisytrail
