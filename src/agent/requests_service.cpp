// Requests of one agent, from their head to their outcome.
#include "agent/requests_service.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

constexpr std::string_view outcome_field = "Daisytrail-Outcome";

time_point now()
{
    return std::chrono::steady_clock::now();
}

// Only the system says what became of a request.
void mark_as_run(answer_head& head)
{
    std::erase_if(
        head.fields_, [](header_field const& field)
        { return find_field({field}, outcome_field).data() != nullptr; });
    head.fields_.push_back({std::string(outcome_field),
                            std::string(to_string(outcome_verdict::ran))});
}

} // namespace

// Passes the answer of one exchange on to the job's sink.
class requests_service::job_events : public exchange_events
{
public:
    job_events(requests_service& service, request_job& job)
        : service_(service), job_(job)
    {
    }

    void on_head(answer_head head) override
    {
        mark_as_run(head);
        job_.answer_begun_ = true;
        if (job_.sink_ != nullptr)
        {
            job_.sink_->on_answer_head(head);
        }
    }

    bool on_body(std::string_view bytes) override
    {
        return job_.sink_ == nullptr || job_.sink_->on_answer_body(bytes);
    }

    void on_end() override
    {
        service_.finish(job_, request_outcome::answered);
    }

    void on_failure(exchange_failure failure) override
    {
        if (job_.answer_begun_)
        {
            service_.finish(job_, request_outcome::truncated);
        }
        else if (failure == exchange_failure::not_run)
        {
            job_.state_.withdraw();
            service_.finish(job_, request_outcome::no_backend);
        }
        else
        {
            service_.finish(job_, request_outcome::lost);
        }
    }

    void on_drained() override
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

requests_service::requests_service(boost::asio::io_context& io,
                                   metrics& numbers)
    : io_(io), metrics_(numbers), drain_timer_(io)
{
    metrics_.gauge("daisytrail_requests_open",
                   [this] { return static_cast<double>(jobs_.size()); });
}

requests_service::~requests_service() = default;

void requests_service::accept(std::shared_ptr<tcp_flow> flow)
{
    accept(make_session_flow(std::move(flow)));
}

void requests_service::accept(std::unique_ptr<session_flow> flow)
{
    auto session =
        std::make_shared<requests_session>(io_, *this, std::move(flow));
    sessions_.emplace(session.get(), session);
    session->start();
}

void requests_service::update(service_template const& service,
                              backend_status const& backend)
{
    service_ = service;
    backend_ = backend;
}

void requests_service::drain(time_point deadline)
{
    draining_ = true;
    std::vector<std::shared_ptr<requests_session>> open;
    open.reserve(sessions_.size());
    for (auto const& [key, session] : sessions_)
    {
        open.push_back(session);
    }
    for (auto const& session : open)
    {
        session->drain();
    }
    drain_timer_.expires_at(deadline);
    drain_timer_.async_wait(
        [this](boost::system::error_code code)
        {
            if (code)
            {
                return;
            }
            auto const rest = sessions_;
            for (auto const& [key, session] : rest)
            {
                session->abort();
            }
        });
}

std::size_t requests_service::open_work() const
{
    return sessions_.size() + jobs_.size();
}

service_limits const& requests_service::limits() const
{
    return service_.limits_;
}

bool requests_service::is_draining() const
{
    return draining_;
}

std::shared_ptr<request_job> requests_service::submit(request_head head,
                                                      answer_sink& sink)
{
    auto const id = next_id_++;
    auto job = std::make_shared<request_job>(id, std::move(head), false);
    job->received_ = now();
    job->sink_ = &sink;
    jobs_.emplace(id, job);
    if (!backend_.ready_)
    {
        finish(*job, request_outcome::no_backend);
        return job;
    }
    job->state_.enqueue();
    return job;
}

void requests_service::body_arrived(request_job& job)
{
    bool const enough = job.body_complete_ ||
                        job.body_.size() >= request_job::buffered_body_bytes;
    if (enough && job.state_.phase() == request_phase::queued)
    {
        start(job);
    }
}

void requests_service::cancel(request_job& job)
{
    auto const keep = job.shared_from_this();
    job.sink_ = nullptr;
    if (job.exchange_)
    {
        job.exchange_->cancel();
    }
    count(request_outcome::cancelled);
    forget(job);
}

void requests_service::session_closed(requests_session& session)
{
    // The session is still on the call stack.
    boost::asio::post(io_, [this, key = &session] { sessions_.erase(key); });
}

void requests_service::start(request_job& job)
{
    job.state_.start();
    job.events_ = std::make_unique<job_events>(*this, job);
    job.exchange_ = start_exchange(io_, backend_.address_, job.head_,
                                   std::exchange(job.body_, {}),
                                   job.body_complete_, *job.events_);
    if (!job.body_complete_)
    {
        job.sink_->on_body_drained();
    }
}

void requests_service::finish(request_job& job, request_outcome outcome)
{
    auto const keep = job.shared_from_this();
    auto const settled = job.state_.settle(outcome);
    count(settled);
    forget(job);
    auto* const sink = std::exchange(job.sink_, nullptr);
    if (sink == nullptr)
    {
        return;
    }
    if (settled == request_outcome::answered)
    {
        sink->on_answer_end();
    }
    else
    {
        sink->on_outcome(settled, std::chrono::seconds(1));
    }
}

// Events of the job's exchange may be on the call stack.
void requests_service::forget(request_job& job)
{
    auto const found = jobs_.find(job.id_);
    if (found != jobs_.end())
    {
        boost::asio::post(io_, [keep = std::move(found->second)] {});
        jobs_.erase(found);
    }
}

void requests_service::count(request_outcome outcome)
{
    ++metrics_.counter("daisytrail_requests_total{outcome=\"" +
                       std::string(to_string(outcome)) + "\"}");
}

} // namespace daisytrail
