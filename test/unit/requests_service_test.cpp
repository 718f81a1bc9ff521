// Tests of the `requests` mode of one agent, with mock flows and a small HTTP
// server as the backend server.
#include "requests_fixture.hpp"

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace daisytrail::test;

TEST_CASE("pipelined requests on a flow get their responses in order")
{
    boost::asio::io_context io;
    service_fixture f(io);
    auto const responses =
        f.send_and_receive("POST /orders HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: 1\r\n\r\n1"
                           "POST /orders HTTP/1.1\r\nHost: a\r\n"
                           "Connection: close\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"
                           "1\r\n2\r\n0\r\n\r\n");
    auto const first = responses.find("got 1");
    auto const second = responses.find("got 2");
    CHECK(first != std::string::npos);
    CHECK(second != std::string::npos);
    CHECK(first < second);
    CHECK(f.handled_requests_ == 2);
    CHECK(responses.find("Daisytrail-Outcome: ran") != std::string::npos);
}

TEST_CASE("a large response is delivered completely")
{
    boost::asio::io_context io;
    service_fixture f(io);
    auto const response = f.send_and_receive(
        "GET /big HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(response.size() > 300'000);
    CHECK(response.substr(response.find("\r\n\r\n") + 4) ==
          std::string(300'000, 'x'));
}

TEST_CASE("a body above the limit is refused without running the request")
{
    boost::asio::io_context io;
    service_fixture f(io);
    auto const response =
        f.send_and_receive("POST /orders HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: 1000001\r\n\r\n");
    CHECK(response.rfind("HTTP/1.1 413", 0) == 0);
    CHECK(response.find("Daisytrail-Outcome: not-run") != std::string::npos);
    CHECK(f.handled_requests_ == 0);
}

TEST_CASE("a header above the limit is refused")
{
    boost::asio::io_context io;
    service_fixture f(io);
    auto const response = f.send_and_receive(
        "GET /big HTTP/1.1\r\nA: " + std::string(2'000, 'a') + "\r\n\r\n");
    CHECK(response.rfind("HTTP/1.1 431", 0) == 0);
}

TEST_CASE("bytes that aren't HTTP are refused")
{
    boost::asio::io_context io;
    service_fixture f(io);
    CHECK(f.send_and_receive("\x16\x03\x01 hello\r\n\r\n")
              .rfind("HTTP/1.1 400", 0) == 0);
}

TEST_CASE("a body that stops arriving is refused after the timeout")
{
    boost::asio::io_context io;
    service_fixture f(io);
    auto const response =
        f.send_and_receive("POST /orders HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: 10\r\n\r\n123");
    CHECK(response.rfind("HTTP/1.1 408", 0) == 0);
    CHECK(f.handled_requests_ == 0);
}

TEST_CASE("without a backend server the outcome is not run, retry later")
{
    boost::asio::io_context io;
    service_fixture f(io);
    f.service_->update(make_service(), {{}, false, 0, 0});
    auto const response = f.send_and_receive(
        "POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1"
        "GET /big HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(response.rfind("HTTP/1.1 503", 0) == 0);
    CHECK(response.find("Retry-After: 1") != std::string::npos);
    CHECK(response.find("no_backend") != std::string::npos);
    // The second request on the flow gets its own response: the body of the
    // refused request was skipped.
    CHECK(response.find("HTTP/1.1 503", 1) != std::string::npos);
}

TEST_CASE("an unreachable backend server makes the outcome not run")
{
    boost::asio::io_context io;
    service_fixture f(io);
    f.service_->update(make_service(),
                       {{0x7F000001, free_port()}, true, 4, 100});
    auto const response =
        f.send_and_receive("POST /orders HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: 1\r\n\r\n1",
                           "\"reason\":");
    CHECK(response.find("Daisytrail-Outcome: not-run") != std::string::npos);
    CHECK(response.find("no_backend") != std::string::npos);
}

TEST_CASE("a request that the backend server sheds has the outcome not run")
{
    boost::asio::io_context io;
    service_fixture f(io);
    auto const response = f.send_and_receive("GET /shed HTTP/1.1\r\nHost: a\r\n"
                                             "Connection: close\r\n\r\n");
    CHECK(response.rfind("HTTP/1.1 503", 0) == 0);
    CHECK(response.find("Retry-After: 2") != std::string::npos);
    CHECK(response.find("refused_by_backend") != std::string::npos);
    // The first attempt and at most one retry, by the retry budget.
    CHECK(f.handled_requests_ <= 2);
}

TEST_CASE("a connection lost after the start makes the outcome unknown")
{
    boost::asio::io_context io;
    service_fixture f(io);
    closing_server closing(io, free_port());
    f.service_->update(make_service(), {closing.address(), true, 4, 100});
    auto const response =
        f.send_and_receive(make_order("1", "Connection: close\r\n"));
    CHECK(response.rfind("HTTP/1.1 502", 0) == 0);
    CHECK(response.find("Daisytrail-Outcome: unknown") != std::string::npos);
    CHECK(closing.requests_ == 1);
}

TEST_CASE("a repeatable request is retried after a lost connection")
{
    boost::asio::io_context io;
    service_fixture f(io);
    closing_server closing(io, free_port());
    auto service = make_service();
    service.classes_.push_back({"read", {"GET"}, "/", true});
    f.service_->update(service, {closing.address(), true, 4, 100});
    auto const response = f.send_and_receive(
        "GET /big HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(response.find("Daisytrail-Outcome: unknown") != std::string::npos);
    CHECK(closing.requests_ == 2);
}

TEST_CASE("a request with an unreachable deadline is refused immediately")
{
    boost::asio::io_context io;
    service_fixture f(io);
    auto const response = f.send_and_receive(
        make_order("1", "Daisytrail-Deadline-Ms: 1\r\nConnection: close\r\n"));
    CHECK(response.find("deadline_unreachable") != std::string::npos);
    CHECK(f.handled_requests_ == 0);
}

TEST_CASE("a repeated key gets the stored response without a second run")
{
    boost::asio::io_context io;
    service_fixture f(io);
    f.service_->set_targets({}, make_target(1, 0));
    auto const first =
        f.send_and_receive(make_order("1", "Idempotency-Key: k\r\n"), "got 1");
    auto const again =
        f.send_and_receive(make_order("1", "Idempotency-Key: k\r\n"), "got 1");
    CHECK(first.find("got 1") != std::string::npos);
    CHECK(again.find("got 1") != std::string::npos);
    CHECK(f.handled_requests_ == 1);
    auto const other =
        f.send_and_receive(make_order("2", "Idempotency-Key: k\r\n"), "retry");
    CHECK(other.rfind("HTTP/1.1 422", 0) == 0);
    CHECK(f.handled_requests_ == 1);
}

TEST_CASE("two concurrent requests with the same key run once")
{
    boost::asio::io_context io;
    service_fixture f(io);
    f.service_->set_targets({}, make_target(1, 0));
    auto const first = f.open();
    auto const second = f.open();
    f.send(*first, make_order("1", "Idempotency-Key: k\r\n"));
    f.send(*second, make_order("1", "Idempotency-Key: k\r\n"));
    f.run_until(
        [&]
        {
            return first->received_.find("got 1") != std::string::npos &&
                   second->received_.find("got 1") != std::string::npos;
        });
    CHECK(second->received_.find("got 1") != std::string::npos);
    CHECK(f.handled_requests_ == 1);
}

TEST_CASE("a request with a key of an ended process doesn't run")
{
    boost::asio::io_context io;
    service_fixture f(io);
    f.service_->set_targets({}, make_target(1, 0));
    dedup_table other_process(2, 77, 5);
    auto const key = other_process.issue(std::chrono::steady_clock::now());
    auto const response = f.send_and_receive(
        make_order("1", "Idempotency-Key: " + key + "\r\n"), "retry");
    CHECK(response.rfind("HTTP/1.1 502", 0) == 0);
    CHECK(response.find("key_owner_gone") != std::string::npos);
    CHECK(f.handled_requests_ == 0);
}

TEST_CASE("a request is cancelled when its caller disconnects")
{
    boost::asio::io_context io;
    service_fixture f(io);
    silent_server silent(io, free_port());
    f.service_->update(make_service(), {silent.address(), true, 4, 100});
    auto const flow = f.open();
    f.send(*flow, make_order("1"));
    f.run_until([&] { return silent.open_ == 1; });
    flow->handlers_.on_closed_(true);
    f.run_until([&] { return silent.closed_ == 1; });
    CHECK(silent.closed_ == 1);
}

TEST_CASE("a started upload keeps its key when its caller disconnects")
{
    boost::asio::io_context io;
    service_fixture f(io);
    f.service_->set_targets({}, make_target(1, 0));
    silent_server silent(io, free_port());
    f.service_->update(make_service(), {silent.address(), true, 4, 100});
    auto const upload = "PUT /waybills/1 HTTP/1.1\r\nHost: a\r\n"
                        "Idempotency-Key: k\r\nContent-Length: 100000\r\n\r\n" +
                        std::string(80'000, 'x');
    auto const flow = f.open();
    f.send(*flow, upload);
    f.run_until([&] { return silent.open_ == 1; });
    flow->handlers_.on_closed_(true);
    f.run_until([&] { return silent.closed_ == 1; });
    auto const again = f.open();
    f.send(*again, upload + std::string(20'000, 'x'));
    f.run_until([&] { return !again->received_.empty(); });
    CHECK(again->received_.rfind("HTTP/1.1 502", 0) == 0);
}

TEST_CASE("a request with a key completes after its caller disconnects")
{
    boost::asio::io_context io;
    service_fixture f(io);
    f.service_->set_targets({}, make_target(1, 0));
    auto const flow = f.open();
    f.send(*flow, make_order("1", "Idempotency-Key: k\r\n"));
    flow->handlers_.on_closed_(true);
    auto const again =
        f.send_and_receive(make_order("1", "Idempotency-Key: k\r\n"), "got 1");
    CHECK(again.find("got 1") != std::string::npos);
    CHECK(f.handled_requests_ == 1);
}

TEST_CASE("a recovered backend server gets requests again")
{
    boost::asio::io_context io;
    service_fixture f(io);
    f.service_->set_targets({}, make_target(1, 0));
    auto const first = f.open();
    f.service_->update(make_service(),
                       {{0x7F000001, free_port()}, true, 4, 100});
    f.send(*first, make_order("1", "Connection: close\r\n"));
    f.run_until([&] { return first->has_ended_; });
    CHECK(first->received_.find("not-run") != std::string::npos);
    f.service_->update(make_service(), {f.backend_, true, 4, 100});
    CHECK(f.send_and_receive(make_order("2"), "got 2").find("got 2") !=
          std::string::npos);
}

// A backend server ends in the middle of its answer. The caller must not take
// the part for the whole answer.
TEST_CASE("a response that breaks off resets the caller's flow")
{
    boost::asio::io_context io;
    service_fixture f(io);
    closing_server closing(io, free_port());
    f.service_->update(make_service(), {closing.address(), true, 4, 100});
    SUBCASE("with a length")
    {
        closing.answer_ = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart";
    }
    SUBCASE("in chunks")
    {
        closing.answer_ = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                          "\r\n4\r\npart\r\n";
    }
    auto const flow = f.open();
    f.send(*flow, make_order("1"));
    f.run_until([&flow] { return flow->has_ended_; });
    CHECK(flow->was_reset_);
    CHECK(flow->received_.find("\r\n0\r\n\r\n") == std::string::npos);
}

// A backend server sends its answer twice. The second copy must not answer the
// next request on the caller's flow.
TEST_CASE("a second copy of a response reaches no caller")
{
    boost::asio::io_context io;
    service_fixture f(io);
    closing_server closing(io, free_port());
    f.service_->update(make_service(), {closing.address(), true, 4, 100});
    std::string const answer =
        "HTTP/1.1 201 Created\r\nContent-Length: 3\r\n\r\n";
    closing.answer_ = answer + "one" + answer + "one";
    auto const flow = f.open();
    f.send(*flow, make_order("1"));
    f.run_until([&flow]
                { return flow->received_.find("one") != std::string::npos; });
    closing.answer_ = answer + "two";
    f.send(*flow, make_order("2"));
    f.run_until([&flow]
                { return flow->received_.find("two") != std::string::npos; });
    CHECK(closing.requests_ == 2);
    auto const first = flow->received_.find("one");
    CHECK(flow->received_.find("one", first + 1) == std::string::npos);
    CHECK(flow->received_.find("two") != std::string::npos);
}
