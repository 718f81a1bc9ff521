// Fixture for tests of the `requests` mode: an agent's service with mock flows
// and a small HTTP server as its backend server, and servers that fail.
#pragma once

#include "agent/requests_service.hpp"
#include "net/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace daisytrail::test
{

inline service_template make_service()
{
    service_template service;
    service.name_ = "orders";
    service.limits_.body_bytes_ = 1'000'000;
    service.limits_.header_bytes_ = 1'024;
    service.limits_.header_timeout_ = std::chrono::milliseconds(200);
    return service;
}

// The caller's side of a flow: the bytes that the service wrote and the
// handlers that it set.
struct mock_flow_state
{
    tcp_handlers handlers_;
    std::string received_;
    std::size_t consumed_ = 0;
    std::size_t write_capacity_ = 1'000'000; // accepted by one write()
    bool has_ended_ = false;
    bool was_reset_ = false;
};

class mock_flow : public session_flow
{
public:
    explicit mock_flow(std::shared_ptr<mock_flow_state> state)
        : state_(std::move(state))
    {
    }

    void set_handlers(tcp_handlers handlers) override
    {
        state_->handlers_ = std::move(handlers);
    }

    std::size_t write(std::span<std::byte const> bytes) override
    {
        auto const taken = std::min(bytes.size(), state_->write_capacity_);
        state_->received_.append(reinterpret_cast<char const*>(bytes.data()),
                                 taken);
        return taken;
    }

    void consume(std::size_t bytes) override
    {
        state_->consumed_ += bytes;
    }

    void shutdown() override
    {
        state_->has_ended_ = true;
    }

    void abort() override
    {
        state_->has_ended_ = true;
        state_->was_reset_ = true;
    }

private:
    std::shared_ptr<mock_flow_state> state_;
};

// Returns a port that is free at this moment, so that parallel test runs don't
// use the same ports.
inline std::uint16_t free_port()
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor const probe(
        io, {boost::asio::ip::address_v4::loopback(), 0});
    return probe.local_endpoint().port();
}

// Reads a request, sends a fixed answer and closes the connection.
struct closing_server
{
    closing_server(boost::asio::io_context& io, std::uint16_t port)
        : acceptor_(io, {boost::asio::ip::address_v4::loopback(), port})
    {
        accept();
    }

    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code code,
                   boost::asio::ip::tcp::socket socket)
            {
                if (code)
                {
                    return;
                }
                socket_.emplace(std::move(socket));
                socket_->async_read_some(
                    boost::asio::buffer(buffer_),
                    [this](boost::system::error_code, std::size_t)
                    {
                        ++requests_;
                        boost::system::error_code ignored;
                        boost::asio::write(
                            *socket_, boost::asio::buffer(answer_), ignored);
                        socket_.reset();
                        accept();
                    });
            });
    }

    endpoint address() const
    {
        return {0x7F000001, acceptor_.local_endpoint().port()};
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    std::optional<boost::asio::ip::tcp::socket> socket_;
    std::array<char, 4'096> buffer_{};
    std::string answer_; // empty: closes the connection without an answer
    int requests_ = 0;
};

// Accepts one connection, never responds and counts its end.
struct silent_server
{
    silent_server(boost::asio::io_context& io, std::uint16_t port)
        : acceptor_(io, {boost::asio::ip::address_v4::loopback(), port}),
          socket_(io)
    {
        acceptor_.async_accept(socket_,
                               [this](boost::system::error_code)
                               {
                                   ++open_;
                                   read();
                               });
    }

    void read()
    {
        socket_.async_read_some(
            boost::asio::buffer(buffer_),
            [this](boost::system::error_code code, std::size_t)
            {
                if (code)
                {
                    ++closed_;
                    return;
                }
                read();
            });
    }

    endpoint address() const
    {
        return {0x7F000001, acceptor_.local_endpoint().port()};
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::socket socket_;
    std::array<char, 4'096> buffer_{};
    int open_ = 0;
    int closed_ = 0;
};

inline std::string make_order(std::string const& body,
                              std::string const& fields = {})
{
    return "POST /orders HTTP/1.1\r\nHost: a\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline target_record make_target(target_id target, std::uint16_t rpc_port)
{
    target_record record;
    record.target_ = target;
    record.version_ = {100 + target, 1};
    record.rpc_ = {0x7F000001, rpc_port};
    record.slots_ = 4;
    record.state_ = member_state::ready;
    return record;
}

// An agent's service and its backend server.
struct service_fixture
{
    explicit service_fixture(boost::asio::io_context& io,
                             std::uint16_t port = free_port())
        : io_(io), backend_{0x7F000001, port}, http_server_(io_, backend_),
          service_(std::make_unique<requests_service>(io_, metrics_))
    {
        http_server_.route("POST", "/orders",
                           [this](http_request const& request)
                           {
                               ++handled_requests_;
                               return make_response(201,
                                                    "got " + request.body());
                           });
        http_server_.route(
            "GET", "/big",
            [](http_request const&)
            { return make_response(200, std::string(300'000, 'x')); });
        http_server_.route("GET", "/shed",
                           [this](http_request const&)
                           {
                               ++handled_requests_;
                               auto response = make_response(503, "shed");
                               response.set(
                                   boost::beast::http::field::retry_after, "2");
                               return response;
                           });
        service_->update(make_service(), {backend_, true, 4, 100});
    }

    ~service_fixture()
    {
        http_server_.stop();
        service_.reset();
        // A real flow releases its handlers when it is aborted.
        for (auto const& flow : opened_flows_)
        {
            flow->handlers_ = {};
        }
    }

    std::shared_ptr<mock_flow_state> open()
    {
        auto state = std::make_shared<mock_flow_state>();
        opened_flows_.push_back(state);
        service_->accept(std::make_unique<mock_flow>(state));
        return state;
    }

    void send(mock_flow_state& flow, std::string const& text)
    {
        flow.handlers_.on_data_(std::as_bytes(std::span(text)));
    }

    template <typename Condition>
    void run_until(Condition done)
    {
        auto const give_up_at =
            std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!done() && std::chrono::steady_clock::now() < give_up_at)
        {
            io_.run_one_for(std::chrono::milliseconds(50));
        }
    }

    // Sends `request` on a new flow and returns the bytes received until the
    // flow ended or `until` was among them.
    std::string send_and_receive(std::string const& request,
                                 std::string const& until = {})
    {
        auto const flow = open();
        send(*flow, request);
        run_until(
            [&]
            {
                return flow->has_ended_ ||
                       (!until.empty() &&
                        flow->received_.find(until) != std::string::npos);
            });
        return flow->received_;
    }

    boost::asio::io_context& io_;
    endpoint backend_;
    http_server http_server_;
    metrics metrics_;
    std::vector<std::shared_ptr<mock_flow_state>> opened_flows_;
    std::unique_ptr<requests_service> service_;
    int handled_requests_ = 0;
};

} // namespace daisytrail::test
