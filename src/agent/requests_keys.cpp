// Idempotency keys: selects the owner of a key and replays the outcome of its
// request to repeats.
#include "agent/requests_events.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

// Maximum number of agents that are tried until one has recorded a key.
constexpr std::size_t max_witnesses = 3;

time_point current_time()
{
    return std::chrono::steady_clock::now();
}

response_head to_response_head(stored_response const& stored)
{
    response_head head;
    head.status_ = stored.status_;
    head.reason_ = stored.reason_;
    for (auto const& [name, value] : stored.fields_)
    {
        head.fields_.push_back({name, value});
    }
    head.length_ = stored.body_.size();
    return head;
}

std::uint64_t fingerprint(request_job const& job)
{
    // A long body is streamed, so only its length is known when the key is
    // checked.
    auto const& head = job.head_;
    auto const body =
        job.is_movable() ? job.body_ : std::to_string(head.length_.value_or(0));
    return hash_request(head.method_, head.target_, body);
}

} // namespace

void requests_service::issue_key(request_job& job)
{
    if (!keys_)
    {
        finish(job, request_outcome::no_backend);
        return;
    }
    auto const key = keys_->issue(current_time());
    stored_response response{201, "Created", {}, {}};
    response.fields_ = {{"Content-Type", "application/json"},
                        {"Idempotency-Key", key}};
    response.body_ =
        boost::json::serialize(boost::json::object{{"key", key}}) + '\n';
    replay(job, response);
}

// Ranks the candidate owners of a key that a caller chose, by rendezvous
// hashing over this target and all reachable targets. A leaving target keeps
// its keys until it has left.
std::vector<target_id>
requests_service::rank_key_owners(std::string const& key) const
{
    std::vector<std::pair<std::uint64_t, target_id>> scores;
    auto const add = [&](target_id target)
    {
        scores.emplace_back(
            XXH3_64bits_withSeed(key.data(), key.size(), target), target);
    };
    add(self_.target_);
    for (auto const& [target, record] : targets_)
    {
        add(target);
    }
    std::sort(scores.rbegin(), scores.rend());
    std::vector<target_id> ranked;
    ranked.reserve(scores.size());
    for (auto const& [score, target] : scores)
    {
        ranked.push_back(target);
    }
    return ranked;
}

bool requests_service::claim_key(job_pointer const& job, std::string const& key)
{
    if (!keys_)
    {
        finish(*job, request_outcome::no_backend);
        return false;
    }
    auto const issued = parse_issued_key(key);
    auto const owner = issued ? issued->target_ : rank_key_owners(key).front();
    if (!job->is_forwarded_ && owner != self_.target_)
    {
        forward_to_owner(job, owner);
        return false;
    }
    auto const decision = keys_->begin(key, fingerprint(*job), current_time());
    switch (decision.verdict_)
    {
    case key_verdict::run:
        job->key_ = key;
        if (!issued)
        {
            record_key_at_witness(job, 0);
        }
        return issued.has_value();
    case key_verdict::join:
        join(job, key);
        return false;
    case key_verdict::replay:
        replay(*job, stored_response(*decision.response_));
        return false;
    case key_verdict::outcome:
        finish(*job, decision.outcome_);
        return false;
    }
    return false;
}

void requests_service::forward_to_owner(job_pointer const& job, target_id owner)
{
    if (!link_ || targets_.count(owner) == 0)
    {
        finish(*job, request_outcome::key_owner_gone);
        return;
    }
    if (!job->is_movable())
    {
        // A request can be forwarded only with its complete body.
        finish(*job, request_outcome::body_too_large);
        return;
    }
    start_at_peer(*job, owner, 0);
}

