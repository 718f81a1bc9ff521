// The agent's `requests` mode: reads HTTP/1.1 requests from flows and runs them
// on the backend server.
#pragma once

#include "agent/flow_service.hpp"
#include "agent/requests_session.hpp"
#include "net/metrics.hpp"

#include <boost/asio/io_context.hpp>

#include <unordered_map>
#include <unordered_set>

namespace daisytrail
{

class requests_service : public flow_service, public session_owner
{
public:
    requests_service(boost::asio::io_context& io, metrics& numbers);
    ~requests_service() override;

    void accept(std::shared_ptr<tcp_flow> flow) override;
    void accept(std::unique_ptr<session_flow> flow);
    void update(service_template const& service,
                backend_status const& backend) override;
    void drain(time_point deadline) override;
    std::size_t open_work() const override;

private:
    class job_events;

    service_limits const& limits() const override;
    bool is_draining() const override;
    std::shared_ptr<request_job> submit(request_head head,
                                        answer_sink& sink) override;
    void body_arrived(request_job& job) override;
    void cancel(request_job& job) override;
    void session_closed(requests_session& session) override;

    void start(request_job& job);
    void finish(request_job& job, request_outcome outcome);
    void forget(request_job& job);
    void count(request_outcome outcome);

    boost::asio::io_context& io_;
    metrics& metrics_;
    service_template service_;
    backend_status backend_;
    bool draining_ = false;
    boost::asio::steady_timer drain_timer_;
    request_id next_id_ = 1;
    std::unordered_map<request_id, std::shared_ptr<request_job>> jobs_;
    std::unordered_map<requests_session*, std::shared_ptr<requests_session>>
        sessions_;
};

} // namespace daisytrail
