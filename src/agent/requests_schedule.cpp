// Requests of one agent from their head to their outcome.
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
constexpr std::int64_t longest_deadline_ms = 3'600'000;
constexpr std::uint32_t most_attempts = 3;
constexpr double most_retry_tokens = 10.0;
constexpr std::chrono::milliseconds backend_down_time{300};

time_point current_time()
{
    return std::chrono::steady_clock::now();
}

bool is_own_field(header_field const& field)
{
    return !find_field({field}, outcome_field).empty();
}

// Only the system says what became of a request.
void mark_as_run(answer_head& head)
{
    std::erase_if(head.fields_, is_own_field);
    head.fields_.push_back({std::string(outcome_field),
                            std::string(to_string(outcome_verdict::ran))});
}

// A backend server sheds with 503 and Retry-After; then it hasn't run.
std::optional<duration> refusal(answer_head const& head)
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
        answer_for(outcome).verdict_ == outcome_verdict::not_run;
    if (not_run && job_.state_.phase() == request_phase::started)
    {
        job_.state_.withdraw();
        // A guest's slot was given up by its agent; a key's owner has the last
        // word on the request.
        if (job_.peer_ && job_.reserved_at_peer_ && service_.try_again(job_))
        {
            return;
        }
    }
    bool const may_repeat =
        job_.peer_ && job_.reserved_at_peer_ && job_.state_.may_repeat() &&
        answer_for(outcome).verdict_ == outcome_verdict::unknown;
    if (may_repeat)
    {
        job_.state_.repeat();
        if (service_.try_again(job_))
        {
            return;
        }
    }
    service_.finish(job_, outcome, retry_after);
}

std::size_t requests_service::class_of(request_head const& head) const
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
    auto const read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (!text.empty() && read.ec == std::errc{} && value >= 0)
    {
        return std::chrono::milliseconds(std::min(value, longest_deadline_ms));
    }
    return index < service_.classes_.size() ? service_.classes_[index].deadline_
                                            : request_class{}.deadline_;
}

requests_service::job_pointer
requests_service::make_job(request_id id, request_head head, std::size_t index)
{
    bool const known = index < service_.classes_.size();
    bool const repeatable = known && service_.classes_[index].repeatable_;
    auto job = std::make_shared<request_job>(id, std::move(head), repeatable);
    job->class_ = index;
    job->standing_ = known && service_.classes_[index].standing_;
    job->received_ = current_time();
    jobs_.emplace(id, job);
    return job;
}

std::shared_ptr<request_job> requests_service::submit(request_head head,
                                                      answer_sink& sink)
{
    auto const index = class_of(head);
    auto const deadline = deadline_of(head, index);
    auto job = make_job(next_id_++, std::move(head), index);
    job->deadline_ = job->received_ + deadline;
    job->sink_ = &sink;
    if (job->head_.path() == key_path)
    {
        issue_key(*job);
        return job;
    }
    if (!is_backend_up(job->received_) && peers_.size() == 0)
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
    if (!enough || std::exchange(job.admitted_, true))
    {
        return;
    }
    admit(job.shared_from_this());
}

// Every way to a slot leads through here, so that a request with a key never
// runs but under its key's owner.
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

bool requests_service::may_run_here(request_job const& job,
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
    bool const here = may_run_here(*job, now);
    if (!here && (peers_.size() == 0 || !job->is_movable()))
    {
        finish(*job, request_outcome::no_backend);
        return;
    }
    if (job->standing_ && here)
    {
        job->state_.start();
        begin_exchange(*job);
        return;
    }
    bool const share = here && scheduler_.has_free_slot(job->class_, now) &&
                       peers_.should_offer_to_peers(
                           scheduler_.report(now).utilisation_, random_());
    if (job->is_movable() && !job->asked_peers_first_ && (!here || share))
    {
        ask_peers_first(job);
        return;
    }
    schedule_here(job);
}

void requests_service::schedule_here(job_pointer const& job)
{
    auto const now = current_time();
    auto const admitted = scheduler_.try_enqueue(
        {job->id_, job->class_, job->received_, job->deadline_, false}, now);
    if (admitted.victim_)
    {
        if (auto const found = jobs_.find(*admitted.victim_);
            found != jobs_.end())
        {
            auto const victim = found->second;
            finish(*victim, request_outcome::shed, admitted.retry_after_);
        }
        end_reservation(*admitted.victim_);
    }
    if (admitted.refused_)
    {
        if (job->is_movable() && !job->asked_peers_first_ && peers_.size() > 0)
        {
            ask_peers_first(job);
            return;
        }
        finish(*job, *admitted.refused_, admitted.retry_after_);
        return;
    }
    pump();
    if (scheduler_.is_queued(job->id_) && job->is_movable())
    {
        offer(job, false);
    }
}

void requests_service::post_pump()
{
    if (!std::exchange(pump_posted_, true))
    {
        post(
            [this]
            {
                pump_posted_ = false;
                pump();
            });
    }
}

// Starts what may start, refuses what can't meet its deadline.
void requests_service::pump()
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
        end_reservation(id);
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
            start_here(*found->second);
        }
        else
        {
            grant(*id);
        }
    }
    set_pump_timer(now);
}

void requests_service::set_pump_timer(time_point now)
{
    auto const next = scheduler_.next_event(now);
    if (!next)
    {
        pump_timer_.cancel();
        return;
    }
    pump_timer_.expires_at(*next);
    pump_timer_.async_wait(on_expiry([this] { pump(); }));
}

void requests_service::start_here(request_job& job)
{
    job.holds_slot_ = true;
    withdraw_offers(job);
    job.state_.start();
    begin_exchange(job);
}

