// Readiness polls and selection of balancers.
#include "support/trial_rotation.hpp"

#include <vector>

namespace daisytrail
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{500};
constexpr int failed_polls_until_removal = 2;

} // namespace

trial_rotation::trial_rotation(boost::asio::io_context& io,
                               trial_timeline& timeline,
                               platform_fleet const& fleet)
    : timeline_(timeline), fleet_(fleet),
      timer_(io, poll_interval, [this] { poll_readiness(); })
{
    for (int i = 1; i <= fleet_.plan().balancers_; ++i)
    {
        failed_polls_[i] = failed_polls_until_removal;
    }
}

void trial_rotation::poll_readiness()
{
    for (auto& entry : failed_polls_)
    {
        auto const on_answer = [&failed_polls = entry.second](bool is_ready)
        {
            failed_polls = is_ready ? 0 : failed_polls + 1;
        };
        timeline_.call(fleet_.balancer_http(entry.first),
                       boost::beast::http::verb::get, "/api/ready", {},
                       poll_interval, on_answer);
    }
}

int trial_rotation::balancer_of(flow_key const& flow) const
{
    std::vector<int> ready;
    std::vector<int> all;
    for (auto const& [number, failed_polls] : failed_polls_)
    {
        all.push_back(number);
        if (failed_polls < failed_polls_until_removal)
        {
            ready.push_back(number);
        }
    }
    auto const& candidates = 2 * ready.size() < all.size() ? all : ready;
    return candidates[hash_flow(flow) % candidates.size()];
}

} // namespace daisytrail
