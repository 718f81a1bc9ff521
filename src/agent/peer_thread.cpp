// Connections to other agents and the calls made over them.
#include "agent/peer_thread.hpp"

#include "agent/peer_servers.hpp"
#include "net/log.hpp"

#include <utility>

namespace daisytrail
{

namespace
{

constexpr std::chrono::milliseconds immediate_timeout{250};
// A peer that doesn't answer gets a new connection at most this often.
constexpr std::chrono::milliseconds least_connection_time{500};

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
    auto wake = io.lowLevelProvider->wrapInputFd(
        bridge_->wake_read_, kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP |
                                 kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                                 kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
    capnp::TwoPartyServer server(make_agent_server(*this));
    tasks.add(watch_wake(*wake));
    auto const text = ipv4_to_string(address_.address_);
    tasks.add(
        io.provider->getNetwork()
            .parseAddress(text, address_.port_)
            .then(
                [&server](kj::Own<kj::NetworkAddress> address)
                {
                    auto listener = address->listen();
                    auto& open = *listener;
                    return server.listen(open).attach(kj::mv(listener));
                })
            .catch_(
                [this](kj::Exception&& failure)
                {
                    std::string const why(failure.getDescription().cStr());
                    bridge_->to_asio(
                        [why] {
                            log_event(log_level::error, "peer_listen_failed",
                                      {{"text", why}});
                        });
                }));
    stop.promise.wait(io.waitScope);
    calls_.clear();
    peers_.clear();
    reserving_.clear();
    noting_.clear();
    served_.clear();
}

kj::Promise<void> peer_rpc_thread::watch_wake(kj::AsyncInputStream& wake)
{
    return wake.tryRead(wake_buffer_.data(), 1, wake_buffer_.size())
        .then(
            [this, &wake](std::size_t got) -> kj::Promise<void>
            {
                for (auto const& task : bridge_->take())
                {
                    task();
                }
                if (got == 0)
                {
                    return kj::READY_NOW;
                }
                return watch_wake(wake);
            });
}

kj::Promise<peer_rpc_thread::shared_connection>
peer_rpc_thread::connect(endpoint const& peer)
{
    auto found = peers_.find(peer);
    if (found == peers_.end())
    {
        auto const number = next_connection_++;
        auto const text = ipv4_to_string(peer.address_);
        auto ready =
            io_->provider->getNetwork()
                .parseAddress(text, peer.port_)
                .then([](kj::Own<kj::NetworkAddress> address)
                      { return address->connect().attach(kj::mv(address)); })
                .then(
                    [this, peer, number](kj::Own<kj::AsyncIoStream> stream)
                    {
                        auto made = std::make_shared<connection>();
                        made->stream_ = kj::mv(stream);
                        made->client_ =
                            kj::heap<capnp::TwoPartyClient>(*made->stream_);
                        tasks_->add(made->client_->onDisconnect().then(
                            [this, peer, number]
                            { disconnect(peer, number); }));
                        return made;
                    },
                    [this, peer,
                     number](kj::Exception&& failure) -> shared_connection
                    {
                        disconnect(peer, number);
                        kj::throwFatalException(kj::mv(failure));
                    })
                .fork();
        found = peers_
                    .emplace(peer, known_peer{number,
                                              std::chrono::steady_clock::now(),
                                              kj::mv(ready)})
                    .first;
    }
    return found->second.ready_.addBranch();
}

void peer_rpc_thread::replace_connection(endpoint const& peer)
{
    auto const found = peers_.find(peer);
    bool const is_old = found != peers_.end() &&
                        std::chrono::steady_clock::now() >=
                            found->second.since_ + least_connection_time;
    if (is_old)
    {
        disconnect(peer, found->second.number_);
    }
}

// Runs later, since a promise of the connection may be on the call stack.
void peer_rpc_thread::disconnect(endpoint const& peer, std::uint64_t number)
{
    bridge_->to_kj(
        [this, peer, number]
        {
            auto const found = peers_.find(peer);
            if (found != peers_.end() && found->second.number_ == number)
            {
                peers_.erase(found);
            }
        });
}

void peer_rpc_thread::reserve(endpoint const& peer,
                              peer_offer_request const& offer,
                              std::function<void(offer_reply)> const& reply)
{
    auto const timeout =
        offer.immediate_ ? duration(immediate_timeout) : offer.deadline_;
    auto call = connect(peer).then(
        [offer](shared_connection open)
        {
            auto out = open->agent().reserveRequest();
            write_offer(out.initOffer(), offer);
            return out.send()
                .attach(kj::mv(open))
                .then(
                    [](capnp::Response<wire::Agent::ReserveResults>&& in)
                    {
                        return offer_reply{
                            in.getGranted() ? offer_result::granted
                                            : offer_result::refused,
                            in.getReservation(), read_load(in.getLoad())};
                    });
        });
    auto late = io_->provider->getTimer()
                    .afterDelay(to_kj_time(timeout))
                    .then(
                        [this, peer]
                        {
                            replace_connection(peer);
                            return offer_reply{};
                        });
    tasks_->add(
        call.exclusiveJoin(kj::mv(late))
            .catch_([](kj::Exception&&) { return offer_reply{}; })
            .then([bridge = bridge_, reply](offer_reply const& result)
                  { bridge->to_asio([reply, result] { reply(result); }); }));
}

void peer_rpc_thread::release(endpoint const& peer, target_id home,
                              request_id request)
{
    tasks_->add(connect(peer).then(
        [home, request](shared_connection open)
        {
            auto out = open->agent().releaseRequest();
            out.setHome(home);
            out.setRequest(request);
            return out.send().ignoreResult().attach(kj::mv(open));
        }));
}

void peer_rpc_thread::witness(
    endpoint const& peer, target_id home, std::string const& key,
    std::uint64_t fingerprint,
    std::function<void(std::optional<owner_record_result>)> const& reply)
{
    using answer = std::optional<owner_record_result>;
    auto call = connect(peer).then(
        [home, key, fingerprint](shared_connection open)
        {
            auto out = open->agent().witnessRequest();
            out.setHome(home);
            out.setKey(key.c_str());
            out.setFingerprint(fingerprint);
            return out.send()
                .attach(kj::mv(open))
                .then(
                    [](capnp::Response<wire::Agent::WitnessResults>&& in) {
                        return answer(
                            static_cast<owner_record_result>(in.getAnswer()));
                    });
        });
    auto late = io_->provider->getTimer()
                    .afterDelay(to_kj_time(immediate_timeout))
                    .then(
                        [this, peer]
                        {
                            replace_connection(peer);
                            return answer();
                        });
    tasks_->add(
        call.exclusiveJoin(kj::mv(late))
            .catch_([](kj::Exception&&) { return answer(); })
            .then([bridge = bridge_, reply](answer const& result)
                  { bridge->to_asio([reply, result] { reply(result); }); }));
}

void peer_rpc_thread::start(endpoint const& peer, std::uint64_t reservation,
                            peer_request const& request, token call,
                            std::weak_ptr<remote_exchange> const& target)
{
    auto const sent = std::make_shared<bool>(false);
    auto const pass = [bridge = bridge_, target](auto event)
    {
        bridge->to_asio(
            [target, event]
            {
                if (auto const alive = target.lock())
                {
                    event(*alive);
                }
            });
    };
    auto running = connect(peer).then(
        [this, reservation, request, call, target, sent](shared_connection open)
            -> kj::Promise<capnp::Response<wire::Agent::StartResults>>
        {
            auto out = open->agent().startRequest();
            out.setReservation(reservation);
            write_request(out.initRequest(), request);
            out.setSink(make_sink_server(*this, call, target));
            *sent = true;
            return out.send().attach(kj::mv(open));
        });
    auto ended = running.then(
        [this, pass, call](capnp::Response<wire::Agent::StartResults>&& in)
        {
            auto const outcome = static_cast<request_outcome>(in.getOutcome());
            pass([request = in.getRequest(), sequence = in.getSequence(),
                  outcome, wait = duration(in.getRetryAfterNs())](
                     remote_exchange& exchange)
                 { exchange.result(request, sequence, outcome, wait); });
            bridge_->to_kj([this, call] { abandon(call); });
        },
        [this, pass, call, sent](kj::Exception&&)
        {
            pass([was_sent = *sent](remote_exchange& exchange)
                 { exchange.lost(was_sent); });
            bridge_->to_kj([this, call] { abandon(call); });
        });
    calls_.emplace(call, ended.eagerlyEvaluate(nullptr));
}

void peer_rpc_thread::acknowledge(token call)
{
    auto const found = taking_.find(call);
    if (found != taking_.end() && !found->second.empty())
    {
        found->second.front()->fulfill();
        found->second.pop_front();
    }
}

} // namespace daisytrail
