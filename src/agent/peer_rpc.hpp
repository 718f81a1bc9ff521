// peer_link on Cap'n Proto RPC. KJ's event loop runs on its own thread;
// peer_rpc_bridge passes tasks between it and the Asio loop.
#pragma once

#include "agent/peer_link.hpp"
#include "net/metrics.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace daisytrail
{

class peer_rpc : public peer_link
{
public:
    // Listens on `address`. If that fails, logs an error and accepts no calls.
    peer_rpc(boost::asio::io_context& io, endpoint const& address,
             peer_events& events, metrics& registry);
    ~peer_rpc() override;

    void reserve(endpoint const& peer, peer_offer_request const& offer,
                 std::function<void(offer_reply)> reply) override;
    void release(endpoint const& peer, target_id origin,
                 request_id request) override;
    void witness(
        endpoint const& peer, target_id origin, std::string const& key,
        std::uint64_t fingerprint,
        std::function<void(std::optional<owner_record_result>)> reply) override;
    std::shared_ptr<exchange> start(endpoint const& peer,
                                    std::uint64_t reservation,
                                    peer_request request,
                                    exchange_events& events) override;

private:
    std::shared_ptr<struct peer_rpc_bridge> bridge_;
    std::unique_ptr<class peer_rpc_thread> thread_;
};

} // namespace daisytrail
