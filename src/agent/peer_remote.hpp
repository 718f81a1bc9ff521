// The Asio side of requests that run at another agent, and of responses sent to
// another agent. These objects are used on the Asio loop only.
#pragma once

#include "agent/peer_bridge.hpp"

namespace daisytrail
{

// Exchange of a request of this agent that runs at another agent.
class remote_exchange : public exchange
{
public:
    remote_exchange(std::shared_ptr<peer_rpc_bridge> bridge,
                    std::uint64_t token, request_id request,
                    exchange_events& events);

    bool send_body(std::string_view bytes, bool last) override;
    void resume() override;
    void cancel() override;

    // Messages of the other agent. Messages for another request, duplicates and
    // messages after the last event are dropped and counted.
    void receive_head(request_id request, std::uint64_t sequence,
                      response_head head);
    void receive_body(request_id request, std::uint64_t sequence,
                      std::string const& bytes);
    void receive_result(request_id request, std::uint64_t sequence,
                        request_outcome outcome, duration retry_after);
    void on_connection_lost(bool was_sent);

    std::function<void()> acknowledge_; // requests the next part
    std::function<void()> abandon_;     // cancels the RPC

private:
    bool accept_call(request_id request, std::uint64_t sequence);

    std::shared_ptr<peer_rpc_bridge> bridge_;
    std::uint64_t token_;
    request_id request_;
    exchange_events* events_;         // null after the last event
    std::uint64_t next_sequence_ = 0; // expected in the next message
};

// Sends the response of a request that runs here for another agent.
class remote_response : public peer_response
{
public:
    void on_response_head(response_head const& head) override;
    bool on_response_body(std::string_view bytes) override;
    void on_response_end() override;
    void on_outcome(request_outcome outcome, duration retry_after) override;
    void on_body_drained() override;

    void on_acknowledged(); // the other agent accepted one part of the body
    void on_cancelled();

    std::function<void(response_head const&)> send_head_;
    std::function<void(std::string)> send_body_;
    std::function<void(request_outcome, duration)> send_result_;

private:
    std::size_t unacknowledged_ = 0; // parts of the body in flight
    bool paused_ = false;
    bool is_settled_ = false;
};

} // namespace daisytrail
