// Answers to the calls of other agents, and the answers that they send back.
#include "agent/peer_servers.hpp"

#include <utility>

namespace daisytrail
{

namespace
{

using token = peer_rpc_thread::token;

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
        auto pair = kj::newPromiseAndFulfiller<owner_record_result>();
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
                        side->noting_.at(call)->fulfill(
                            owner_record_result(noted));
                        side->noting_.erase(call);
                    });
            });
        return pair.promise.then(
            [context](owner_record_result noted) mutable {
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
