// Adapter that forwards the events of a job's exchange to requests_service.
#pragma once

#include "agent/requests_service.hpp"

namespace daisytrail
{

class requests_service::job_events : public exchange_events
{
public:
    job_events(requests_service& service, request_job& job)
        : service_(service), job_(job)
    {
    }

    void on_head(response_head head) override
    {
        service_.on_response_head(job_, std::move(head));
    }

    bool on_body(std::string_view bytes) override
    {
        return service_.on_response_body(job_, bytes);
    }

    void on_end() override
    {
        service_.finish(job_, request_outcome::answered);
    }

    void on_failure(exchange_failure failure) override
    {
        service_.on_exchange_failure(job_, failure);
    }

    void on_refusal(request_outcome outcome, duration retry_after) override;

    void on_send_buffer_drained() override
    {
        if (job_.sink_ != nullptr)
        {
            job_.sink_->on_body_drained();
        }
    }

private:
    requests_service& service_;
    request_job& job_;
};

} // namespace daisytrail
