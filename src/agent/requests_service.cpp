// Sessions, configuration and drain of the `requests` mode.
#include "agent/requests_service.hpp"

#include "agent/peer_rpc.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

// Interval at which queued requests are offered to peers again.
constexpr std::chrono::milliseconds offer_interval{20};

time_point current_time()
{
    return std::chrono::steady_clock::now();
}

std::vector<scheduler_class>
scheduler_classes(std::vector<request_class> const& classes)
{
    std::vector<scheduler_class> result;
    result.reserve(classes.size() + 1);
    for (auto const& config : classes)
    {
        result.push_back(
            {config.long_running_, config.priority_, config.expected_});
    }
    // The last class holds the requests that match no configured class.
    request_class const unmatched;
    result.push_back({false, unmatched.priority_, unmatched.expected_});
    return result;
}

} // namespace

requests_service::requests_service(boost::asio::io_context& io,
                                   metrics& registry)
    : io_(io), metrics_(registry), drain_timer_(io), queue_timer_(io),
      offer_timer_(io, offer_interval, [this] { on_offer_timer(); }),
      random_(std::random_device{}()), scheduler_({}, {}), retry_tokens_(1.0)
{
    auto const gauge = [this](char const* name, auto read)
    {
        metrics_.gauge(name, [read] { return static_cast<double>(read()); });
    };
    gauge("daisytrail_requests_open", [this] { return jobs_.size(); });
    gauge("daisytrail_requests_queued", [this] { return scheduler_.queued(); });
    gauge("daisytrail_requests_running",
          [this] { return scheduler_.running(); });
    gauge("daisytrail_keys_held", [this] { return keys_ ? keys_->size() : 0; });
    gauge("daisytrail_backend_suspect",
          [this] { return scheduler_.is_suspect() ? 1 : 0; });
    offer_timer_.start();
}

requests_service::~requests_service()
{
    alive_.reset();
    auto const open = sessions_;
    for (auto const& [key, session] : open)
    {
        session->abort();
    }
    for (auto const& [id, job] : jobs_)
    {
        if (job->exchange_)
        {
            job->exchange_->cancel();
        }
    }
}

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
    backend_down_until_ = {};
    scheduler_.configure(
        scheduler_classes(service.classes_),
        {std::max(backend.slots_, 1U), service.limits_.queue_});
    post_run_queue();
}

void requests_service::set_targets(std::vector<target_record> const& records,
                                   target_record const& self)
{
    self_ = self;
    if (!keys_)
    {
        keys_.emplace(self.target_, self.version_.incarnation_, random_());
    }
    if (!link_ && self.rpc_.port_ != 0)
    {
        link_ = std::make_shared<peer_rpc>(io_, self.rpc_, *this, metrics_);
    }
    targets_.clear();
    for (auto const& record : records)
    {
        bool const is_reachable = record.target_ != self.target_ &&
                                  may_own_flows(record.state_) &&
                                  record.rpc_.port_ != 0;
        if (is_reachable)
        {
            targets_.emplace(record.target_, record);
        }
        if (is_reachable && takes_new_work(record.state_))
        {
            peers_.add(record.target_, record.slots_, current_time());
        }
        else
        {
            peers_.remove(record.target_);
        }
    }
}

void requests_service::set_peer_link(std::shared_ptr<peer_link> link)
{
    link_ = std::move(link);
}

void requests_service::drain(time_point deadline)
{
    draining_ = true;
    auto const open = sessions_;
    for (auto const& [key, session] : open)
    {
        session->drain();
    }
    offer_queued_requests();
    drain_timer_.expires_at(deadline);
    drain_timer_.async_wait(on_expiry(
        [this]
        {
            auto const remaining = sessions_;
            for (auto const& [key, session] : remaining)
            {
                session->abort();
            }
        }));
}

std::size_t requests_service::open_work_count() const
{
    return sessions_.size() + jobs_.size();
}

void requests_service::post(std::function<void()> task)
{
    boost::asio::post(io_,
                      [alive = std::weak_ptr(alive_), task = std::move(task)]
                      {
                          if (!alive.expired())
                          {
                              task();
                          }
                      });
}

service_limits const& requests_service::limits() const
{
    return service_.limits_;
}

bool requests_service::is_draining() const
{
    return draining_;
}

void requests_service::on_session_closed(requests_session& session)
{
    // Deferred, since the session is on the call stack.
    post([this, key = &session] { sessions_.erase(key); });
}

void requests_service::count(request_outcome outcome)
{
    ++metrics_.counter("daisytrail_requests_total{outcome=\"" +
                       std::string(to_string(outcome)) + "\"}");
}

} // namespace daisytrail
