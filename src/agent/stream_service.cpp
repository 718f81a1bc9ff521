// Sessions of the stream mode: connect, then splice.
#include "agent/stream_service.hpp"

#include "net/log.hpp"

#include <boost/asio/ip/address_v4.hpp>

namespace daisytrail
{

namespace
{

// The backend server is beside the agent, so that a slow connect means that it
// is stuck.
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
    boost::asio::steady_timer timer_;     // bounds the connect
    std::vector<std::byte> early_;        // arrived before the connect
    bool ended_early_ = false;            // the caller's FIN came before it
    bool closed_ = false;
    std::shared_ptr<splice> splice_;
};

stream_service::stream_service(boost::asio::io_context& io, metrics& metrics)
    : io_(io), opened_(metrics.counter("daisytrail_stream_opened_total")),
      refused_(metrics.counter("daisytrail_stream_refused_total")),
      reset_(metrics.counter("daisytrail_stream_reset_total")), deadline_(io)
{
    metrics.gauge("daisytrail_stream_flows",
                  [this] { return static_cast<double>(sessions_.size()); });
}

stream_service::~stream_service() = default;

void stream_service::accept(std::shared_ptr<tcp_flow> flow)
{
    if (!backend_.ready_)
    {
        ++refused_;
        flow->abort();
        return;
    }
    auto const key = flow->key();
    auto opened = std::make_shared<session>(io_, std::move(flow));
    sessions_[key] = opened;
    ++opened_;
    tcp_handlers handlers;
    handlers.on_data_ = [opened](std::span<std::byte const> bytes)
    {
        opened->early_.insert(opened->early_.end(), bytes.begin(), bytes.end());
    };
    handlers.on_end_ = [opened]
    {
        opened->ended_early_ = true;
    };
    handlers.on_closed_ = [this, opened, key](bool)
    {
        opened->closed_ = true;
        opened->socket_.close();
        opened->timer_.cancel();
        finish(key);
    };
    opened->flow_->set_handlers(std::move(handlers));
    opened->timer_.expires_after(connect_timeout);
    opened->timer_.async_wait(
        [opened](boost::system::error_code code)
        {
            if (!code)
            {
                opened->socket_.close();
            }
        });
    opened->socket_.async_connect(to_asio(backend_.address_),
                                  [this, opened](boost::system::error_code code)
                                  {
                                      opened->timer_.cancel();
                                      if (opened->closed_)
                                      {
                                          return;
                                      }
                                      if (code)
                                      {
                                          ++refused_;
                                          opened->flow_->abort();
                                          return;
                                      }
                                      start_splice(opened);
                                  });
}

void stream_service::start_splice(std::shared_ptr<session> const& opened)
{
    auto const key = opened->flow_->key();
    opened->splice_ = std::make_shared<splice>(
        opened->flow_, std::move(opened->socket_),
        [this, key](splice_end, splice_bytes const&) { finish(key); });
    opened->splice_->start(opened->early_, opened->ended_early_);
    opened->early_ = {};
}

void stream_service::finish(flow_key const& flow)
{
    sessions_.erase(flow);
}

void stream_service::update(service_template const&,
                            backend_status const& backend)
{
    bool const lost = backend_.ready_ && !backend.ready_;
    backend_ = backend;
    if (lost)
    {
        log_event(log_level::warning, "backend_lost",
                  {{"flows", sessions_.size()}});
        reset_all();
    }
}

void stream_service::drain(time_point deadline)
{
    deadline_.expires_at(
        std::chrono::time_point_cast<std::chrono::steady_clock::duration>(
            deadline));
    deadline_.async_wait(
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
    for (auto const& [key, opened] : sessions)
    {
        ++reset_;
        if (opened->splice_)
        {
            opened->splice_->abort();
        }
        else
        {
            opened->flow_->abort();
        }
    }
}

} // namespace daisytrail
