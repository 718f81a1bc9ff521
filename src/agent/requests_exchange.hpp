// Exchange of one request and its response with a backend server or another
// agent. An exchange with the backend server uses its own TCP connection, so a
// failed connect proves that the request didn't run.
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

// Reason why an exchange ended without a complete response.
enum class exchange_failure
{
    not_run,        // failed before any byte of the request was sent
    outcome_unknown // failed after the request may have been sent
};

// Receiver of the events of an exchange. on_end(), on_failure() or on_refusal()
// is the last event.
class exchange_events
{
public:
    virtual ~exchange_events() = default;

    virtual void on_head(response_head head) = 0;
    // Returns false to pause the response until exchange::resume().
    virtual bool on_body(std::string_view bytes) = 0;
    virtual void on_end() = 0;
    virtual void on_failure(exchange_failure failure) = 0;
    // Another agent decided the outcome without a response of its backend
    // server.
    virtual void on_refusal(request_outcome outcome, duration retry_after) = 0;
    // The send buffer has room for more of the request's body.
    virtual void on_send_buffer_drained() = 0;
};

class exchange
{
public:
    virtual ~exchange() = default;

    // Queues a part of the request's body. Returns false if the caller should
    // wait for on_send_buffer_drained() before the next part.
    virtual bool send_body(std::string_view bytes, bool last) = 0;
    virtual void resume() = 0;

    // Aborts the exchange. Closing the connection signals the backend server to
    // stop. No event follows.
    virtual void cancel() = 0;
};

// Starts an exchange with the backend server. cancel() must be called before
// `events` is destroyed, unless the last event was delivered.
std::shared_ptr<exchange>
start_exchange(boost::asio::io_context& io, endpoint const& backend,
               request_head const& head, std::string_view body,
               bool body_complete, exchange_events& events);

} // namespace daisytrail
