// Service mode `stream`: splices each flow to a TCP connection of its own to
// the backend server.
#pragma once

#include "agent/flow_service.hpp"
#include "lwip/splice.hpp"
#include "net/metrics.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <unordered_map>

namespace daisytrail
{

class stream_service : public flow_service
{
public:
    stream_service(boost::asio::io_context& io, metrics& metrics);
    ~stream_service() override;

    void accept(std::shared_ptr<tcp_flow> flow) override;

    // Resets all flows if the backend server is no longer ready.
    void update(service_template const& service,
                backend_status const& backend) override;

    // Lets the flows run until they end, and resets those still open at
    // `deadline`.
    void drain(time_point deadline) override;

    std::size_t open_work_count() const override
    {
        return sessions_.size();
    }

private:
    struct session;

    void start_splice(std::shared_ptr<session> const& flow_session);
    void finish(flow_key const& flow);
    void reset_all();

    boost::asio::io_context& io_;
    std::uint64_t& opened_flows_;
    std::uint64_t& refused_flows_; // the backend server couldn't be reached
    std::uint64_t& reset_flows_;
    backend_status backend_;
    boost::asio::steady_timer drain_timer_;
    std::unordered_map<flow_key, std::shared_ptr<session>, flow_hash> sessions_;
};

} // namespace daisytrail
