// One request on its way through an agent: its head, the buffered part of its
// body, its state, and where its answer goes.
#pragma once

#include "agent/requests_exchange.hpp"
#include "agent/requests_message.hpp"

#include <daisytrail/scheduler.hpp>
#include <daisytrail/types.hpp>

#include <functional>
#include <memory>
#include <string>

namespace daisytrail
{

// Takes the answer of one request: a flow, or the agent that handed it over.
class answer_sink
{
public:
    virtual ~answer_sink() = default;

    virtual void on_answer_head(answer_head const& head) = 0;
    // Returns false to pause the answer until request_job::resume().
    virtual bool on_answer_body(std::string_view bytes) = 0;
    virtual void on_answer_end() = 0;
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
            sent_live_body_ = true;
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

    request_id id_;
    request_head head_;
    request_state state_;
    std::size_t class_ = 0; // index into the service's classes
    time_point received_{};
    time_point deadline_{};
    std::string body_; // what hasn't been given to an exchange
    bool body_complete_ = false;
    bool sent_live_body_ = false; // body_ no longer holds all of the body
    bool answer_begun_ = false;
    answer_sink* sink_ = nullptr; // null once the caller is gone
    std::shared_ptr<exchange> exchange_;
    std::unique_ptr<exchange_events> events_; // receives from exchange_
};

} // namespace daisytrail
