// Copy loops of a splice, one for each direction.
#include "lwip/splice.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace daisytrail
{

namespace asio = boost::asio;

splice::splice(std::shared_ptr<tcp_flow> flow, asio::ip::tcp::socket socket,
               end_handler on_end)
    : flow_(std::move(flow)), socket_(std::move(socket)),
      on_end_(std::move(on_end))
{
}

void splice::start(std::span<std::byte const> early_data, bool flow_ended)
{
    auto const self = shared_from_this();
    tcp_handlers handlers;
    handlers.on_data_ = [self](std::span<std::byte const> bytes)
    {
        self->on_flow_data(bytes);
    };
    handlers.on_end_ = [self]
    {
        self->flow_ended_ = true;
        self->write_socket();
    };
    handlers.on_writable_ = [self]
    {
        self->write_flow();
    };
    handlers.on_closed_ = [self](bool reset)
    {
        if (reset)
        {
            self->finish(splice_outcome::flow_reset);
        }
    };
    flow_->set_handlers(std::move(handlers));
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    if (!early_data.empty())
    {
        on_flow_data(early_data);
    }
    if (flow_ended)
    {
        flow_ended_ = true;
        write_socket();
    }
    read_socket();
}

void splice::abort()
{
    finish(splice_outcome::aborted);
}

void splice::on_flow_data(std::span<std::byte const> bytes)
{
    bytes_.from_flow_ += bytes.size();
    queued_.insert(queued_.end(), bytes.begin(), bytes.end());
    write_socket();
}

void splice::write_socket()
{
    if (is_writing_ || !on_end_)
    {
        return;
    }
    if (queued_.empty())
    {
        if (flow_ended_ && !socket_shut_down_)
        {
            socket_shut_down_ = true;
            boost::system::error_code ignored;
            socket_.shutdown(asio::socket_base::shutdown_send, ignored);
            finish_if_complete();
        }
        return;
    }
    is_writing_ = true;
    write_buffer_.swap(queued_);
    asio::async_write(
        socket_, asio::buffer(write_buffer_),
        [self = shared_from_this()](boost::system::error_code code, std::size_t)
        {
            self->is_writing_ = false;
            if (code)
            {
                self->finish(splice_outcome::socket_reset);
                return;
            }
            self->flow_->consume(self->write_buffer_.size());
            self->write_buffer_.clear();
            self->write_socket();
        });
}

void splice::read_socket()
{
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](boost::system::error_code code,
                                    std::size_t count)
        {
            if (!self->on_end_)
            {
                return;
            }
            if (code == asio::error::eof)
            {
                self->socket_ended_ = true;
                self->flow_->shutdown();
                self->finish_if_complete();
                return;
            }
            if (code)
            {
                self->finish(splice_outcome::socket_reset);
                return;
            }
            self->bytes_.from_socket_ += count;
            self->pending_ = std::span(self->buffer_).first(count);
            self->write_flow();
        });
}

void splice::write_flow()
{
    if (pending_.empty())
    {
        return;
    }
    pending_ = pending_.subspan(flow_->write(pending_));
    if (pending_.empty() && on_end_)
    {
        read_socket();
    }
}

void splice::finish_if_complete()
{
    if (socket_ended_ && socket_shut_down_)
    {
        finish(splice_outcome::complete);
    }
}

void splice::finish(splice_outcome outcome)
{
    auto const on_end = std::exchange(on_end_, nullptr);
    if (!on_end)
    {
        return;
    }
    auto const keep_alive = shared_from_this();
    if (outcome == splice_outcome::complete)
    {
        // lwIP sends the bytes that are still queued. No further event is
        // needed.
        flow_->set_handlers({});
    }
    else
    {
        flow_->set_handlers({});
        flow_->abort();
        boost::system::error_code ignored;
        // With a linger time of zero the kernel sends a RST, so that the peer
        // can't take a broken flow for an orderly end.
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    boost::system::error_code ignored;
    socket_.close(ignored);
    on_end(outcome, bytes_);
}

} // namespace daisytrail
