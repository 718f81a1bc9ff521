// One request on its way through an agent: its head, the buffered part of its
// body, its state, and where its answer goes.
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

// Takes the answer of one request: a flow, or the agent that handed it over.
class response_sink
{
public:
    virtual ~response_sink() = default;

    virtual void on_response_head(response_head const& head) = 0;
    // Returns false to pause the answer until request_job::resume().
    virtual bool on_response_body(std::string_view bytes) = 0;
    virtual void on_response_end() = 0;
    // The system's own answer in place of the backend server's; `truncated`
    // comes after the head.
    virtual void on_outcome(request_outcome outcome, duration retry_after) = 0;
    // More of the body may be sent.
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

    // A body up to this size is received whole before the request may start,
    // so that a slow sender holds no slot; a longer one is streamed.
    static constexpr std::size_t buffered_body_bytes = 65'536;

    // True if the body can be handed to another agent, or sent again.
    bool is_movable() const
    {
        return body_complete_ && !body_streamed_ &&
               body_.size() <= buffered_body_bytes;
    }

    request_id id_;
    request_head head_;
    request_state state_;
    std::size_t class_ = 0; // index into the service's classes
    bool standing_ = false; // holds no slot
    time_point received_at_{};
    time_point deadline_{};
    std::string body_; // what hasn't been given to an exchange
    bool body_complete_ = false;
    bool body_streamed_ = false; // body_ no longer holds all of the body
    bool admitted_ = false;      // had its one decision about its key
    bool response_started_ = false;
    response_sink* sink_ = nullptr; // null once the caller is gone
    std::shared_ptr<exchange> exchange_;
    std::unique_ptr<exchange_events> events_; // receives from exchange_

    bool holds_slot_ = false;    // of the own scheduler, under id_
    bool runs_for_peer_ = false; // runs for another agent, which retries
    bool is_forwarded_ = false;  // came to this agent as its key's owner
    std::shared_ptr<response_sink> owned_sink_; // sink_ of an answer to a peer
    std::uint32_t attempts_ = 0;
    bool is_server_error_ =
        false; // the answer is an error of the backend server
    bool reserved_at_peer_ = false; // rather than forwarded to a key's owner
    std::optional<target_id> executing_peer_; // runs there
    std::vector<target_id> pending_offers_;   // without a reply yet
    std::uint32_t offer_rounds_ = 0;
    bool offered_to_peers_first_ = false;
    bool waits_for_peers_ = false; // isn't in the own queue meanwhile
    std::optional<boost::asio::steady_timer> timer_; // deadline of the answer

    std::string key_;               // empty unless the own table holds it
    stored_answer stored_response_; // grows while the answer comes
    bool response_storable_ = true; // stored_response_ isn't over its limit
};

} // namespace daisytrail
