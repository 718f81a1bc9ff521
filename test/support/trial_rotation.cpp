// Readiness and choice of balancers.
#include "support/trial_rotation.hpp"

#include <vector>

namespace daisytrail
{

namespace
{

constexpr std::chrono::milliseconds interval{500};
constexpr int misses_until_out = 2;

} // namespace

trial_rotation::trial_rotation(boost::asio::io_context& io,
                               trial_timeline& timeline,
                               platform_fleet const& fleet)
    : timeline_(timeline), fleet_(fleet),
      timer_(io, interval, [this] { ask(); })
{
    for (int i = 1; i <= fleet_.plan().balancers_; ++i)
    {
        misses_[i] = misses_until_out;
    }
}

void trial_rotation::ask()
{
    for (auto& entry : misses_)
    {
        auto const on_answer = [&misses = entry.second](bool is_ready)
        {
            misses = is_ready ? 0 : misses + 1;
        };
        timeline_.call(fleet_.balancer_page(entry.first),
                       boost::beast::http::verb::get, "/api/ready", {},
                       interval, on_answer);
    }
}

int trial_rotation::balancer_of(flow_key const& flow) const
{
    std::vector<int> ready;
    std::vector<int> all;
    for (auto const& [number, misses] : misses_)
    {
        all.push_back(number);
        if (misses < misses_until_out)
        {
            ready.push_back(number);
        }
    }
    auto const& taken = 2 * ready.size() < all.size() ? all : ready;
    return taken[hash_flow(flow) % taken.size()];
}

} // namespace daisytrail