// Before a request with a caller's key runs, the next candidate owner records
// the key. If another agent owns the key later, it asks that candidate in turn
// and learns that the key was used.
void requests_service::record_key_at_witness(job_pointer const& job,
                                             std::size_t rank)
{
    auto ranked = rank_key_owners(job->key_);
    std::erase(ranked, self_.target_);
    if (ranked.empty())
    {
        schedule(job); // no other agent can own the key
        return;
    }
    if (rank >= ranked.size() || rank >= max_witnesses || !link_)
    {
        finish(*job, request_outcome::no_backend);
        return;
    }
    auto const witness = ranked[rank];
    link_->witness(
        targets_.at(witness).rpc_, self_.target_, job->key_, fingerprint(*job),
        [this, job, rank, witness](std::optional<owner_record_result> result)
        { on_witness_reply(job, rank, witness, result); });
}

void requests_service::on_witness_reply(
    job_pointer const& job, std::size_t rank, target_id witness,
    std::optional<owner_record_result> result)
{
    if (job->state_.phase() != request_phase::queued)
    {
        return; // the caller disconnected meanwhile
    }
    if (result == owner_record_result::recorded)
    {
        schedule(job);
    }
    else if (result == owner_record_result::already_known)
    {
        transfer_key(job, witness);
    }
    else
    {
        record_key_at_witness(job, rank + 1);
    }
}

// The witness holds an earlier record of the key: forwards this request and the
// requests that joined it to that agent.
void requests_service::transfer_key(job_pointer const& job, target_id owner)
{
    auto const key = std::exchange(job->key_, {});
    keys_->release(key);
    auto waiting = joined_requests_.extract(key);
    forward_to_owner(job, owner);
    if (waiting.empty())
    {
        return;
    }
    for (auto const& other : waiting.mapped())
    {
        if (other->state_.phase() == request_phase::queued)
        {
            forward_to_owner(other, owner);
        }
    }
}

owner_record_result requests_service::on_witness(target_id origin,
                                                 std::string const& key,
                                                 std::uint64_t fingerprint)
{
    return keys_ ? keys_->record_owner(key, fingerprint, origin, current_time())
                 : owner_record_result::full;
}

void requests_service::join(job_pointer const& job, std::string const& key)
{
    joined_requests_[key].push_back(job);
    job->timer_.emplace(io_, job->deadline_);
    job->timer_->async_wait(on_expiry(
        [this, weak = job->weak_from_this()]
        {
            if (auto const expired = weak.lock())
            {
                finish(*expired, request_outcome::overdue);
            }
        }));
}

// Stores the outcome of a request under its key and gives the outcome to the
// requests that joined it.
void requests_service::settle_key(request_job& job, request_outcome outcome)
{
    if (job.key_.empty())
    {
        return;
    }
    auto const key = std::exchange(job.key_, {});
    auto const now = current_time();
    if (outcome == request_outcome::answered && !job.response_storable_)
    {
        outcome = request_outcome::key_not_kept;
    }
    else if (outcome == request_outcome::truncated)
    {
        outcome = request_outcome::lost;
    }
    auto const verdict = response_for(outcome).verdict_;
    if (outcome == request_outcome::answered)
    {
        keys_->record_response(key, job.stored_response_, now);
    }
    else if (verdict == outcome_verdict::not_run ||
             verdict == outcome_verdict::none)
    {
        keys_->release(key);
    }
    else
    {
        keys_->record_outcome(key, outcome, now);
    }
    auto const waiting = joined_requests_.extract(key);
    if (waiting.empty())
    {
        return;
    }
    for (auto const& other : waiting.mapped())
    {
        if (other->state_.phase() == request_phase::answered)
        {
            continue;
        }
        other->timer_.reset();
        if (verdict == outcome_verdict::none && claim_key(other, key))
        {
            schedule(other);
        }
        else if (outcome == request_outcome::answered)
        {
            replay(*other, job.stored_response_);
        }
        else if (verdict != outcome_verdict::none)
        {
            finish(*other, outcome);
        }
    }
}

void requests_service::replay(request_job& job, stored_response const& response)
{
    if (job.sink_ != nullptr)
    {
        job.sink_->on_response_head(to_response_head(response));
        job.sink_->on_response_body(response.body_);
    }
    finish(job, request_outcome::answered);
}

} // namespace daisytrail
