// Sessions of the stream mode. A session connects to the backend server and
// then splices the flow to the connection.
#include "agent/stream_service.hpp"

#include "net/log.hpp"

#include <boost/asio/ip/address_v4.hpp>

namespace daisytrail
{

namespace
{

// The backend server runs beside the agent, so a slow connect means that the
// backend server hangs.
constexpr auto connect_timeout = std::chrono::seconds(5);

boost::asio::ip::tcp::endpoint to_asio(endpoint const& value)
{
    return {boost::asio::ip::address_v4(value.address_), value.port_};
}

} // namespace

struct stream_service::session
{
    session(boost::asio::io_context& io, std::shared_ptr<tcp_flow> flow)
        : flow_(std::move(flow)), socket_(io), timer_(io)
    {
    }

    std::shared_ptr<tcp_flow> flow_;
    boost::asio::ip::tcp::socket socket_; // moved into splice_ once connected
    boost::asio::steady_timer timer_;     // connect timeout
    std::vector<std::byte> early_data_;   // received before the connect
    bool received_fin_ = false;           // FIN received before the connect
    bool closed_ = false;
    std::shared_ptr<splice> splice_;
};

stream_service::stream_service(boost::asio::io_context& io, metrics& metrics)
    : io_(io), opened_flows_(metrics.counter("daisytrail_stream_opened_total")),
      refused_flows_(metrics.counter("daisytrail_stream_refused_total")),
      reset_flows_(metrics.counter("daisytrail_stream_reset_total")),
      drain_timer_(io)
{
    metrics.gauge("daisytrail_stream_flows",
                  [this] { return static_cast<double>(sessions_.size()); });
}

stream_service::~stream_service() = default;

void stream_service::accept(std::shared_ptr<tcp_flow> flow)
{
    if (!backend_.ready_)
    {
        ++refused_flows_;
        flow->abort();
        return;
    }
    auto const key = flow->key();
    auto flow_session = std::make_shared<session>(io_, std::move(flow));
    sessions_[key] = flow_session;
    ++opened_flows_;
    tcp_handlers handlers;
    handlers.on_data_ = [flow_session](std::span<std::byte const> bytes)
    {
        flow_session->early_data_.insert(flow_session->early_data_.end(),
                                         bytes.begin(), bytes.end());
    };
    handlers.on_end_ = [flow_session]
    {
        flow_session->received_fin_ = true;
    };
    handlers.on_closed_ = [this, flow_session, key](bool)
    {
        flow_session->closed_ = true;
        flow_session->socket_.close();
        flow_session->timer_.cancel();
        finish(key);
    };
    flow_session->flow_->set_handlers(std::move(handlers));
    flow_session->timer_.expires_after(connect_timeout);
    flow_session->timer_.async_wait(
        [flow_session](boost::system::error_code code)
        {
            if (!code)
            {
                flow_session->socket_.close();
            }
        });
    flow_session->socket_.async_connect(
        to_asio(backend_.address_),
        [this, flow_session](boost::system::error_code code)
        {
            flow_session->timer_.cancel();
            if (flow_session->closed_)
            {
                return;
            }
            if (code)
            {
                ++refused_flows_;
                flow_session->flow_->abort();
                return;
            }
            start_splice(flow_session);
        });
}

void stream_service::start_splice(std::shared_ptr<session> const& flow_session)
{
    auto const key = flow_session->flow_->key();
    flow_session->splice_ = std::make_shared<splice>(
        flow_session->flow_, std::move(flow_session->socket_),
        [this, key](splice_outcome, splice_bytes const&) { finish(key); });
    flow_session->splice_->start(flow_session->early_data_,
                                 flow_session->received_fin_);
    flow_session->early_data_ = {};
}

void stream_service::finish(flow_key const& flow)
{
    sessions_.erase(flow);
}

void stream_service::update(service_template const&,
                            backend_status const& backend)
{
    bool const was_lost = backend_.ready_ && !backend.ready_;
    backend_ = backend;
    if (was_lost)
    {
        log_event(log_level::warning, "backend_lost",
                  {{"flows", sessions_.size()}});
        reset_all();
    }
}

void stream_service::drain(time_point deadline)
{
    drain_timer_.expires_at(
        std::chrono::time_point_cast<std::chrono::steady_clock::duration>(
            deadline));
    drain_timer_.async_wait(
        [this](boost::system::error_code code)
        {
            if (!code)
            {
                reset_all();
            }
        });
}

void stream_service::reset_all()
{
    auto const sessions = std::move(sessions_);
    sessions_.clear();
    for (auto const& [key, flow_session] : sessions)
    {
        ++reset_flows_;
        if (flow_session->splice_)
        {
            flow_session->splice_->abort();
        }
        else
        {
            flow_session->flow_->abort();
        }
    }
}

} // namespace daisytrail
