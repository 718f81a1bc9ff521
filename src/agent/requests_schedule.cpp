// Life cycle of a request: classification, admission, start in a slot,
// response, retry and outcome.
#include "agent/requests_events.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace daisytrail
{

namespace
{

constexpr std::string_view outcome_field = "Daisytrail-Outcome";
constexpr std::string_view deadline_field = "Daisytrail-Deadline-Ms";
constexpr std::string_view key_field = "Idempotency-Key";
constexpr std::string_view key_path = "/.daisytrail/keys";
constexpr std::int64_t max_deadline_ms = 3'600'000;
constexpr std::uint32_t max_attempts = 3;
constexpr double max_retry_tokens = 10.0;
constexpr std::chrono::milliseconds backend_retry_delay{300};

time_point current_time()
{
    return std::chrono::steady_clock::now();
}

bool is_outcome_field(header_field const& field)
{
    return !find_field({field}, outcome_field).empty();
}

// Replaces any outcome field of the backend server's response: only the load
// balancer reports outcomes.
void mark_as_run(response_head& head)
{
    std::erase_if(head.fields_, is_outcome_field);
    head.fields_.push_back({std::string(outcome_field),
                            std::string(to_string(outcome_verdict::ran))});
}

// Returns the retry delay if the backend server shed the request, which is a
// 503 with Retry-After. The request didn't run then.
std::optional<duration> backend_refusal_delay(response_head const& head)
{
    auto const text = find_field(head.fields_, "Retry-After");
    if (head.status_ != 503 || text.empty())
    {
        return std::nullopt;
    }
    std::int64_t seconds = 1;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds(std::clamp<std::int64_t>(seconds, 1, 60));
}

} // namespace

void requests_service::job_events::on_refusal(request_outcome outcome,
                                              duration retry_after)
{
    bool const not_run =
        response_for(outcome).verdict_ == outcome_verdict::not_run;
    if (not_run && job_.state_.phase() == request_phase::started)
    {
        job_.state_.withdraw();
        // A request that lost its reserved slot is retried. An outcome reported
        // by the owner of the request's key is final.
        if (job_.executing_peer_ && job_.reserved_at_peer_ &&
            service_.retry_request(job_))
        {
            return;
        }
    }
    bool const may_repeat =
        job_.executing_peer_ && job_.reserved_at_peer_ &&
        job_.state_.may_repeat() &&
        response_for(outcome).verdict_ == outcome_verdict::unknown;
    if (may_repeat)
    {
        job_.state_.repeat();
        if (service_.retry_request(job_))
        {
            return;
        }
    }
    service_.finish(job_, outcome, retry_after);
}

std::size_t requests_service::find_class(request_head const& head) const
{
    auto const matches = [&head](request_class const& config)
    {
        bool const method =
            config.methods_.empty() ||
            std::find(config.methods_.begin(), config.methods_.end(),
                      head.method_) != config.methods_.end();
        return method && head.path().starts_with(config.path_prefix_);
    };
    auto const found = std::find_if(service_.classes_.begin(),
                                    service_.classes_.end(), matches);
    return static_cast<std::size_t>(found - service_.classes_.begin());
}

duration requests_service::deadline_of(request_head const& head,
                                       std::size_t index) const
{
    auto const text = find_field(head.fields_, deadline_field);
    std::int64_t value = 0;
    auto const parsed =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (!text.empty() && parsed.ec == std::errc{} && value >= 0)
    {
        return std::chrono::milliseconds(std::min(value, max_deadline_ms));
    }
    return index < service_.classes_.size() ? service_.classes_[index].deadline_
                                            : request_class{}.deadline_;
}

requests_service::job_pointer
requests_service::make_job(request_id id, request_head head, std::size_t index)
{
    bool const has_class = index < service_.classes_.size();
    bool const repeatable = has_class && service_.classes_[index].repeatable_;
    auto job = std::make_shared<request_job>(id, std::move(head), repeatable);
    job->class_ = index;
    job->has_endless_response_ =
        has_class && service_.classes_[index].has_endless_response_;
    job->received_at_ = current_time();
    jobs_.emplace(id, job);
    return job;
}

std::shared_ptr<request_job> requests_service::submit(request_head head,
                                                      response_sink& sink)
{
    auto const index = find_class(head);
    auto const deadline = deadline_of(head, index);
    auto job = make_job(next_id_++, std::move(head), index);
    job->deadline_ = job->received_at_ + deadline;
    job->sink_ = &sink;
    if (job->head_.path() == key_path)
    {
        issue_key(*job);
        return job;
    }
    if (!is_backend_up(job->received_at_) && peers_.size() == 0)
    {
        finish(*job, request_outcome::no_backend);
        return job;
    }
    job->state_.enqueue();
    return job;
}

void requests_service::on_body_received(request_job& job)
{
    bool const can_admit = job.body_complete_ ||
                           job.body_.size() >= request_job::buffered_body_bytes;
    if (!can_admit || std::exchange(job.admitted_, true))
    {
        return;
    }
    admit(job.shared_from_this());
}

// Precedes all scheduling, also that of retries, so that a request with a key
// runs only under the control of the key's owner.
void requests_service::admit(job_pointer const& job)
{
    auto const key = find_field(job->head_.fields_, key_field);
    bool const claimed = key.empty() || !job->key_.empty();
    if (claimed || claim_key(job, std::string(key)))
    {
        schedule(job);
    }
}

bool requests_service::is_backend_up(time_point now) const
{
    return backend_.ready_ && now >= backend_down_until_;
}

bool requests_service::can_run_locally(request_job const& job,
                                       time_point now) const
{
    if (!is_backend_up(now))
    {
        return false;
    }
    bool const leaving = draining_ && job.is_movable() && peers_.size() > 0;
    return !leaving;
}

void requests_service::schedule(job_pointer const& job)
{
    auto const now = current_time();
    bool const runs_locally = can_run_locally(*job, now);
    if (!runs_locally && (peers_.size() == 0 || !job->is_movable()))
    {
        finish(*job, request_outcome::no_backend);
        return;
    }
    if (job->has_endless_response_ && runs_locally)
    {
        job->state_.start();
        begin_exchange(*job);
        return;
    }
    bool const offload =
        runs_locally && scheduler_.has_free_slot(job->class_, now) &&
        peers_.should_offer_to_peers(scheduler_.report(now).utilisation_,
                                     random_());
    if (job->is_movable() && !job->offered_to_peers_first_ &&
        (!runs_locally || offload))
    {
        offer_to_peers_first(job);
        return;
    }
    schedule_locally(job);
}

void requests_service::schedule_locally(job_pointer const& job)
{
    auto const now = current_time();
    auto const decision = scheduler_.try_enqueue(
        {job->id_, job->class_, job->received_at_, job->deadline_, false}, now);
    if (decision.victim_)
    {
        if (auto const found = jobs_.find(*decision.victim_);
            found != jobs_.end())
        {
            auto const victim = found->second;
            finish(*victim, request_outcome::shed, decision.retry_after_);
        }
        release_reservation(*decision.victim_);
    }
    if (decision.refused_)
    {
        if (job->is_movable() && !job->offered_to_peers_first_ &&
            peers_.size() > 0)
        {
            offer_to_peers_first(job);
            return;
        }
        finish(*job, *decision.refused_, decision.retry_after_);
        return;
    }
    run_queue();
    if (scheduler_.is_queued(job->id_) && job->is_movable())
    {
        offer_to_peers(job, false);
    }
}

void requests_service::post_run_queue()
{
    if (!std::exchange(queue_run_posted_, true))
    {
        post(
            [this]
            {
                queue_run_posted_ = false;
                run_queue();
            });
    }
}

// Refuses queued requests that can no longer meet their deadline, then starts
// or grants requests while slots are free.
void requests_service::run_queue()
{
    auto const now = current_time();
    if (peers_.has_average())
    {
        scheduler_.set_peer_average(peers_.average_report());
    }
    for (auto const id : scheduler_.expire(now))
    {
        if (auto const found = jobs_.find(id); found != jobs_.end())
        {
            auto const job = found->second;
            finish(*job, request_outcome::deadline_passed);
        }
        release_reservation(id);
    }
    while (is_backend_up(now))
    {
        auto const id = scheduler_.next(now);
        if (!id)
        {
            break;
        }
        auto const found = jobs_.find(*id);
        if (found != jobs_.end())
        {
            start_locally(*found->second);
        }
        else
        {
            grant_reservation(*id);
        }
    }
    set_queue_timer(now);
}

void requests_service::set_queue_timer(time_point now)
{
    auto const next = scheduler_.next_event(now);
    if (!next)
    {
        queue_timer_.cancel();
        return;
    }
    queue_timer_.expires_at(*next);
    queue_timer_.async_wait(on_expiry([this] { run_queue(); }));
}

void requests_service::start_locally(request_job& job)
{
    job.holds_slot_ = true;
    withdraw_offers(job);
    job.state_.start();
    begin_exchange(job);
}

void requests_service::begin_exchange(request_job& job)
{
    auto const owned_job = job.shared_from_this();
    if (job.attempts_++ == 0)
    {
        retry_tokens_ =
            std::min(retry_tokens_ + service_.retry_budget_, max_retry_tokens);
    }
    job.timer_.emplace(io_, job.deadline_);
    job.timer_->async_wait(on_expiry(
        [this, weak = job.weak_from_this()]
        {
            auto const expired = weak.lock();
            if (expired && !expired->response_started_ && expired->exchange_)
            {
                expired->exchange_->cancel();
                finish(*expired, request_outcome::overdue);
            }
        }));
    if (job.executing_peer_)
    {
        return; // start_at_peer() starts the exchange
    }
    job.events_ = std::make_unique<job_events>(*this, job);
    bool const complete = job.body_complete_;
    job.exchange_ = start_exchange(io_, backend_.address_, job.head_, job.body_,
                                   complete, *job.events_);
    if (!complete)
    {
        job.body_ = {};
        job.body_streamed_ = true;
        if (job.sink_ != nullptr)
        {
            job.sink_->on_body_drained();
        }
    }
}

void requests_service::free_slot(request_job& job, completion how)
{
    if (std::exchange(job.holds_slot_, false))
    {
        scheduler_.finish(job.id_, how, current_time());
        post_run_queue();
    }
}

void requests_service::on_response_head(request_job& job, response_head head)
{
    auto const retry_after = backend_refusal_delay(head);
    if (retry_after && !job.executing_peer_)
    {
        on_backend_refusal(job, *retry_after);
        return;
    }
    job.timer_.reset();
    job.response_started_ = true;
    job.is_server_error_ = head.status_ >= 500;
    mark_as_run(head);
    if (!job.key_.empty())
    {
        job.stored_response_ = {head.status_, head.reason_, {}, {}};
        for (auto const& field : head.fields_)
        {
            job.stored_response_.fields_.emplace_back(field.name_,
                                                      field.value_);
        }
    }
    if (job.sink_ != nullptr)
    {
        job.sink_->on_response_head(head);
    }
}

bool requests_service::on_response_body(request_job& job,
                                        std::string_view bytes)
{
    if (!job.key_.empty() && job.response_storable_)
    {
        job.stored_response_.body_.append(bytes);
        job.response_storable_ = job.stored_response_.body_.size() <=
                                 request_job::buffered_body_bytes;
    }
    return job.sink_ == nullptr || job.sink_->on_response_body(bytes);
}

// Admits a request again after a failed attempt. Returns false if it runs for
// another agent, its body isn't complete, or the attempts, the retry budget or
// the deadline are exhausted.
bool requests_service::retry_request(request_job& job)
{
    auto const now = current_time();
    bool const allowed = !job.runs_for_peer_ && job.is_movable() &&
                         job.attempts_ < max_attempts && retry_tokens_ >= 1.0 &&
                         now < job.deadline_;
    if (!allowed)
    {
        return false;
    }
    retry_tokens_ -= 1.0;
    ++metrics_.counter("daisytrail_request_retries_total");
    job.executing_peer_.reset();
    job.timer_.reset();
    job.offered_to_peers_first_ = false;
    // The exchange that just ended is on the call stack; the task keeps it
    // alive.
    post(
        [this, old = std::move(job.exchange_),
         events = std::shared_ptr(std::move(job.events_)),
         owned_job = job.shared_from_this()]
        {
            if (owned_job->state_.phase() == request_phase::queued)
            {
                admit(owned_job);
            }
        });
    return true;
}

void requests_service::on_backend_refusal(request_job& job,
                                          duration retry_after)
{
    job.exchange_->cancel();
    ++metrics_.counter("daisytrail_backend_refusals_total");
    free_slot(job, completion::refused);
    job.state_.withdraw();
    if (!retry_request(job))
    {
        finish(job, request_outcome::refused_by_backend, retry_after);
    }
}

void requests_service::on_exchange_failure(request_job& job,
                                           exchange_failure failure)
{
    free_slot(job, completion::failed);
    if (job.executing_peer_)
    {
        peers_.on_failure(*job.executing_peer_, current_time());
    }
    if (job.response_started_)
    {
        finish(job, request_outcome::truncated);
        return;
    }
    bool const is_forwarded = job.executing_peer_ && !job.reserved_at_peer_;
    bool const not_run = failure == exchange_failure::not_run;
    if (not_run)
    {
        if (!job.executing_peer_)
        {
            backend_down_until_ = current_time() + backend_retry_delay;
        }
        job.state_.withdraw();
    }
    else if (job.state_.may_repeat() && !is_forwarded)
    {
        job.state_.repeat();
    }
    bool const queued = job.state_.phase() == request_phase::queued;
    if (!queued || !retry_request(job))
    {
        finish(job,
               not_run ? request_outcome::no_backend : request_outcome::lost);
    }
}

void requests_service::cancel(request_job& job)
{
    auto const owned_job = job.shared_from_this();
    job.sink_ = nullptr;
    // A started request with a key continues, so that a retry of the caller
    // gets its response.
    bool const started_with_key =
        !job.key_.empty() && job.state_.phase() == request_phase::started;
    if (started_with_key && job.body_complete_)
    {
        return;
    }
    if (job.exchange_)
    {
        job.exchange_->cancel();
    }
    free_slot(job, completion::abandoned);
    // A started request may have run, so its key isn't released.
    finish(job, started_with_key ? request_outcome::lost
                                 : request_outcome::cancelled);
}

void requests_service::finish(request_job& job, request_outcome outcome,
                              duration retry_after)
{
    auto const owned_job = job.shared_from_this();
    if (job.state_.phase() == request_phase::answered)
    {
        return;
    }
    auto const settled = job.state_.settle(outcome);
    count(settled);
    free_slot(job, job.is_server_error_ || settled == request_outcome::overdue
                       ? completion::failed
                       : completion::answered);
    if (scheduler_.remove(job.id_, current_time(), false))
    {
        post_run_queue();
    }
    withdraw_offers(job);
    remove_job(job);
    settle_key(job, settled);
    auto* const sink = std::exchange(job.sink_, nullptr);
    if (sink == nullptr)
    {
        return;
    }
    if (settled == request_outcome::answered)
    {
        sink->on_response_end();
    }
    else
    {
        sink->on_outcome(settled, retry_after);
    }
}

// Destroys the job from the event loop, since an event handler of its exchange
// may be on the call stack.
void requests_service::remove_job(request_job& job)
{
    job.timer_.reset();
    auto const found = jobs_.find(job.id_);
    if (found != jobs_.end())
    {
        boost::asio::post(io_, [owned_job = std::move(found->second)] {});
        jobs_.erase(found);
    }
}

} // namespace daisytrail
