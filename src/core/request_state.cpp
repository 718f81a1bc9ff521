// Transitions of the state machine of a request.
#include <daisytrail/error.hpp>
#include <daisytrail/request_state.hpp>

#include <string>

namespace daisytrail
{

namespace
{

constexpr std::uint8_t bit(request_phase phase)
{
    return static_cast<std::uint8_t>(1U << static_cast<unsigned>(phase));
}

// Transition table: allowed_next[phase] is the set of phases that may follow
// `phase`, as a bit mask.
constexpr std::array<std::uint8_t,
                     static_cast<std::size_t>(request_phase::count)>
    allowed_next{
        bit(request_phase::queued) | bit(request_phase::answered),
        bit(request_phase::reserved) | bit(request_phase::started) |
            bit(request_phase::answered),
        bit(request_phase::queued) | bit(request_phase::started) |
            bit(request_phase::answered),
        bit(request_phase::queued) | bit(request_phase::answered),
        0,
    };

} // namespace

void request_state::advance(request_phase to)
{
    if ((allowed_next[static_cast<std::size_t>(phase_)] & bit(to)) == 0)
    {
        throw error(
            error_kind::internal,
            "request can't change from phase " +
                std::string(
                    request_phase_names[static_cast<std::size_t>(phase_)]) +
                " to " +
                std::string(request_phase_names[static_cast<std::size_t>(to)]));
    }
    phase_ = to;
}

void request_state::enqueue()
{
    if (phase_ == request_phase::started)
    {
        throw error(error_kind::internal,
                    "a started request can't be enqueued");
    }
    advance(request_phase::queued);
}

void request_state::reserve()
{
    advance(request_phase::reserved);
}

void request_state::start()
{
    advance(request_phase::started);
    ++starts_;
}

void request_state::withdraw()
{
    if (phase_ != request_phase::started)
    {
        throw error(error_kind::internal,
                    "a request that isn't started can't be withdrawn");
    }
    advance(request_phase::queued);
}

void request_state::repeat()
{
    if (!may_repeat())
    {
        throw error(error_kind::internal,
                    "only a started repeatable request can be repeated");
    }
    may_have_run_ = true;
    advance(request_phase::queued);
}

request_outcome request_state::settle(request_outcome requested)
{
    bool const may_have_run = may_have_run_ || phase_ == request_phase::started;
    advance(request_phase::answered);
    bool const claims_not_run =
        response_for(requested).verdict_ == outcome_verdict::not_run;
    return claims_not_run && may_have_run ? request_outcome::lost : requested;
}

} // namespace daisytrail
