// The KJ thread: connections to other agents, calls to them and from them.
#include "agent/peer_rpc.hpp"

#include "agent/peer_codec.hpp"
#include "agent/peer_remote.hpp"
#include "net/log.hpp"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <map>
#include <thread>
#include <utility>

namespace daisytrail
{

namespace
{

constexpr std::size_t wake_bytes = 64;
constexpr std::chrono::milliseconds immediate_timeout{250};

using token = std::uint64_t;

kj::Duration to_kj_time(duration value)
{
    return std::max<std::int64_t>(value.count(), 0) * kj::NANOSECONDS;
}

} // namespace

// All state of the KJ thread.
class peer_rpc_thread : public kj::TaskSet::ErrorHandler
{
public:
    peer_rpc_thread(std::shared_ptr<peer_rpc_bridge> bridge,
                    endpoint const& address)
        : bridge_(std::move(bridge)), address_(address),
          thread_([this] { run(); })
    {
    }

    ~peer_rpc_thread() noexcept
    {
        bridge_->to_kj([this] { stop_->fulfill(); });
        thread_.join();
    }

    peer_rpc_thread(peer_rpc_thread const&) = delete;
    peer_rpc_thread& operator=(peer_rpc_thread const&) = delete;

    // The rest runs on the KJ thread.

    void reserve(endpoint const& peer, peer_offer_request const& offer,
                 std::function<void(offer_reply)> const& reply);
    void release(endpoint const& peer, target_id home, request_id request);
    void witness(endpoint const& peer, target_id home, std::string const& key,
                 std::uint64_t fingerprint,
                 std::function<void(std::optional<note_result>)> const& reply);
    void start(endpoint const& peer, std::uint64_t reservation,
               peer_request const& request, token call,
               std::weak_ptr<remote_exchange> const& target);
    void abandon(token call)
    {
        calls_.erase(call);
    }
    void acknowledge(token call);

    void taskFailed(kj::Exception&& /*failure*/) override {}

    struct connection
    {
        kj::Own<kj::AsyncIoStream> stream_;
        kj::Own<capnp::TwoPartyClient> client_;
    };

    // One request that runs here for another agent.
    struct served_call
    {
        wire::AnswerSink::Client sink_;
        kj::Own<kj::PromiseFulfiller<void>> done_;
        kj::Promise<void> sending_; // the calls of the sink, one by one
        request_id request_ = 0;
        std::uint64_t sequence_ = 0;
        request_outcome outcome_ = request_outcome::lost;
        duration retry_after_{};
    };

    std::shared_ptr<peer_rpc_bridge> bridge_;
    // Pieces of answers that were passed on and not yet acknowledged, in order.
    std::map<token, std::deque<kj::Own<kj::PromiseFulfiller<void>>>> taking_;
    std::map<token, served_call> served_;
    std::map<token, kj::Own<kj::PromiseFulfiller<offer_reply>>> reserving_;
    std::map<token, kj::Own<kj::PromiseFulfiller<note_result>>> noting_;
    token next_token_ = 1;

private:
    using shared_connection = std::shared_ptr<connection>;

    void run();
    void serve();
    kj::Promise<void> watch_wake(kj::AsyncInputStream& wake);
    kj::Promise<wire::Agent::Client> connect(endpoint const& peer);
    void disconnect(endpoint const& peer, std::uint64_t number);

    struct known_peer
    {
        std::uint64_t number_ = 0; // tells it from an earlier connection
        kj::ForkedPromise<shared_connection> ready_;
    };

    endpoint address_;
    kj::Own<kj::PromiseFulfiller<void>> stop_;
    kj::AsyncIoContext* io_ = nullptr;
    kj::TaskSet* tasks_ = nullptr;
    std::map<endpoint, known_peer> peers_;
    std::map<token, kj::Promise<void>> calls_;
    std::uint64_t next_connection_ = 1;
    std::array<kj::byte, wake_bytes> wake_buffer_{};
    std::thread thread_; // last: starts when the rest is ready
};

namespace
{

// Takes the answer of a request that runs at another agent.
class sink_server : public wire::AnswerSink::Server
{
public:
    sink_server(peer_rpc_thread& thread, token call,
                std::weak_ptr<remote_exchange> target)
        : thread_(thread), call_(call), target_(std::move(target))
    {
    }

