// State of one request in an agent: its head, the buffered part of its body,
// its phase, its offers to other agents and the receiver of its response.
#pragma once

#include "agent/requests_exchange.hpp"
#include "agent/requests_message.hpp"

#include <daisytrail/dedup.hpp>
#include <daisytrail/scheduler.hpp>
#include <daisytrail/types.hpp>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisytrail
{

// Receiver of the response to one request: the session of the caller's flow, or
// the agent that passed the request to this one.
class response_sink
{
public:
    virtual ~response_sink() = default;

    virtual void on_response_head(response_head const& head) = 0;
    // Returns false to pause the response until request_job::resume().
    virtual bool on_response_body(std::string_view bytes) = 0;
    virtual void on_response_end() = 0;
    // The request ended without a complete response of the backend server. The
    // sink writes the response that belongs to `outcome`. `truncated` follows
    // a head that was already delivered.
    virtual void on_outcome(request_outcome outcome, duration retry_after) = 0;
    // The sink may pass on more of the request's body.
    virtual void on_body_drained() = 0;
};

struct request_job : std::enable_shared_from_this<request_job>
{
    request_job(request_id id, request_head head, bool repeatable)
        : id_(id), head_(std::move(head)), state_(repeatable)
    {
    }

    bool send_body(std::string_view bytes, bool last)
    {
        if (exchange_)
        {
            body_streamed_ = true;
            body_complete_ = last;
            return exchange_->send_body(bytes, last);
        }
        body_.append(bytes);
        body_complete_ = last;
        return body_.size() < buffered_body_bytes;
    }

    void resume()
    {
        if (exchange_)
        {
            exchange_->resume();
        }
    }

    // A body up to this size is received completely before the request may
    // start, so that a slow sender holds no slot. A longer body is streamed.
    static constexpr std::size_t buffered_body_bytes = 65'536;

    // True if the complete body is buffered, so that the request can be passed
    // to another agent or retried.
    bool is_movable() const
    {
        return body_complete_ && !body_streamed_ &&
               body_.size() <= buffered_body_bytes;
    }

    request_id id_;
    request_head head_;
    request_state state_;
    std::size_t class_ = 0; // index into the service's classes
    // The response doesn't end by itself, e.g. a feed: occupies no slot.
    bool has_endless_response_ = false;
    time_point received_at_{};
    time_point deadline_{};
    std::string body_; // buffered part of the body
    bool body_complete_ = false;
    bool body_streamed_ = false; // body_ no longer holds the complete body
    bool admitted_ = false;      // admission was decided
    bool response_started_ = false;
    response_sink* sink_ = nullptr; // null after the outcome or cancel()
    std::shared_ptr<exchange> exchange_;
    std::unique_ptr<exchange_events> events_; // receiver of exchange_

    bool holds_slot_ = false; // occupies a slot of scheduler_ under id_
    // Runs on a slot that another agent reserved. That agent does the retries.
    bool runs_for_peer_ = false;
    // Another agent forwarded it to this agent, the owner of its key.
    bool is_forwarded_ = false;
    // Keeps sink_ alive if the response goes to another agent.
    std::shared_ptr<response_sink> owned_sink_;
    std::uint32_t attempts_ = 0;
    bool is_server_error_ = false; // the response has a status of 500 or above
    // True if it runs on a slot reserved at executing_peer_, false if it was
    // forwarded there as the owner of its key.
    bool reserved_at_peer_ = false;
    std::optional<target_id> executing_peer_; // empty: runs at this agent
    std::vector<target_id> pending_offers_;   // peers that haven't replied
    std::uint32_t offer_rounds_ = 0;
    bool offered_to_peers_first_ = false;
    bool waits_for_peers_ = false; // meanwhile not in scheduler_'s queue
    std::optional<boost::asio::steady_timer> timer_; // expires at deadline_

    std::string key_;                 // empty unless it runs under this key
    stored_response stored_response_; // for repeats of key_
    bool response_storable_ = true;   // false: the body is too large
};

} // namespace daisytrail
