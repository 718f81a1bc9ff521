// Interface of the calls between agents: reserve a slot, run a request, record
// an idempotency key. requests_service depends on this interface only; peer_rpc
// implements it with Cap'n Proto RPC.
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
    target_id origin_ = 0;   // target of the agent that makes the offer
    request_id request_ = 0; // assigned by that agent
    std::size_t class_ = 0;
    duration age_{};         // time since the request was received
    duration deadline_{};    // remaining time
    duration origin_wait_{}; // expected wait at the offering agent
    bool immediate_ = false; // refuse unless a slot is free now
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

// A request with its complete body, as passed to another agent.
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

// Calls to other agents. Replies are delivered on the event loop, never before
// the call returns.
class peer_link
{
public:
    virtual ~peer_link() = default;

    virtual void reserve(endpoint const& peer, peer_offer_request const& offer,
                         std::function<void(offer_reply)> reply) = 0;
    virtual void release(endpoint const& peer, target_id origin,
                         request_id request) = 0;

    // Asks another agent to record a caller's key that this agent is about to
    // use. The reply is empty if the agent can't be reached.
    virtual void
    witness(endpoint const& peer, target_id origin, std::string const& key,
            std::uint64_t fingerprint,
            std::function<void(std::optional<owner_record_result>)> reply) = 0;

    // Runs the request on the reserved slot or, if `reservation` is 0, at the
    // owner of its key. Runs it at most once.
    virtual std::shared_ptr<exchange> start(endpoint const& peer,
                                            std::uint64_t reservation,
                                            peer_request request,
                                            exchange_events& events) = 0;
};

// Sends the response of a request that runs here to the agent that passed it
// on, and reports when that agent cancels the call.
class peer_response : public response_sink
{
public:
    std::function<void()> on_cancel_; // the agent cancelled or is lost
    std::function<void()> on_resume_; // the response may continue
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
