// Tests of requests that move between two agents over Cap'n Proto RPC.
#include "requests_fixture.hpp"

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace daisytrail::test;

namespace
{

// Two agents of a service on one event loop, each with its own backend server.
struct pair_fixture
{
    pair_fixture() : left_(io_), right_(io_)
    {
        set_peer(left_, left_record_, right_record_);
        set_peer(right_, right_record_, left_record_);
        // Waits until the RPC threads listen.
        io_.run_for(std::chrono::milliseconds(30));
    }

    static void set_peer(service_fixture& agent, target_record const& self,
                         target_record const& other)
    {
        agent.service_->set_targets({self, other}, self);
    }

    // Marks the agent's backend server as down, so that its requests run at the
    // other agent.
    static void stop_backend(service_fixture& agent)
    {
        agent.service_->update(make_service(), {agent.backend_, false, 4, 100});
    }

    boost::asio::io_context io_;
    target_record left_record_ = make_target(1, free_port());
    target_record right_record_ = make_target(2, free_port());
    service_fixture left_;
    service_fixture right_;
};

std::string extract_key(std::string const& response)
{
    auto const begin = response.find("dt1-");
    auto const end = response.find_first_not_of("dt1-0123456789abcdef", begin);
    return response.substr(begin, end - begin);
}

} // namespace

TEST_CASE("an agent whose backend server is down runs requests at a peer")
{
    pair_fixture f;
    pair_fixture::stop_backend(f.left_);
    auto const response = f.left_.send_and_receive(make_order("1"), "got 1");
    CHECK(response.find("got 1") != std::string::npos);
    CHECK(f.left_.handled_requests_ == 0);
    CHECK(f.right_.handled_requests_ == 1);
}

