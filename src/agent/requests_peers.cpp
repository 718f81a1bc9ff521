// Requests that move between the agents of a service, by late binding: an agent
// offers a queued request to a few peers (reserve) and starts it at the first
// peer that grants a slot (start). This file holds both sides.
#include "agent/requests_events.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

// A granted slot is released after this time if no request started on it.
constexpr std::chrono::milliseconds grant_timeout{500};
// A request with a shorter expected wait isn't worth an offer message.
constexpr std::chrono::milliseconds min_offered_wait{2};
constexpr std::uint32_t max_offer_rounds = 2;

time_point current_time()
{
    return std::chrono::steady_clock::now();
}

} // namespace

void requests_service::offer_to_peers_first(job_pointer const& job)
{
    job->offered_to_peers_first_ = true;
    job->waits_for_peers_ = true;
    if (offer_to_peers(job, true))
    {
        return;
    }
    if (can_run_locally(*job, current_time()))
    {
        job->waits_for_peers_ = false;
        schedule_locally(job);
    }
}

// Offers a request to a few peers. Returns false if no offer was sent.
bool requests_service::offer_to_peers(job_pointer const& job, bool immediate)
{
    auto const now = current_time();
    auto const wait = can_run_locally(*job, now)
                          ? scheduler_.expected_wait(job->class_, now)
                          : job->deadline_ - now;
    if (!link_ || (!immediate && wait < min_offered_wait))
    {
        return false;
    }
    auto const chosen = peers_.choose(random_(), now);
    peer_offer_request const message{service_.id_,
                                     self_.target_,
                                     job->id_,
                                     job->class_,
                                     now - job->received_at_,
                                     job->deadline_ - now,
                                     wait,
                                     immediate};
    for (std::size_t i = 0; i < chosen.count_; ++i)
    {
        auto const peer = chosen.peers_[i];
        job->pending_offers_.push_back(peer);
        peers_.on_offer_sent(peer);
        ++metrics_.counter("daisytrail_peer_offers_total");
        link_->reserve(targets_.at(peer).rpc_, message,
                       [this, peer, id = job->id_](offer_reply const& reply)
                       { on_offer_reply(peer, id, reply); });
    }
    job->offer_rounds_ += chosen.count_ > 0 ? 1 : 0;
    return chosen.count_ > 0;
}

void requests_service::on_offer_reply(target_id peer, request_id id,
                                      offer_reply const& reply)
{
    auto const now = current_time();
    if (reply.result_ == offer_result::unreachable)
    {
        peers_.on_failure(peer, now);
    }
    else
    {
        peers_.on_reply(peer, reply.load_, now);
    }
    bool const granted = reply.result_ == offer_result::granted;
    auto const found = jobs_.find(id);
    bool const still_queued =
        found != jobs_.end() &&
        found->second->state_.phase() == request_phase::queued;
    if (!still_queued)
    {
        if (granted)
        {
            ++metrics_.counter("daisytrail_peer_late_total{kind=\"grant\"}");
            auto const peer_record = targets_.find(peer);
            if (peer_record != targets_.end())
            {
                link_->release(peer_record->second.rpc_, self_.target_, id);
            }
        }
        return;
    }
    auto const job = found->second;
    std::erase(job->pending_offers_, peer);
    if (granted && targets_.count(peer) != 0)
    {
        start_at_peer(*job, peer, reply.reservation_);
    }
    else if (job->pending_offers_.empty() && job->waits_for_peers_ &&
             can_run_locally(*job, now))
    {
        job->waits_for_peers_ = false;
        schedule_locally(job);
    }
}

void requests_service::withdraw_offers(request_job& job)
{
    for (auto const peer : std::exchange(job.pending_offers_, {}))
    {
        auto const peer_record = targets_.find(peer);
        if (peer_record != targets_.end() && link_)
        {
            link_->release(peer_record->second.rpc_, self_.target_, job.id_);
        }
    }
}

// Offers queued requests again. Requests that can't run at this agent, or whose
// backend server is suspect, are offered until their deadline, other requests
// for at most max_offer_rounds rounds.
void requests_service::offer_queued_requests()
{
    auto const now = current_time();
    auto const jobs = jobs_;
    for (auto const& [id, job] : jobs)
    {
        bool const can_offer = job->admitted_ && job->is_movable() &&
                               job->state_.phase() == request_phase::queued &&
                               job->pending_offers_.empty();
        if (!can_offer)
        {
            continue;
        }
        if (!job->waits_for_peers_)
        {
            bool const runs_locally = can_run_locally(*job, now);
            if (scheduler_.is_queued(id) &&
                (!runs_locally || scheduler_.is_suspect() ||
                 job->offer_rounds_ < max_offer_rounds))
            {
                offer_to_peers(job, false);
            }
            continue;
        }
        if (now >= job->deadline_)
        {
            finish(*job, draining_ ? request_outcome::draining
                                   : request_outcome::no_backend);
        }
        else
        {
            offer_to_peers_first(job);
        }
    }
}

void requests_service::on_offer_timer()
{
    offer_queued_requests();
    if (scheduler_.queued() > 0)
    {
        run_queue(); // the backend server may be up again
    }
}

peer_request requests_service::make_peer_request(request_job const& job,
                                                 time_point now) const
{
    return {service_.id_,           self_.target_,       job.id_,   job.class_,
            now - job.received_at_, job.deadline_ - now, job.head_, job.body_};
}

