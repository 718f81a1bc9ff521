// Counters, gauges, quantiles and histograms in the Prometheus text format.
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace daisytrail
{

// Streaming estimates of the quantiles 0.5, 0.9 and 0.99 of a value in seconds.
class summary
{
public:
    summary();
    void add(double seconds);
    std::string text(std::string const& name) const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::extended_p_square>>;

    accumulator values_;
};

// Latency in seconds as a Prometheus histogram with fixed buckets.
class histogram
{
public:
    void add(double seconds);
    std::string text(std::string const& name) const;

private:
    static constexpr std::array<double, 13> bounds{
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

    // Count of each bucket, not cumulative. The last bucket has no upper bound.
    std::array<std::uint64_t, bounds.size() + 1> counts_{};
    double sum_ = 0;
};

// Metrics registry of one process. It is used on the event loop's thread only.
// References that it returns stay valid for the lifetime of the registry.
//   auto& drops = metrics.counter("daisytrail_drops_total{kind=\"fragment\"}");
//   ++drops;
class metrics
{
public:
    // `name` may end in labels: name{label="value"}.
    std::uint64_t& counter(std::string const& name);

    // Registers a gauge whose value `read` returns at each scrape.
    void gauge(std::string const& name, std::function<double()> read);

    summary& quantiles(std::string const& name);

    histogram& latency(std::string const& name);

    // Returns all metrics in the Prometheus text exposition format.
    std::string text() const;

private:
    std::map<std::string, std::unique_ptr<std::uint64_t>> counters_;
    std::map<std::string, std::function<double()>> gauges_;
    std::map<std::string, std::unique_ptr<summary>> summaries_;
    std::map<std::string, std::unique_ptr<histogram>> histograms_;
};

} // namespace daisytrail
