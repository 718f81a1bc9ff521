// The thread that runs KJ's event loop, with the state of all RPC calls.
#pragma once

#include "agent/peer_codec.hpp"
#include "agent/peer_remote.hpp"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <thread>

namespace daisytrail
{

// Starts the KJ thread and owns the state that is used on it.
class peer_rpc_thread : public kj::TaskSet::ErrorHandler
{
public:
    // Identifies a call. Outgoing and incoming calls are numbered separately.
    using token = std::uint64_t;

    peer_rpc_thread(std::shared_ptr<peer_rpc_bridge> bridge,
                    endpoint const& address)
        : bridge_(std::move(bridge)), address_(address),
          thread_([this] { run(); })
    {
    }

    ~peer_rpc_thread() noexcept
    {
        bridge_->post_to_kj([this] { stop_->fulfill(); });
        thread_.join();
    }

    peer_rpc_thread(peer_rpc_thread const&) = delete;
    peer_rpc_thread& operator=(peer_rpc_thread const&) = delete;

    // The other member functions run on the KJ thread.

    void reserve(endpoint const& peer, peer_offer_request const& offer,
                 std::function<void(offer_reply)> const& reply);
    void release(endpoint const& peer, target_id origin, request_id request);
    void witness(
        endpoint const& peer, target_id origin, std::string const& key,
        std::uint64_t fingerprint,
        std::function<void(std::optional<owner_record_result>)> const& reply);
    void start(endpoint const& peer, std::uint64_t reservation,
               peer_request const& request, token call,
               std::weak_ptr<remote_exchange> const& target);
    void abandon(token call)
    {
        outgoing_calls_.erase(call);
    }
    void acknowledge(token call);

    void taskFailed(kj::Exception&& /*failure*/) override {}

    struct connection
    {
        wire::Agent::Client agent()
        {
            return client_->bootstrap().castAs<wire::Agent>();
        }

        kj::Own<kj::AsyncIoStream> stream_;
        kj::Own<capnp::TwoPartyClient> client_;
    };

    // A request that runs here for another agent.
    struct served_call
    {
        wire::AnswerSink::Client sink_;
        kj::Own<kj::PromiseFulfiller<void>> done_;
        kj::Promise<void> sending_; // ends when all calls of sink_ ended
        request_id request_ = 0;
        std::uint64_t sequence_ = 0;
        request_outcome outcome_ = request_outcome::lost;
        duration retry_after_{};
    };

    std::shared_ptr<peer_rpc_bridge> bridge_;
    // Parts of response bodies that were passed to the Asio loop and aren't
    // acknowledged yet, in order.
    std::map<token, std::deque<kj::Own<kj::PromiseFulfiller<void>>>>
        unacknowledged_pieces_;
    std::map<token, served_call> served_calls_;
    std::map<token, kj::Own<kj::PromiseFulfiller<offer_reply>>>
        pending_reservations_;
    std::map<token, kj::Own<kj::PromiseFulfiller<owner_record_result>>>
        pending_witness_calls_;
    token next_token_ = 1;

private:
    using shared_connection = std::shared_ptr<connection>;

    void run();
    void serve();
    kj::Promise<void> run_posted_tasks(kj::AsyncInputStream& wake_stream);
    // Returns the connection to `peer`, opening it if there is none. Each
    // pending call shares its ownership, so that a connection which was
    // replaced stays open until its calls end.
    kj::Promise<shared_connection> connect(endpoint const& peer);
    void remove_connection(endpoint const& peer, std::uint64_t generation);

    // Makes new calls open a new connection after `peer` didn't reply in time:
    // the current connection may be dead without having been closed.
    void drop_old_connection(endpoint const& peer);

    struct peer_connection
    {
        std::uint64_t generation_ = 0; // unique among all connections
        time_point opened_at_;
        kj::ForkedPromise<shared_connection> ready_;
    };

    endpoint address_;
    kj::Own<kj::PromiseFulfiller<void>> stop_;
    kj::AsyncIoContext* io_ = nullptr;
    kj::TaskSet* tasks_ = nullptr;
    std::map<endpoint, peer_connection> connections_;
    std::map<token, kj::Promise<void>> outgoing_calls_;
    std::uint64_t next_generation_ = 1;
    std::array<kj::byte, 64> wake_buffer_{};
    std::thread thread_; // last member: it uses all the others
};

} // namespace daisytrail
