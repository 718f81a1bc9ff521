// One request and its answer between the agent and its backend server, on a TCP
// connection of its own, so that a failed connect proves that nothing ran.
#pragma once

#include "agent/requests_message.hpp"

#include <daisytrail/request_state.hpp>
#include <daisytrail/types.hpp>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace daisytrail
{

// How an exchange ended without a whole answer.
enum class exchange_failure
{
    not_run,        // no byte of the request was sent
    outcome_unknown // lost after the request was sent
};

// Receiver of an answer. Nothing comes after on_end(), on_failure() or
// on_refusal().
class exchange_events
{
public:
    virtual ~exchange_events() = default;

    virtual void on_head(response_head head) = 0;
    // Returns false to pause the answer until exchange::resume().
    virtual bool on_body(std::string_view bytes) = 0;
    virtual void on_end() = 0;
    virtual void on_failure(exchange_failure failure) = 0;
    // Another agent settled the request without an answer of its backend
    // server.
    virtual void on_refusal(request_outcome outcome, duration retry_after) = 0;
    // More of the request's body may be sent.
    virtual void on_send_buffer_drained() = 0;
};

class exchange
{
public:
    virtual ~exchange() = default;

    // Queues a piece of the request's body; returns false if the caller should
    // wait for on_send_buffer_drained().
    virtual bool send_body(std::string_view bytes, bool last) = 0;
    virtual void resume() = 0;

    // Drops the connection, which tells the backend server to stop. No event
    // follows.
    virtual void cancel() = 0;
};

// Starts an exchange. `events` must outlive it or call cancel() first.
std::shared_ptr<exchange>
start_exchange(boost::asio::io_context& io, endpoint const& backend,
               request_head const& head, std::string_view body,
               bool body_complete, exchange_events& events);

} // namespace daisytrail
