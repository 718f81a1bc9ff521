// Tests of the `requests` mode with mock flows and a small HTTP server as the
// backend server.
#include "agent/requests_service.hpp"
#include "net/http_page.hpp"

#include <doctest/doctest.h>

using namespace daisytrail;

namespace
{

constexpr endpoint backend_address{0x7F000001, 24901};

service_template make_service()
{
    service_template service;
    service.name_ = "orders";
    service.limits_.body_bytes_ = 1'000'000;
    service.limits_.header_bytes_ = 1'024;
    service.limits_.header_timeout_ = std::chrono::milliseconds(200);
    return service;
}

// The caller's side: what the service wrote, and the handlers it set.
struct mock_flow_state
{
    tcp_handlers handlers_;
    std::string received_;
    std::size_t consumed_ = 0;
    std::size_t room_ = 1'000'000; // that write() takes
    bool over_ = false;
    bool reset_ = false;
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
        auto const taken = std::min(bytes.size(), state_->room_);
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
        state_->over_ = true;
    }

    void abort() override
    {
        state_->over_ = true;
        state_->reset_ = true;
    }

private:
    std::shared_ptr<mock_flow_state> state_;
};

struct fixture
{
    fixture() : page_(io_, backend_address), service_(io_, numbers_)
    {
        page_.route("POST", "/orders",
                    [this](http_request const& request)
                    {
                        ++runs_;
                        return make_response(201, "got " + request.body());
                    });
        page_.route("GET", "/big",
                    [](http_request const&)
                    { return make_response(200, std::string(300'000, 'x')); });
        page_.route("GET", "/shed",
                    [this](http_request const&)
                    {
                        ++runs_;
                        auto answer = make_response(503, "shed");
                        answer.set(boost::beast::http::field::retry_after, "2");
                        return answer;
                    });
        service_.update(make_service(), {backend_address, true, 4, 100});
    }

    ~fixture()
    {
        page_.stop();
    }

    std::shared_ptr<mock_flow_state> open()
    {
        auto state = std::make_shared<mock_flow_state>();
        service_.accept(std::make_unique<mock_flow>(state));
        return state;
    }

    void say(mock_flow_state& flow, std::string const& text)
    {
        flow.handlers_.on_data_(std::as_bytes(std::span(text)));
    }

    template <typename Condition>
    void run_until(Condition done)
    {
        auto const limit =
            std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!done() && std::chrono::steady_clock::now() < limit)
        {
            io_.run_one_for(std::chrono::milliseconds(50));
        }
    }

    // Sends bytes on a flow of its own and returns all that came back before
    // the flow ended or `until` was received.
    std::string talk(std::string const& request, std::string const& until = {})
    {
        auto const flow = open();
        say(*flow, request);
        run_until(
            [&]
            {
                return flow->over_ ||
                       (!until.empty() &&
                        flow->received_.find(until) != std::string::npos);
            });
        return flow->received_;
    }

    boost::asio::io_context io_;
    http_page page_;
    metrics numbers_;
    requests_service service_;
    int runs_ = 0;
};

} // namespace

TEST_CASE("pipelined requests of one flow are answered in order")
{
    fixture f;
    auto const answers = f.talk("POST /orders HTTP/1.1\r\nHost: a\r\n"
                                "Content-Length: 1\r\n\r\n1"
                                "POST /orders HTTP/1.1\r\nHost: a\r\n"
                                "Connection: close\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n"
                                "1\r\n2\r\n0\r\n\r\n");
    auto const first = answers.find("got 1");
    auto const second = answers.find("got 2");
    CHECK(first != std::string::npos);
    CHECK(second != std::string::npos);
    CHECK(first < second);
    CHECK(f.runs_ == 2);
    CHECK(answers.find("Daisytrail-Outcome: ran") != std::string::npos);
}

TEST_CASE("a long answer arrives whole")
{
    fixture f;
    auto const answer =
        f.talk("GET /big HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(answer.size() > 300'000);
    CHECK(answer.substr(answer.find("\r\n\r\n") + 4) ==
          std::string(300'000, 'x'));
}

TEST_CASE("a body beyond the limit is refused before the backend server runs")
{
    fixture f;
    auto const answer = f.talk("POST /orders HTTP/1.1\r\nHost: a\r\n"
                               "Content-Length: 1000001\r\n\r\n");
    CHECK(answer.rfind("HTTP/1.1 413", 0) == 0);
    CHECK(answer.find("Daisytrail-Outcome: not-run") != std::string::npos);
    CHECK(f.runs_ == 0);
}

TEST_CASE("a header beyond the limit is refused")
{
    fixture f;
    auto const answer = f.talk(
        "GET /big HTTP/1.1\r\nA: " + std::string(2'000, 'a') + "\r\n\r\n");
    CHECK(answer.rfind("HTTP/1.1 431", 0) == 0);
}

TEST_CASE("bytes that are no HTTP are refused")
{
    fixture f;
    CHECK(f.talk("\x16\x03\x01 hello\r\n\r\n").rfind("HTTP/1.1 400", 0) == 0);
}

TEST_CASE("a sender that stops within its body gets a refusal in time")
{
    fixture f;
    auto const answer = f.talk("POST /orders HTTP/1.1\r\nHost: a\r\n"
                               "Content-Length: 10\r\n\r\n123");
    CHECK(answer.rfind("HTTP/1.1 408", 0) == 0);
    CHECK(f.runs_ == 0);
}

TEST_CASE("with no backend server nothing runs and the caller may come back")
{
    fixture f;
    f.service_.update(make_service(), {{}, false, 0, 0});
    auto const answer =
        f.talk("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1"
               "GET /big HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(answer.rfind("HTTP/1.1 503", 0) == 0);
    CHECK(answer.find("Retry-After: 1") != std::string::npos);
    CHECK(answer.find("no_backend") != std::string::npos);
    // The refused body doesn't disturb the next request of the flow.
    CHECK(answer.find("HTTP/1.1 503", 1) != std::string::npos);
}

TEST_CASE("a backend server that can't be reached means not run")
{
    fixture f;
    f.service_.update(make_service(), {{0x7F000001, 24902}, true, 4, 100});
    auto const answer = f.talk("POST /orders HTTP/1.1\r\nHost: a\r\n"
                               "Content-Length: 1\r\n\r\n1",
                               "\"reason\":");
    CHECK(answer.find("Daisytrail-Outcome: not-run") != std::string::npos);
    CHECK(answer.find("no_backend") != std::string::npos);
}