void requests_service::begin_exchange(request_job& job)
{
    auto const keep = job.shared_from_this();
    if (job.attempts_++ == 0)
    {
        retry_tokens_ =
            std::min(retry_tokens_ + service_.retry_budget_, most_retry_tokens);
    }
    job.timer_.emplace(io_, job.deadline_);
    job.timer_->async_wait(on_expiry(
        [this, weak = job.weak_from_this()]
        {
            auto const late = weak.lock();
            if (late && !late->answer_begun_ && late->exchange_)
            {
                late->exchange_->cancel();
                finish(*late, request_outcome::overdue);
            }
        }));
    if (job.peer_)
    {
        return; // start_at_peer() goes on
    }
    job.events_ = std::make_unique<job_events>(*this, job);
    bool const complete = job.body_complete_;
    job.exchange_ = start_exchange(io_, backend_.address_, job.head_, job.body_,
                                   complete, *job.events_);
    if (!complete)
    {
        job.body_ = {};
        job.sent_live_body_ = true;
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
        post_pump();
    }
}

void requests_service::on_answer_head(request_job& job, answer_head head)
{
    auto const retry_after = refusal(head);
    if (retry_after && !job.peer_)
    {
        on_refused(job, *retry_after);
        return;
    }
    job.timer_.reset();
    job.answer_begun_ = true;
    job.failed_ = head.status_ >= 500;
    mark_as_run(head);
    if (!job.key_.empty())
    {
        job.kept_ = {head.status_, head.reason_, {}, {}};
        for (auto const& field : head.fields_)
        {
            job.kept_.fields_.emplace_back(field.name_, field.value_);
        }
    }
    if (job.sink_ != nullptr)
    {
        job.sink_->on_answer_head(head);
    }
}

bool requests_service::on_answer_body(request_job& job, std::string_view bytes)
{
    if (!job.key_.empty() && job.kept_whole_)
    {
        job.kept_.body_.append(bytes);
        job.kept_whole_ =
            job.kept_.body_.size() <= request_job::buffered_body_bytes;
    }
    return job.sink_ == nullptr || job.sink_->on_answer_body(bytes);
}

// Puts a request that is queued again back into the order, if the budget, the
// deadline and its body allow.
bool requests_service::try_again(request_job& job)
{
    auto const now = current_time();
    bool const allowed = !job.is_guest_ && job.is_movable() &&
                         job.attempts_ < most_attempts &&
                         retry_tokens_ >= 1.0 && now < job.deadline_;
    if (!allowed)
    {
        return false;
    }
    retry_tokens_ -= 1.0;
    ++metrics_.counter("daisytrail_request_retries_total");
    job.peer_.reset();
    job.timer_.reset();
    job.asked_peers_first_ = false;
    // The exchange that has just ended is on the call stack.
    post(
        [this, old = std::move(job.exchange_),
         events = std::shared_ptr(std::move(job.events_)),
         keep = job.shared_from_this()]
        {
            if (keep->state_.phase() == request_phase::queued)
            {
                admit(keep);
            }
        });
    return true;
}

void requests_service::on_refused(request_job& job, duration retry_after)
{
    job.exchange_->cancel();
    ++metrics_.counter("daisytrail_backend_refusals_total");
    free_slot(job, completion::refused);
    job.state_.withdraw();
    if (!try_again(job))
    {
        finish(job, request_outcome::refused_by_backend, retry_after);
    }
}

void requests_service::on_lost(request_job& job, exchange_failure failure)
{
    free_slot(job, completion::failed);
    if (job.peer_)
    {
        peers_.on_failure(*job.peer_, current_time());
    }
    if (job.answer_begun_)
    {
        finish(job, request_outcome::truncated);
        return;
    }
    bool const is_forwarded = job.peer_ && !job.reserved_at_peer_;
    bool const not_run = failure == exchange_failure::not_run;
    if (not_run)
    {
        if (!job.peer_)
        {
            backend_down_until_ = current_time() + backend_down_time;
        }
        job.state_.withdraw();
    }
    else if (job.state_.may_repeat() && !is_forwarded)
    {
        job.state_.repeat();
    }
    bool const queued = job.state_.phase() == request_phase::queued;
    if (!queued || !try_again(job))
    {
        finish(job,
               not_run ? request_outcome::no_backend : request_outcome::lost);
    }
}

void requests_service::cancel(request_job& job)
{
    auto const keep = job.shared_from_this();
    job.sink_ = nullptr;
    // A keyed request runs on: the caller's retry asks for its answer.
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
    // A started request may have run, so that its key stays taken.
    finish(job, started_with_key ? request_outcome::lost
                                 : request_outcome::cancelled);
}

void requests_service::finish(request_job& job, request_outcome outcome,
                              duration retry_after)
{
    auto const keep = job.shared_from_this();
    if (job.state_.phase() == request_phase::answered)
    {
        return;
    }
    auto const settled = job.state_.settle(outcome);
    count(settled);
    free_slot(job, job.failed_ || settled == request_outcome::overdue
                       ? completion::failed
                       : completion::answered);
    if (scheduler_.remove(job.id_, current_time(), false))
    {
        post_pump();
    }
    withdraw_offers(job);
    forget(job);
    settle_key(job, settled);
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
        sink->on_outcome(settled, retry_after);
    }
}

// Events of the job's exchange may be on the call stack.
void requests_service::forget(request_job& job)
{
    job.timer_.reset();
    auto const found = jobs_.find(job.id_);
    if (found != jobs_.end())
    {
        boost::asio::post(io_, [keep = std::move(found->second)] {});
        jobs_.erase(found);
    }
}

} // namespace daisytrail
