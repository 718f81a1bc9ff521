// Tests of response messages from another agent that are late, duplicated, for
// another request or missing.
#include "agent/peer_remote.hpp"

#include <doctest/doctest.h>

#include <string>
#include <unistd.h>
#include <vector>

using namespace daisytrail;

namespace
{

constexpr request_id own_request = 7;
constexpr request_id other_request = 8;

// Handles no calls: the tests only receive responses.
class null_peer_events : public peer_events
{
public:
    void on_reserve(peer_offer_request const& /*offer*/,
                    std::function<void(offer_reply)> /*reply*/) override
    {
    }
    void on_release(target_id /*home*/, request_id /*request*/) override {}
    owner_record_result on_witness(target_id /*home*/,
                                   std::string const& /*key*/,
                                   std::uint64_t /*fingerprint*/) override
    {
        return {};
    }
    void on_start(std::uint64_t /*reservation*/, peer_request /*request*/,
                  std::shared_ptr<peer_response> /*response*/) override
    {
    }
};

// Records the events of an exchange.
class recording_events : public exchange_events
{
public:
    void on_head(response_head head) override
    {
        recorded_.push_back("head " + std::to_string(head.status_));
    }
    bool on_body(std::string_view bytes) override
    {
        recorded_.push_back("body " + std::string(bytes));
        return true;
    }
    void on_end() override
    {
        recorded_.emplace_back("end");
    }
    void on_failure(exchange_failure failure) override
    {
        recorded_.emplace_back(failure == exchange_failure::outcome_unknown
                                   ? "unknown"
                                   : "not run");
    }
    void on_refusal(request_outcome /*outcome*/,
                    duration /*retry_after*/) override
    {
        recorded_.emplace_back("refused");
    }
    void on_send_buffer_drained() override {}

    std::vector<std::string> recorded_;
};

using events = std::vector<std::string>;

struct exchange_fixture
{
    exchange_fixture()
    {
        exchange_.acknowledge_ = [] {
        };
        exchange_.abandon_ = [] {
        };
    }

    ~exchange_fixture()
    {
        ::close(bridge_->wake_read_fd_); // no KJ thread owns it in this test
    }

    std::uint64_t dropped(std::string const& kind)
    {
        return metrics_.counter(
            "daisytrail_peer_dropped_answers_total{kind=\"" + kind + "\"}");
    }

    void result(std::uint64_t sequence)
    {
        exchange_.receive_result(own_request, sequence,
                                 request_outcome::answered, {});
    }

    boost::asio::io_context io_;
    null_peer_events peer_events_;
    metrics metrics_;
    std::shared_ptr<peer_rpc_bridge> bridge_ =
        std::make_shared<peer_rpc_bridge>(io_, peer_events_, metrics_);
    recording_events events_;
    remote_exchange exchange_{bridge_, 1, own_request, events_};
};

response_head ok_head()
{
    response_head head;
    head.status_ = 200;
    return head;
}

} // namespace

TEST_CASE("a response in order is passed on completely")
{
    exchange_fixture f;
    f.exchange_.receive_head(own_request, 0, ok_head());
    f.exchange_.receive_body(own_request, 1, "a");
    f.result(2);
    CHECK(f.events_.recorded_ == events{"head 200", "body a", "end"});
}

TEST_CASE("a duplicate part of a body is dropped and counted")
{
    exchange_fixture f;
    f.exchange_.receive_head(own_request, 0, ok_head());
    f.exchange_.receive_body(own_request, 1, "a");
    f.exchange_.receive_body(own_request, 1, "a");
    f.result(2);
    CHECK(f.events_.recorded_ == events{"head 200", "body a", "end"});
    CHECK(f.dropped("duplicate") == 1);
}

TEST_CASE("a response to another request is dropped and counted")
{
    exchange_fixture f;
    f.exchange_.receive_head(other_request, 0, ok_head());
    f.exchange_.receive_body(other_request, 1, "x");
    CHECK(f.events_.recorded_.empty());
    CHECK(f.dropped("crossed") == 2);
}

TEST_CASE("a result of another request doesn't end the exchange")
{
    exchange_fixture f;
    f.exchange_.receive_result(other_request, 0, request_outcome::answered, {});
    f.exchange_.receive_head(own_request, 0, ok_head());
    f.result(1);
    CHECK(f.events_.recorded_ == events{"head 200", "end"});
    CHECK(f.dropped("crossed") == 1);
}

TEST_CASE("messages after the result are dropped and counted")
{
    exchange_fixture f;
    f.exchange_.receive_head(own_request, 0, ok_head());
    f.result(1);
    f.exchange_.receive_body(own_request, 2, "late");
    f.result(3);
    CHECK(f.events_.recorded_ == events{"head 200", "end"});
    CHECK(f.dropped("late") == 2);
}

TEST_CASE("messages after a cancel are dropped and counted")
{
    exchange_fixture f;
    f.exchange_.cancel();
    f.exchange_.receive_head(own_request, 0, ok_head());
    CHECK(f.events_.recorded_.empty());
    CHECK(f.dropped("late") == 1);
}

TEST_CASE("a missing part of a body makes the outcome unknown")
{
    exchange_fixture f;
    f.exchange_.receive_head(own_request, 0, ok_head());
    f.exchange_.receive_body(own_request, 2, "b"); // 1 is missing
    f.result(3);
    CHECK(f.events_.recorded_ == events{"head 200", "unknown"});
}

TEST_CASE("a connection lost before the start was sent means not run")
{
    exchange_fixture f;
    f.exchange_.on_connection_lost(false);
    f.exchange_.on_connection_lost(true);
    CHECK(f.events_.recorded_ == events{"not run"});
}

TEST_CASE("a connection lost after the start was sent means outcome unknown")
{
    exchange_fixture f;
    f.exchange_.on_connection_lost(true);
    CHECK(f.events_.recorded_ == events{"unknown"});
}