    ~sink_server() noexcept
    {
        thread_.taking_.erase(call_);
    }

    kj::Promise<void> head(HeadContext context) override
    {
        auto const in = context.getParams();
        answer_head head;
        head.status_ = in.getStatus();
        head.reason_ = to_string(in.getReason());
        head.fields_ = read_fields(in.getFields());
        head.has_body_ = in.getHasBody();
        if (in.getLength() >= 0)
        {
            head.length_ = static_cast<std::uint64_t>(in.getLength());
        }
        pass([request = in.getRequest(), sequence = in.getSequence(),
              head](remote_exchange& target)
             { target.head(request, sequence, head); });
        return kj::READY_NOW;
    }

    kj::Promise<void> body(BodyContext context) override
    {
        auto const in = context.getParams();
        auto pair = kj::newPromiseAndFulfiller<void>();
        thread_.taking_[call_].push_back(kj::mv(pair.fulfiller));
        pass([request = in.getRequest(), sequence = in.getSequence(),
              bytes = to_string(in.getBytes())](remote_exchange& target)
             { target.body(request, sequence, bytes); });
        return kj::mv(pair.promise);
    }

private:
    void pass(std::function<void(remote_exchange&)> event)
    {
        thread_.bridge_->to_asio(
            [target = target_, event = std::move(event)]
            {
                if (auto const alive = target.lock())
                {
                    event(*alive);
                }
            });
    }

    peer_rpc_thread& thread_;
    token call_;
    std::weak_ptr<remote_exchange> target_;
};

// Makes the Asio side of an answer that goes to another agent.
std::shared_ptr<remote_answer> make_answer(peer_rpc_thread& thread, token call)
{
    auto answer = std::make_shared<remote_answer>();
    std::weak_ptr<remote_answer> const weak = answer;
    auto* const side = &thread;
    auto const bridge = thread.bridge_;
    // Appends one call of the sink to those under way.
    auto const send = [side, bridge, call](auto make_call)
    {
        bridge->to_kj(
            [side, call, make_call]
            {
                auto const found = side->served_.find(call);
                if (found == side->served_.end())
                {
                    return;
                }
                auto& served = found->second;
                auto promise = make_call(served);
                served.sending_ =
                    served.sending_
                        .then([promise = kj::mv(promise)]() mutable
                              { return kj::mv(promise); })
                        .eagerlyEvaluate(nullptr);
            });
    };
    answer->send_head_ = [send](answer_head const& head)
    {
        send(
            [head](peer_rpc_thread::served_call& served) -> kj::Promise<void>
            {
                auto out = served.sink_.headRequest();
                out.setRequest(served.request_);
                out.setSequence(served.sequence_++);
                out.setStatus(static_cast<std::uint16_t>(head.status_));
                out.setReason(head.reason_.c_str());
                out.setLength(head.length_
                                  ? static_cast<std::int64_t>(*head.length_)
                                  : -1);
                out.setHasBody(head.has_body_);
                write_fields(
                    out.initFields(static_cast<unsigned>(head.fields_.size())),
                    head.fields_);
                return out.send().ignoreResult();
            });
    };
    answer->send_body_ = [send, weak, bridge](std::string const& bytes)
    {
        send(
            [bytes, weak,
             bridge](peer_rpc_thread::served_call& served) -> kj::Promise<void>
            {
                auto out = served.sink_.bodyRequest();
                out.setRequest(served.request_);
                out.setSequence(served.sequence_++);
                out.setBytes(to_data(bytes));
                return out.send().ignoreResult().then(
                    [weak, bridge]
                    {
                        bridge->to_asio(
                            [weak]
                            {
                                if (auto const alive = weak.lock())
                                {
                                    alive->acknowledged();
                                }
                            });
                    });
            });
    };
    answer->send_result_ =
        [side, bridge, call](request_outcome outcome, duration retry_after)
    {
        bridge->to_kj(
            [side, call, outcome, retry_after]
            {
                auto const found = side->served_.find(call);
                if (found == side->served_.end())
                {
                    return;
                }
                auto& served = found->second;
                served.outcome_ = outcome;
                served.retry_after_ = retry_after;
                auto* const done = served.done_.get();
                served.sending_ = served.sending_
                                      .then([done] { done->fulfill(); },
                                            [done](kj::Exception&& failure)
                                            { done->reject(kj::mv(failure)); })
                                      .eagerlyEvaluate(nullptr);
            });
    };
    return answer;
}

// Calls of other agents.
class agent_server : public wire::Agent::Server
{
public:
    explicit agent_server(peer_rpc_thread& thread) : thread_(thread) {}

