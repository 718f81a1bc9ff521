// The agent's `requests` mode: reads HTTP/1.1 requests from flows, schedules
// them on the backend server, and passes queued requests to less loaded agents.
// requests_service.cpp holds the configuration and the drain,
// requests_schedule.cpp admission and slots, requests_peers.cpp requests that
// move between agents, requests_keys.cpp the idempotency keys.
#pragma once

#include "agent/flow_service.hpp"
#include "agent/peer_link.hpp"
#include "agent/requests_session.hpp"
#include "net/metrics.hpp"
#include "net/periodic_timer.hpp"

#include <daisytrail/dedup.hpp>
#include <daisytrail/peer_choice.hpp>
#include <daisytrail/scheduler.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <random>
#include <unordered_map>

namespace daisytrail
{

class requests_service : public flow_service,
                         public session_owner,
                         public peer_events
{
public:
    requests_service(boost::asio::io_context& io, metrics& registry);
    ~requests_service() override;

    void accept(std::shared_ptr<tcp_flow> flow) override;
    void accept(std::unique_ptr<session_flow> flow);
    void update(service_template const& service,
                backend_status const& backend) override;
    void set_targets(std::vector<target_record> const& records,
                     target_record const& self) override;
    void drain(time_point deadline) override;
    std::size_t open_work_count() const override;

    // Replaces Cap'n Proto RPC in tests. Call it before set_targets().
    void set_peer_link(std::shared_ptr<peer_link> link);

    void on_reserve(peer_offer_request const& offer,
                    std::function<void(offer_reply)> reply) override;
    void on_release(target_id origin, request_id request) override;
    owner_record_result on_witness(target_id origin, std::string const& key,
                                   std::uint64_t fingerprint) override;
    void on_start(std::uint64_t reservation, peer_request request,
                  std::shared_ptr<peer_response> response) override;

private:
    class job_events;

    using job_pointer = std::shared_ptr<request_job>;

    // A queue entry, later a slot, that is held for a request of another agent.
    struct peer_reservation
    {
        std::pair<target_id, request_id> requester_;
        std::function<void(offer_reply)> reply_;         // empty once granted
        std::optional<boost::asio::steady_timer> timer_; // set once granted
    };

    service_limits const& limits() const override;
    bool is_draining() const override;
    std::shared_ptr<request_job> submit(request_head head,
                                        response_sink& sink) override;
    void on_body_received(request_job& job) override;
    void cancel(request_job& job) override;
    void on_session_closed(requests_session& session) override;

    // Queues a task on the event loop. It is dropped if the service is
    // destroyed before it runs.
    void post(std::function<void()> task);

    // requests_schedule.cpp
    job_pointer make_job(request_id id, request_head head, std::size_t index);
    std::size_t find_class(request_head const& head) const;
    duration deadline_of(request_head const& head, std::size_t index) const;
    bool can_run_locally(request_job const& job, time_point now) const;
    bool is_backend_up(time_point now) const;
    void admit(job_pointer const& job);
    void schedule(job_pointer const& job);
    void schedule_locally(job_pointer const& job);
    void run_queue();
    void post_run_queue();
    void set_queue_timer(time_point now);
    void start_locally(request_job& job);
    void begin_exchange(request_job& job);
    void free_slot(request_job& job, completion how);
    bool retry_request(request_job& job);
    void on_response_head(request_job& job, response_head head);
    bool on_response_body(request_job& job, std::string_view bytes);
    void on_exchange_failure(request_job& job, exchange_failure failure);
    void on_backend_refusal(request_job& job, duration retry_after);
    void finish(request_job& job, request_outcome outcome,
                duration retry_after = std::chrono::seconds(1));
    void remove_job(request_job& job);
    void count(request_outcome outcome);

    // requests_peers.cpp
    void offer_to_peers_first(job_pointer const& job);
    bool offer_to_peers(job_pointer const& job, bool immediate);
    void on_offer_reply(target_id peer, request_id id,
                        offer_reply const& reply);
    void withdraw_offers(request_job& job);
    void offer_queued_requests();
    void start_at_peer(request_job& job, target_id peer,
                       std::uint64_t reservation);
    peer_request make_peer_request(request_job const& job,
                                   time_point now) const;
    void grant_reservation(request_id reservation);
    void release_reservation(request_id reservation);
    void on_offer_timer();

    // requests_keys.cpp
    void issue_key(request_job& job);
    // Decides about a request with an idempotency key. Returns true if the
    // caller is to schedule the request at this agent now.
    bool claim_key(job_pointer const& job, std::string const& key);
    std::vector<target_id> rank_key_owners(std::string const& key) const;
    // Records the key at the ranked candidate with index `rank`, then schedules
    // the request.
    void record_key_at_witness(job_pointer const& job, std::size_t rank);
    void on_witness_reply(job_pointer const& job, std::size_t rank,
                          target_id witness,
                          std::optional<owner_record_result> result);
    void transfer_key(job_pointer const& job, target_id owner);
    void forward_to_owner(job_pointer const& job, target_id owner);
    void join(job_pointer const& job, std::string const& key);
    void settle_key(request_job& job, request_outcome outcome);
    void replay(request_job& job, stored_response const& response);

    // Returns a timer handler that calls `handler` if the timer expired and
    // this service still exists: an expiry may be queued when the service is
    // destroyed.
    template <typename Handler>
    auto on_expiry(Handler handler) const
    {
        return [alive = std::weak_ptr(alive_),
                handler = std::move(handler)](boost::system::error_code code)
        {
            if (!code && !alive.expired())
            {
                handler();
            }
        };
    }

    boost::asio::io_context& io_;
    metrics& metrics_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    service_template service_;
    backend_status backend_;
    time_point backend_down_until_{}; // set when a connect fails
    bool draining_ = false;
    boost::asio::steady_timer drain_timer_;
    boost::asio::steady_timer queue_timer_;
    periodic_timer offer_timer_;
    bool queue_run_posted_ = false;
    std::mt19937_64 random_;
    scheduler scheduler_;
    double retry_tokens_; // first attempts add tokens, retries take one
    request_id next_id_ = 1;
    std::unordered_map<request_id, job_pointer> jobs_;
    std::unordered_map<requests_session*, std::shared_ptr<requests_session>>
        sessions_;

    target_record self_;
    std::map<target_id, target_record> targets_; // peers reachable by RPC
    peer_choice peers_;
    std::shared_ptr<peer_link> link_; // null until self_ is set
    std::unordered_map<request_id, peer_reservation> reservations_;
    std::map<std::pair<target_id, request_id>, request_id>
        reservation_by_request_;

    std::optional<dedup_table> keys_;
    // By key: requests that wait for the outcome of the running request with
    // the same key.
    std::unordered_map<std::string, std::vector<job_pointer>> joined_requests_;
};

} // namespace daisytrail
