// Servers for calls of other agents and for the responses that they send back.
#include "agent/peer_servers.hpp"

#include <utility>

namespace daisytrail
{

namespace
{

using token = peer_rpc_thread::token;

// Receives the response of a request that runs at another agent.
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
        thread_.unacknowledged_pieces_.erase(call_);
    }

    kj::Promise<void> head(HeadContext context) override
    {
        auto const in = context.getParams();
        response_head head;
        head.status_ = in.getStatus();
        head.reason_ = to_string(in.getReason());
        head.fields_ = read_fields(in.getFields());
        head.has_body_ = in.getHasBody();
        if (in.getLength() >= 0)
        {
            head.length_ = static_cast<std::uint64_t>(in.getLength());
        }
        post_event([request = in.getRequest(), sequence = in.getSequence(),
                    head](remote_exchange& target)
                   { target.receive_head(request, sequence, head); });
        return kj::READY_NOW;
    }

    kj::Promise<void> body(BodyContext context) override
    {
        auto const in = context.getParams();
        auto pair = kj::newPromiseAndFulfiller<void>();
        thread_.unacknowledged_pieces_[call_].push_back(kj::mv(pair.fulfiller));
        post_event([request = in.getRequest(), sequence = in.getSequence(),
                    bytes = to_string(in.getBytes())](remote_exchange& target)
                   { target.receive_body(request, sequence, bytes); });
        return kj::mv(pair.promise);
    }

private:
    void post_event(std::function<void(remote_exchange&)> event)
    {
        thread_.bridge_->post_to_asio(
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

// Creates the Asio side of a response that is sent to another agent.
std::shared_ptr<remote_response> make_remote_response(peer_rpc_thread& thread,
                                                      token call)
{
    auto response = std::make_shared<remote_response>();
    std::weak_ptr<remote_response> const weak = response;
    auto* const rpc_thread = &thread;
    auto const bridge = thread.bridge_;
    // Issues a call of the sink and appends it to the calls in flight.
    auto const send = [rpc_thread, bridge, call](auto make_call)
    {
        bridge->post_to_kj(
            [rpc_thread, call, make_call]
            {
                auto const found = rpc_thread->served_calls_.find(call);
                if (found == rpc_thread->served_calls_.end())
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
    response->send_head_ = [send](response_head const& head)
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
    response->send_body_ = [send, weak, bridge](std::string const& bytes)
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
                        bridge->post_to_asio(
                            [weak]
                            {
                                if (auto const alive = weak.lock())
                                {
                                    alive->on_acknowledged();
                                }
                            });
                    });
            });
    };
    response->send_result_ = [rpc_thread, bridge, call](request_outcome outcome,
                                                        duration retry_after)
    {
        bridge->post_to_kj(
            [rpc_thread, call, outcome, retry_after]
            {
                auto const found = rpc_thread->served_calls_.find(call);
                if (found == rpc_thread->served_calls_.end())
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
    return response;
}

// Passes the calls of other agents to the Asio loop.
class agent_server : public wire::Agent::Server
{
public:
    explicit agent_server(peer_rpc_thread& thread) : thread_(thread) {}

    kj::Promise<void> reserve(ReserveContext context) override
    {
        auto const call = thread_.next_token_++;
        auto pair = kj::newPromiseAndFulfiller<offer_reply>();
        thread_.pending_reservations_.emplace(call, kj::mv(pair.fulfiller));
        auto const bridge = thread_.bridge_;
        bridge->post_to_asio(
            [this, call, bridge,
             offer = read_offer(context.getParams().getOffer())]
            {
                bridge->events_->on_reserve(
                    offer,
                    [this, call, bridge](offer_reply const& reply)
                    {
                        bridge->post_to_kj(
                            [this, call, reply]
                            { complete_reservation(call, reply); });
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
        post_event([origin = in.getHome(),
                    request = in.getRequest()](peer_events& events)
                   { events.on_release(origin, request); });
        return kj::READY_NOW;
    }

    kj::Promise<void> witness(WitnessContext context) override
    {
        auto const call = thread_.next_token_++;
        auto pair = kj::newPromiseAndFulfiller<owner_record_result>();
        thread_.pending_witness_calls_.emplace(call, kj::mv(pair.fulfiller));
        auto const in = context.getParams();
        auto* const rpc_thread = &thread_;
        post_event(
            [rpc_thread, call, bridge = thread_.bridge_, origin = in.getHome(),
             key = to_string(in.getKey()),
             fingerprint = in.getFingerprint()](peer_events& events)
            {
                auto const result = events.on_witness(origin, key, fingerprint);
                bridge->post_to_kj(
                    [rpc_thread, call, result]
                    {
                        rpc_thread->pending_witness_calls_.at(call)->fulfill(
                            owner_record_result(result));
                        rpc_thread->pending_witness_calls_.erase(call);
                    });
            });
        return pair.promise.then(
            [context](owner_record_result result) mutable {
                context.getResults().setAnswer(
                    static_cast<std::uint8_t>(result));
            });
    }

    kj::Promise<void> start(StartContext context) override
    {
        context.allowCancellation();
        auto const in = context.getParams();
        auto const call = thread_.next_token_++;
        auto request = read_request(in.getRequest());
        auto pair = kj::newPromiseAndFulfiller<void>();
        thread_.served_calls_.emplace(
            call,
            peer_rpc_thread::served_call{in.getSink(), kj::mv(pair.fulfiller),
                                         kj::READY_NOW, request.request_});
        auto const response = make_remote_response(thread_, call);
        post_event([reservation = in.getReservation(),
                    request = std::move(request), response](peer_events& events)
                   { events.on_start(reservation, request, response); });
        auto& served = thread_.served_calls_;
        return pair.promise
            .then(
                [context, call, &served]() mutable
                {
                    auto const& finished_call = served.at(call);
                    auto out = context.getResults();
                    out.setRequest(finished_call.request_);
                    out.setSequence(finished_call.sequence_);
                    out.setOutcome(
                        static_cast<std::uint16_t>(finished_call.outcome_));
                    out.setRetryAfterNs(finished_call.retry_after_.count());
                })
            .attach(kj::defer(
                [call, &served, bridge = thread_.bridge_,
                 weak = std::weak_ptr(response)]
                {
                    bridge->post_to_kj([call, &served] { served.erase(call); });
                    bridge->post_to_asio(
                        [weak]
                        {
                            if (auto const alive = weak.lock())
                            {
                                alive->on_cancelled();
                            }
                        });
                }));
    }

private:
    void post_event(std::function<void(peer_events&)> event)
    {
        thread_.bridge_->post_to_asio(
            [bridge = thread_.bridge_, event = std::move(event)]
            { event(*bridge->events_); });
    }

    void complete_reservation(token call, offer_reply const& reply)
    {
        auto const found = thread_.pending_reservations_.find(call);
        if (found != thread_.pending_reservations_.end())
        {
            found->second->fulfill(offer_reply(reply));
            thread_.pending_reservations_.erase(found);
        }
    }

    peer_rpc_thread& thread_;
};

} // namespace

kj::Own<wire::AnswerSink::Server>
make_sink_server(peer_rpc_thread& thread, token call,
                 std::weak_ptr<remote_exchange> target)
{
    return kj::heap<sink_server>(thread, call, std::move(target));
}

kj::Own<wire::Agent::Server> make_agent_server(peer_rpc_thread& thread)
{
    return kj::heap<agent_server>(thread);
}

} // namespace daisytrail