TEST_CASE("a large response from a peer is delivered completely")
{
    pair_fixture f;
    pair_fixture::stop_backend(f.left_);
    auto const response = f.left_.send_and_receive(
        "GET /big HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    bool const is_complete = response.substr(response.find("\r\n\r\n") + 4) ==
                             std::string(300'000, 'x');
    CHECK(is_complete);
}

TEST_CASE("a draining agent passes its queued requests to a peer")
{
    pair_fixture f;
    auto const flow = f.left_.open();
    f.left_.send(*flow, "POST /orders HTTP/1.1\r\nHost: a\r\n"
                        "Content-Length: 1\r\n\r\n");
    f.left_.service_->drain(std::chrono::steady_clock::now() +
                            std::chrono::seconds(10));
    f.left_.send(*flow, "1");
    f.left_.run_until([&] { return flow->has_ended_; });
    CHECK(flow->received_.find("got 1") != std::string::npos);
    CHECK(flow->received_.find("Connection: close") != std::string::npos);
    CHECK_FALSE(flow->was_reset_);
    CHECK(f.left_.handled_requests_ == 0);
    CHECK(f.right_.handled_requests_ == 1);
}

TEST_CASE("a request with an issued key runs once, through any agent")
{
    pair_fixture f;
    auto const issued =
        f.right_.send_and_receive("POST /.daisytrail/keys HTTP/1.1\r\n"
                                  "Host: a\r\nContent-Length: 0\r\n\r\n",
                                  "\"key\"");
    auto const field = "Idempotency-Key: " + extract_key(issued) + "\r\n";
    auto const first =
        f.left_.send_and_receive(make_order("1", field), "got 1");
    CHECK(first.find("got 1") != std::string::npos);
    auto const again =
        f.right_.send_and_receive(make_order("1", field), "got 1");
    CHECK(again.find("got 1") != std::string::npos);
    auto const third =
        f.left_.send_and_receive(make_order("1", field), "got 1");
    CHECK(third.find("got 1") != std::string::npos);
    CHECK(f.left_.handled_requests_ + f.right_.handled_requests_ == 1);
}

TEST_CASE("a request with a caller's key runs once, through any agent")
{
    pair_fixture f;
    for (auto const* key : {"a", "b", "c", "d"})
    {
        auto const field = std::string("Idempotency-Key: ") + key + "\r\n";
        f.left_.send_and_receive(make_order("1", field), "got 1");
        f.right_.send_and_receive(make_order("1", field), "got 1");
    }
    CHECK(f.left_.handled_requests_ + f.right_.handled_requests_ == 4);
}

TEST_CASE("an unreachable peer makes the outcome not run")
{
    pair_fixture f;
    f.right_.service_.reset();
    pair_fixture::stop_backend(f.left_);
    auto const response = f.left_.send_and_receive(
        make_order("1", "Daisytrail-Deadline-Ms: 200\r\n"), "retry");
    CHECK(response.find("Daisytrail-Outcome: not-run") != std::string::npos);
}

TEST_CASE("a peer lost after the start makes the outcome unknown")
{
    pair_fixture f;
    pair_fixture::stop_backend(f.left_);
    silent_server silent(f.io_, free_port());
    f.right_.service_->update(make_service(), {silent.address(), true, 4, 100});
    auto const flow = f.left_.open();
    f.left_.send(*flow, make_order("1"));
    f.left_.run_until([&] { return silent.open_ == 1; });
    f.right_.service_.reset();
    f.left_.run_until([&] { return !flow->received_.empty(); });
    CHECK(flow->received_.rfind("HTTP/1.1 502", 0) == 0);
    CHECK(flow->received_.find("Daisytrail-Outcome: unknown") !=
          std::string::npos);
}

TEST_CASE("a request at a peer is cancelled when its caller disconnects")
{
    pair_fixture f;
    pair_fixture::stop_backend(f.left_);
    silent_server silent(f.io_, free_port());
    f.right_.service_->update(make_service(), {silent.address(), true, 4, 100});
    auto const flow = f.left_.open();
    f.left_.send(*flow, make_order("1"));
    f.left_.run_until([&] { return silent.open_ == 1; });
    flow->handlers_.on_closed_(true);
    f.left_.run_until([&] { return silent.closed_ == 1; });
    CHECK(silent.closed_ == 1);
}

TEST_CASE("a request with a caller's key doesn't run again without its owner")
{
    pair_fixture f;
    for (auto const* key : {"a", "b", "c", "d", "e", "f"})
    {
        auto const field = std::string("Idempotency-Key: ") + key + "\r\n";
        f.left_.send_and_receive(make_order("1", field), "got 1");
    }
    auto const runs = f.left_.handled_requests_ + f.right_.handled_requests_;
    CHECK(runs == 6);
    f.right_.service_.reset();
    f.left_.service_->set_targets({f.left_record_}, f.left_record_);
    int unknown = 0;
    for (auto const* key : {"a", "b", "c", "d", "e", "f"})
    {
        auto const field = std::string("Idempotency-Key: ") + key +
                           "\r\nConnection: close\r\n";
        auto const response = f.left_.send_and_receive(make_order("1", field));
        unknown += response.find("key_owner_gone") != std::string::npos ? 1 : 0;
    }
    CHECK(f.left_.handled_requests_ + f.right_.handled_requests_ == runs);
    CHECK(unknown > 0);
    CHECK(unknown < 6);
}

TEST_CASE("a caller's key gets the stored response after its owner changed")
{
    pair_fixture f;
    // Until the right agent is added, the left agent owns all keys.
    f.left_.service_->set_targets({f.left_record_}, f.left_record_);
    for (auto const* key : {"a", "b", "c", "d"})
    {
        auto const field = std::string("Idempotency-Key: ") + key + "\r\n";
        f.left_.send_and_receive(make_order("1", field), "got 1");
    }
    pair_fixture::set_peer(f.left_, f.left_record_, f.right_record_);
    for (auto const* key : {"a", "b", "c", "d"})
    {
        auto const field = std::string("Idempotency-Key: ") + key + "\r\n";
        auto const response =
            f.right_.send_and_receive(make_order("1", field), "got 1");
        CHECK(response.find("got 1") != std::string::npos);
    }
    CHECK(f.left_.handled_requests_ + f.right_.handled_requests_ == 4);
}