    kj::Promise<void> reserve(ReserveContext context) override
    {
        auto const call = thread_.next_token_++;
        auto pair = kj::newPromiseAndFulfiller<offer_reply>();
        thread_.reserving_.emplace(call, kj::mv(pair.fulfiller));
        auto const bridge = thread_.bridge_;
        bridge->to_asio(
            [this, call, bridge,
             offer = read_offer(context.getParams().getOffer())]
            {
                bridge->events_->on_reserve(
                    offer,
                    [this, call, bridge](offer_reply const& reply) {
                        bridge->to_kj([this, call, reply]
                                      { answer(call, reply); });
                    });
            });
        return pair.promise.then(
            [context](offer_reply const& reply) mutable
            {
                auto out = context.getResults();
                out.setGranted(reply.result_ == offer_result::granted);
                out.setReservation(reply.reservation_);
                write_load(out.initLoad(), reply.load_);
            });
    }

    kj::Promise<void> release(ReleaseContext context) override
    {
        auto const in = context.getParams();
        pass([home = in.getHome(), request = in.getRequest()](
                 peer_events& events) { events.on_release(home, request); });
        return kj::READY_NOW;
    }

    kj::Promise<void> witness(WitnessContext context) override
    {
        auto const call = thread_.next_token_++;
        auto pair = kj::newPromiseAndFulfiller<note_result>();
        thread_.noting_.emplace(call, kj::mv(pair.fulfiller));
        auto const in = context.getParams();
        auto* const side = &thread_;
        pass(
            [side, call, bridge = thread_.bridge_, home = in.getHome(),
             key = to_string(in.getKey()),
             fingerprint = in.getFingerprint()](peer_events& events)
            {
                auto const noted = events.on_witness(home, key, fingerprint);
                bridge->to_kj(
                    [side, call, noted]
                    {
                        side->noting_.at(call)->fulfill(note_result(noted));
                        side->noting_.erase(call);
                    });
            });
        return pair.promise.then(
            [context](note_result noted) mutable {
                context.getResults().setAnswer(
                    static_cast<std::uint8_t>(noted));
            });
    }

    kj::Promise<void> start(StartContext context) override
    {
        context.allowCancellation();
        auto const in = context.getParams();
        auto const call = thread_.next_token_++;
        auto request = read_request(in.getRequest());
        auto pair = kj::newPromiseAndFulfiller<void>();
        thread_.served_.emplace(call, peer_rpc_thread::served_call{
                                          in.getSink(), kj::mv(pair.fulfiller),
                                          kj::READY_NOW, request.request_});
        auto const answer = make_answer(thread_, call);
        pass([reservation = in.getReservation(), request = std::move(request),
              answer](peer_events& events)
             { events.on_start(reservation, request, answer); });
        auto& served = thread_.served_;
        return pair.promise
            .then(
                [context, call, &served]() mutable
                {
                    auto const& ended = served.at(call);
                    auto out = context.getResults();
                    out.setRequest(ended.request_);
                    out.setSequence(ended.sequence_);
                    out.setOutcome(static_cast<std::uint16_t>(ended.outcome_));
                    out.setRetryAfterNs(ended.retry_after_.count());
                })
            .attach(kj::defer(
                [call, &served, bridge = thread_.bridge_,
                 weak = std::weak_ptr(answer)]
                {
                    bridge->to_kj([call, &served] { served.erase(call); });
                    bridge->to_asio(
                        [weak]
                        {
                            if (auto const alive = weak.lock())
                            {
                                alive->cancelled();
                            }
                        });
                }));
    }

private:
    void pass(std::function<void(peer_events&)> event)
    {
        thread_.bridge_->to_asio(
            [bridge = thread_.bridge_, event = std::move(event)]
            { event(*bridge->events_); });
    }

    void answer(token call, offer_reply const& reply)
    {
        auto const found = thread_.reserving_.find(call);
        if (found != thread_.reserving_.end())
        {
            found->second->fulfill(offer_reply(reply));
            thread_.reserving_.erase(found);
        }
    }

