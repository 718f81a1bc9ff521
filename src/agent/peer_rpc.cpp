// The Asio side of the RPC between agents: passes calls to the KJ thread.
#include "agent/peer_rpc.hpp"

#include "agent/peer_thread.hpp"

#include <utility>

namespace daisytrail
{

peer_rpc::peer_rpc(boost::asio::io_context& io, endpoint const& address,
                   peer_events& events, metrics& registry)
    : bridge_(std::make_shared<peer_rpc_bridge>(io, events, registry)),
      thread_(std::make_unique<peer_rpc_thread>(bridge_, address))
{
}

peer_rpc::~peer_rpc()
{
    bridge_->events_ = nullptr;
    thread_.reset();
    bridge_->take_tasks();
}

void peer_rpc::reserve(endpoint const& peer, peer_offer_request const& offer,
                       std::function<void(offer_reply)> reply)
{
    bridge_->post_to_kj(
        [thread = thread_.get(), peer, offer, reply = std::move(reply)]
        { thread->reserve(peer, offer, reply); });
}

void peer_rpc::release(endpoint const& peer, target_id origin,
                       request_id request)
{
    bridge_->post_to_kj([thread = thread_.get(), peer, origin, request]
                        { thread->release(peer, origin, request); });
}

void peer_rpc::witness(
    endpoint const& peer, target_id origin, std::string const& key,
    std::uint64_t fingerprint,
    std::function<void(std::optional<owner_record_result>)> reply)
{
    bridge_->post_to_kj(
        [thread = thread_.get(), peer, origin, key, fingerprint,
         reply = std::move(reply)]
        { thread->witness(peer, origin, key, fingerprint, reply); });
}

std::shared_ptr<exchange> peer_rpc::start(endpoint const& peer,
                                          std::uint64_t reservation,
                                          peer_request request,
                                          exchange_events& events)
{
    static std::uint64_t next_call = 0;
    auto const call = ++next_call;
    auto started = std::make_shared<remote_exchange>(bridge_, call,
                                                     request.request_, events);
    auto* const thread = thread_.get();
    started->acknowledge_ = [bridge = bridge_, thread, call]
    {
        bridge->post_to_kj([thread, call] { thread->acknowledge(call); });
    };
    started->abandon_ = [bridge = bridge_, thread, call]
    {
        bridge->post_to_kj([thread, call] { thread->abandon(call); });
    };
    bridge_->post_to_kj(
        [thread, peer, reservation, request = std::move(request), call,
         weak = std::weak_ptr(started)]
        { thread->start(peer, reservation, request, call, weak); });
    return started;
}

} // namespace daisytrail