void requests_service::start_at_peer(request_job& job, target_id peer,
                                     std::uint64_t reservation)
{
    scheduler_.remove(job.id_, current_time(), true);
    withdraw_offers(job);
    job.waits_for_peers_ = false;
    job.executing_peer_ = peer;
    job.reserved_at_peer_ = reservation != 0;
    job.state_.reserve();
    job.state_.start();
    begin_exchange(job);
    job.events_ = std::make_unique<job_events>(*this, job);
    ++metrics_.counter("daisytrail_peer_starts_total");
    job.exchange_ =
        link_->start(targets_.at(peer).rpc_, reservation,
                     make_peer_request(job, current_time()), *job.events_);
}

void requests_service::on_reserve(peer_offer_request const& offer_message,
                                  std::function<void(offer_reply)> reply)
{
    auto const now = current_time();
    auto const wait = scheduler_.expected_wait(offer_message.class_, now);
    auto const class_index = offer_message.class_;
    bool const busy = offer_message.immediate_
                          ? !scheduler_.has_free_slot(class_index, now)
                          : wait >= offer_message.origin_wait_;
    bool const refused = offer_message.service_ != service_.id_ || draining_ ||
                         !is_backend_up(now) || scheduler_.is_suspect() || busy;
    auto const id = next_id_++;
    scheduled_request const request{id, class_index, now - offer_message.age_,
                                    now + offer_message.deadline_, true};
    auto const requester =
        std::pair(offer_message.origin_, offer_message.request_);
    if (refused || reservation_by_request_.count(requester) != 0 ||
        scheduler_.queued() >= service_.limits_.queue_)
    {
        reply({offer_result::refused, 0, scheduler_.report(now)});
        return;
    }
    scheduler_.try_enqueue(request, now);
    reservations_[id] = {requester, std::move(reply), std::nullopt};
    reservation_by_request_[requester] = id;
    run_queue();
}

void requests_service::grant_reservation(request_id reservation)
{
    auto const found = reservations_.find(reservation);
    if (found == reservations_.end())
    {
        scheduler_.finish(reservation, completion::abandoned, current_time());
        return;
    }
    auto& entry = found->second;
    entry.timer_.emplace(io_, grant_timeout);
    entry.timer_->async_wait(on_expiry(
        [this, reservation]
        {
            ++metrics_.counter("daisytrail_peer_late_total{kind=\"unused\"}");
            release_reservation(reservation);
        }));
    std::exchange(entry.reply_, nullptr)({offer_result::granted, reservation,
                                          scheduler_.report(current_time())});
}

// Releases the slot or the queue entry that is held for another agent.
void requests_service::release_reservation(request_id reservation)
{
    auto const found = reservations_.find(reservation);
    if (found == reservations_.end())
    {
        return;
    }
    auto const now = current_time();
    auto const reply = std::move(found->second.reply_);
    reservation_by_request_.erase(found->second.requester_);
    reservations_.erase(found);
    scheduler_.remove(reservation, now, false);
    scheduler_.finish(reservation, completion::abandoned, now);
    if (reply)
    {
        reply({offer_result::refused, 0, scheduler_.report(now)});
    }
    post_run_queue();
}

void requests_service::on_release(target_id origin, request_id request)
{
    auto const found = reservation_by_request_.find({origin, request});
    if (found != reservation_by_request_.end())
    {
        release_reservation(found->second);
    }
}

void requests_service::on_start(std::uint64_t reservation, peer_request request,
                                std::shared_ptr<peer_response> response)
{
    auto const entry = reservations_.find(reservation);
    std::pair const requester(request.origin_, request.request_);
    bool const has_reservation = reservation != 0;
    bool const is_granted = entry != reservations_.end() &&
                            !entry->second.reply_ &&
                            entry->second.requester_ == requester;
    if (request.service_ != service_.id_ || (has_reservation && !is_granted))
    {
        ++metrics_.counter("daisytrail_peer_late_total{kind=\"start\"}");
        response->on_outcome(request_outcome::shed, std::chrono::seconds(1));
        return;
    }
    auto const now = current_time();
    auto const id = has_reservation ? request_id{reservation} : next_id_++;
    if (has_reservation)
    {
        reservation_by_request_.erase(requester);
        reservations_.erase(entry);
    }
    auto const job = make_job(id, std::move(request.head_), request.class_);
    job->received_at_ = now - request.age_;
    job->deadline_ = now + request.deadline_;
    job->body_ = std::move(request.body_);
    job->body_complete_ = true;
    job->sink_ = response.get();
    job->owned_sink_ = response;
    response->on_cancel_ = [this, weak = job->weak_from_this()]
    {
        auto const live_job = weak.lock();
        if (live_job && live_job->state_.phase() != request_phase::answered)
        {
            cancel(*live_job);
        }
    };
    response->on_resume_ = [weak = job->weak_from_this()]
    {
        if (auto const live_job = weak.lock())
        {
            live_job->resume();
        }
    };
    job->state_.enqueue();
    if (!has_reservation)
    {
        job->is_forwarded_ = true;
        on_body_received(*job);
        return;
    }
    job->runs_for_peer_ = true;
    job->admitted_ = true;
    job->holds_slot_ = true;
    job->state_.reserve();
    job->state_.start();
    begin_exchange(*job);
    if (job->has_endless_response_)
    {
        free_slot(*job, completion::abandoned);
    }
}

} // namespace daisytrail