    peer_rpc_thread& thread_;
};

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
    capnp::TwoPartyServer server(kj::heap<agent_server>(*this));
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

kj::Promise<wire::Agent::Client> peer_rpc_thread::connect(endpoint const& peer)
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
        found = peers_.emplace(peer, known_peer{number, kj::mv(ready)}).first;
    }
    return found->second.ready_.addBranch().then(
        [](shared_connection const& open)
        { return open->client_->bootstrap().castAs<wire::Agent>(); });
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
        [offer](wire::Agent::Client agent)
        {
            auto out = agent.reserveRequest();
            write_offer(out.initOffer(), offer);
            return out.send().then(
                [](capnp::Response<wire::Agent::ReserveResults>&& in)
                {
                    return offer_reply{in.getGranted() ? offer_result::granted
                                                       : offer_result::refused,
                                       in.getReservation(),
                                       read_load(in.getLoad())};
                });
        });
    auto late = io_->provider->getTimer()
                    .afterDelay(to_kj_time(timeout))
                    .then([] { return offer_reply{}; });
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
        [home, request](wire::Agent::Client agent)
        {
            auto out = agent.releaseRequest();
            out.setHome(home);
            out.setRequest(request);
            return out.send().ignoreResult();
        }));
}

void peer_rpc_thread::witness(
    endpoint const& peer, target_id home, std::string const& key,
    std::uint64_t fingerprint,
    std::function<void(std::optional<note_result>)> const& reply)
{
    using answer = std::optional<note_result>;
    auto call = connect(peer).then(
        [home, key, fingerprint](wire::Agent::Client agent)
        {
            auto out = agent.witnessRequest();
            out.setHome(home);
            out.setKey(key.c_str());
            out.setFingerprint(fingerprint);
            return out.send().then(
                [](capnp::Response<wire::Agent::WitnessResults>&& in)
                { return answer(static_cast<note_result>(in.getAnswer())); });
        });
    auto late = io_->provider->getTimer()
                    .afterDelay(to_kj_time(immediate_timeout))
                    .then([] { return answer(); });
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
        [this, reservation, request, call, target,
         sent](wire::Agent::Client agent)
            -> kj::Promise<capnp::Response<wire::Agent::StartResults>>
        {
            auto out = agent.startRequest();
            out.setReservation(reservation);
            write_request(out.initRequest(), request);
            out.setSink(kj::heap<sink_server>(*this, call, target));
            *sent = true;
            return out.send();
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

peer_rpc::peer_rpc(boost::asio::io_context& io, endpoint const& address,
                   peer_events& events, metrics& numbers)
    : bridge_(std::make_shared<peer_rpc_bridge>(io, events, numbers)),
      thread_(std::make_unique<peer_rpc_thread>(bridge_, address))
{
}

peer_rpc::~peer_rpc()
{
    bridge_->events_ = nullptr;
    thread_.reset();
    bridge_->take();
}

void peer_rpc::reserve(endpoint const& peer, peer_offer_request const& offer,
                       std::function<void(offer_reply)> reply)
{
    bridge_->to_kj(
        [thread = thread_.get(), peer, offer, reply = std::move(reply)]
        { thread->reserve(peer, offer, reply); });
}

void peer_rpc::release(endpoint const& peer, target_id home, request_id request)
{
    bridge_->to_kj([thread = thread_.get(), peer, home, request]
                   { thread->release(peer, home, request); });
}

void peer_rpc::witness(endpoint const& peer, target_id home,
                       std::string const& key, std::uint64_t fingerprint,
                       std::function<void(std::optional<note_result>)> reply)
{
    bridge_->to_kj([thread = thread_.get(), peer, home, key, fingerprint,
                    reply = std::move(reply)]
                   { thread->witness(peer, home, key, fingerprint, reply); });
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
        bridge->to_kj([thread, call] { thread->acknowledge(call); });
    };
    started->abandon_ = [bridge = bridge_, thread, call]
    {
        bridge->to_kj([thread, call] { thread->abandon(call); });
    };
    bridge_->to_kj([thread, peer, reservation, request = std::move(request),
                    call, weak = std::weak_ptr(started)]
                   { thread->start(peer, reservation, request, call, weak); });
    return started;
}

} // namespace daisytrail
