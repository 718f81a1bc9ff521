// Event loop, connections to other agents and calls over these connections.
#include "agent/peer_thread.hpp"

#include "agent/peer_servers.hpp"
#include "net/log.hpp"

#include <utility>

namespace daisytrail
{

namespace
{

constexpr std::chrono::milliseconds quick_reply_timeout{250};
// A connection to a peer that doesn't reply is replaced when it is at least
// this old.
constexpr std::chrono::milliseconds min_connection_age{500};

kj::Duration to_kj_time(duration value)
{
    return std::max<std::int64_t>(value.count(), 0) * kj::NANOSECONDS;
}

} // namespace

void peer_rpc_thread::run()
{
    auto io = kj::setupAsyncIo();
    io_ = &io;
    kj::TaskSet tasks(*this);
    tasks_ = &tasks;
    auto stop = kj::newPromiseAndFulfiller<void>();
    stop_ = kj::mv(stop.fulfiller);
    auto wake_stream = io.lowLevelProvider->wrapInputFd(
        bridge_->wake_read_fd_,
        kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP |
            kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
            kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
    capnp::TwoPartyServer server(make_agent_server(*this));
    tasks.add(run_posted_tasks(*wake_stream));
    auto const address_text = ipv4_to_string(address_.address_);
    tasks.add(io.provider->getNetwork()
                  .parseAddress(address_text, address_.port_)
                  .then(
                      [&server](kj::Own<kj::NetworkAddress> address)
                      {
                          auto listener = address->listen();
                          auto& active = *listener;
                          return server.listen(active).attach(kj::mv(listener));
                      })
                  .catch_(
                      [this](kj::Exception&& failure)
                      {
                          std::string const description(
                              failure.getDescription().cStr());
                          bridge_->post_to_asio(
                              [description]
                              {
                                  log_event(log_level::error,
                                            "peer_listen_failed",
                                            {{"text", description}});
                              });
                      }));
    stop.promise.wait(io.waitScope);
    outgoing_calls_.clear();
    connections_.clear();
    pending_reservations_.clear();
    pending_witness_calls_.clear();
    served_calls_.clear();
}

kj::Promise<void>
peer_rpc_thread::run_posted_tasks(kj::AsyncInputStream& wake_stream)
{
    return wake_stream.tryRead(wake_buffer_.data(), 1, wake_buffer_.size())
        .then(
            [this, &wake_stream](std::size_t bytes_read) -> kj::Promise<void>
            {
                for (auto const& task : bridge_->take_tasks())
                {
                    task();
                }
                if (bytes_read == 0)
                {
                    return kj::READY_NOW;
                }
                return run_posted_tasks(wake_stream);
            });
}

kj::Promise<peer_rpc_thread::shared_connection>
peer_rpc_thread::connect(endpoint const& peer)
{
    auto found = connections_.find(peer);
    if (found == connections_.end())
    {
        auto const generation = next_generation_++;
        auto const address_text = ipv4_to_string(peer.address_);
        auto ready =
            io_->provider->getNetwork()
                .parseAddress(address_text, peer.port_)
                .then([](kj::Own<kj::NetworkAddress> address)
                      { return address->connect().attach(kj::mv(address)); })
                .then(
                    [this, peer, generation](kj::Own<kj::AsyncIoStream> stream)
                    {
                        auto created = std::make_shared<connection>();
                        created->stream_ = kj::mv(stream);
                        created->client_ =
                            kj::heap<capnp::TwoPartyClient>(*created->stream_);
                        tasks_->add(created->client_->onDisconnect().then(
                            [this, peer, generation]
                            { remove_connection(peer, generation); }));
                        return created;
                    },
                    [this, peer,
                     generation](kj::Exception&& failure) -> shared_connection
                    {
                        remove_connection(peer, generation);
                        kj::throwFatalException(kj::mv(failure));
                    })
                .fork();
        found =
            connections_
                .emplace(peer, peer_connection{generation,
                                               std::chrono::steady_clock::now(),
                                               kj::mv(ready)})
                .first;
    }
    return found->second.ready_.addBranch();
}

void peer_rpc_thread::drop_old_connection(endpoint const& peer)
{
    auto const found = connections_.find(peer);
    bool const is_replaceable =
        found != connections_.end() &&
        std::chrono::steady_clock::now() >=
            found->second.opened_at_ + min_connection_age;
    if (is_replaceable)
    {
        remove_connection(peer, found->second.generation_);
    }
}

// Deferred, since a promise of the connection may be on the call stack.
void peer_rpc_thread::remove_connection(endpoint const& peer,
                                        std::uint64_t generation)
{
    bridge_->post_to_kj(
        [this, peer, generation]
        {
            auto const found = connections_.find(peer);
            if (found != connections_.end() &&
                found->second.generation_ == generation)
            {
                connections_.erase(found);
            }
        });
}

void peer_rpc_thread::reserve(endpoint const& peer,
                              peer_offer_request const& offer,
                              std::function<void(offer_reply)> const& reply)
{
    auto const timeout =
        offer.immediate_ ? duration(quick_reply_timeout) : offer.deadline_;
    auto call = connect(peer).then(
        [offer](shared_connection active)
        {
            auto out = active->agent().reserveRequest();
            write_offer(out.initOffer(), offer);
            return out.send()
                .attach(kj::mv(active))
                .then(
                    [](capnp::Response<wire::Agent::ReserveResults>&& in)
                    {
                        return offer_reply{
                            in.getGranted() ? offer_result::granted
                                            : offer_result::refused,
                            in.getReservation(), read_load(in.getLoad())};
                    });
        });
    auto timed_out = io_->provider->getTimer()
                         .afterDelay(to_kj_time(timeout))
                         .then(
                             [this, peer]
                             {
                                 drop_old_connection(peer);
                                 return offer_reply{};
                             });
    tasks_->add(
        call.exclusiveJoin(kj::mv(timed_out))
            .catch_([](kj::Exception&&) { return offer_reply{}; })
            .then(
                [bridge = bridge_, reply](offer_reply const& result)
                { bridge->post_to_asio([reply, result] { reply(result); }); }));
}

void peer_rpc_thread::release(endpoint const& peer, target_id origin,
                              request_id request)
{
    tasks_->add(connect(peer).then(
        [origin, request](shared_connection active)
        {
            auto out = active->agent().releaseRequest();
            out.setHome(origin);
            out.setRequest(request);
            return out.send().ignoreResult().attach(kj::mv(active));
        }));
}

void peer_rpc_thread::witness(
    endpoint const& peer, target_id origin, std::string const& key,
    std::uint64_t fingerprint,
    std::function<void(std::optional<owner_record_result>)> const& reply)
{
    using witness_reply = std::optional<owner_record_result>;
    auto call = connect(peer).then(
        [origin, key, fingerprint](shared_connection active)
        {
            auto out = active->agent().witnessRequest();
            out.setHome(origin);
            out.setKey(key.c_str());
            out.setFingerprint(fingerprint);
            return out.send()
                .attach(kj::mv(active))
                .then(
                    [](capnp::Response<wire::Agent::WitnessResults>&& in) {
                        return witness_reply(
                            static_cast<owner_record_result>(in.getAnswer()));
                    });
        });
    auto timed_out = io_->provider->getTimer()
                         .afterDelay(to_kj_time(quick_reply_timeout))
                         .then(
                             [this, peer]
                             {
                                 drop_old_connection(peer);
                                 return witness_reply();
                             });
    tasks_->add(
        call.exclusiveJoin(kj::mv(timed_out))
            .catch_([](kj::Exception&&) { return witness_reply(); })
            .then(
                [bridge = bridge_, reply](witness_reply const& result)
                { bridge->post_to_asio([reply, result] { reply(result); }); }));
}

void peer_rpc_thread::start(endpoint const& peer, std::uint64_t reservation,
                            peer_request const& request, token call,
                            std::weak_ptr<remote_exchange> const& target)
{
    auto const sent = std::make_shared<bool>(false);
    auto const post_event = [bridge = bridge_, target](auto event)
    {
        bridge->post_to_asio(
            [target, event]
            {
                if (auto const alive = target.lock())
                {
                    event(*alive);
                }
            });
    };
    auto running = connect(peer).then(
        [this, reservation, request, call, target,
         sent](shared_connection active)
            -> kj::Promise<capnp::Response<wire::Agent::StartResults>>
        {
            auto out = active->agent().startRequest();
            out.setReservation(reservation);
            write_request(out.initRequest(), request);
            out.setSink(make_sink_server(*this, call, target));
            *sent = true;
            return out.send().attach(kj::mv(active));
        });
    auto finished = running.then(
        [this, post_event,
         call](capnp::Response<wire::Agent::StartResults>&& in)
        {
            auto const outcome = static_cast<request_outcome>(in.getOutcome());
            post_event(
                [request = in.getRequest(), sequence = in.getSequence(),
                 outcome, wait = duration(in.getRetryAfterNs())](
                    remote_exchange& exchange)
                { exchange.receive_result(request, sequence, outcome, wait); });
            bridge_->post_to_kj([this, call] { abandon(call); });
        },
        [this, post_event, call, sent](kj::Exception&&)
        {
            post_event([was_sent = *sent](remote_exchange& exchange)
                       { exchange.on_connection_lost(was_sent); });
            bridge_->post_to_kj([this, call] { abandon(call); });
        });
    outgoing_calls_.emplace(call, finished.eagerlyEvaluate(nullptr));
}

void peer_rpc_thread::acknowledge(token call)
{
    auto const found = unacknowledged_pieces_.find(call);
    if (found != unacknowledged_pieces_.end() && !found->second.empty())
    {
        found->second.front()->fulfill();
        found->second.pop_front();
    }
}

} // namespace daisytrail
