// Writes metrics in the Prometheus text exposition format.
#include "net/metrics.hpp"

#include <algorithm>
#include <numeric>
#include <sstream>

namespace daisytrail
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantile_levels{0.5, 0.9, 0.99};

std::string family(std::string const& name)
{
    return name.substr(0, name.find('{'));
}

// Writes the TYPE line of a metric family once for each run of consecutive
// metrics of this family.
void write_type(std::ostringstream& out, std::string& last_family,
                std::string const& name, char const* type)
{
    if (family(name) != last_family)
    {
        last_family = family(name);
        out << "# TYPE " << last_family << ' ' << type << '\n';
    }
}

} // namespace

summary::summary()
    : values_(acc::tag::extended_p_square::probabilities = quantile_levels)
{
}

void summary::add(double seconds)
{
    values_(seconds);
}

std::string summary::text(std::string const& name) const
{
    std::ostringstream out;
    auto const estimates = acc::extended_p_square(values_);
    for (std::size_t i = 0; i < quantile_levels.size(); ++i)
    {
        out << name << "{quantile=\"" << quantile_levels[i] << "\"} "
            << estimates[static_cast<std::ptrdiff_t>(i)] << '\n';
    }
    out << name << "_sum " << acc::sum(values_) << '\n';
    out << name << "_count " << acc::count(values_) << '\n';
    return out.str();
}

void histogram::add(double seconds)
{
    auto const bucket = std::ranges::lower_bound(bounds, seconds);
    ++counts_[static_cast<std::size_t>(bucket - bounds.begin())];
    sum_ += seconds;
}

std::string histogram::text(std::string const& name) const
{
    std::ostringstream out;
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < bounds.size(); ++i)
    {
        cumulative += counts_[i];
        out << name << "_bucket{le=\"" << bounds[i] << "\"} " << cumulative
            << '\n';
    }
    auto const total =
        std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
    out << name << "_bucket{le=\"+Inf\"} " << total << '\n';
    out << name << "_sum " << sum_ << '\n';
    out << name << "_count " << total << '\n';
    return out.str();
}

std::uint64_t& metrics::counter(std::string const& name)
{
    auto& slot = counters_[name];
    if (!slot)
    {
        slot = std::make_unique<std::uint64_t>(0);
    }
    return *slot;
}

void metrics::gauge(std::string const& name, std::function<double()> read)
{
    gauges_[name] = std::move(read);
}

summary& metrics::quantiles(std::string const& name)
{
    auto& slot = summaries_[name];
    if (!slot)
    {
        slot = std::make_unique<summary>();
    }
    return *slot;
}

histogram& metrics::latency(std::string const& name)
{
    auto& slot = histograms_[name];
    if (!slot)
    {
        slot = std::make_unique<histogram>();
    }
    return *slot;
}

std::string metrics::text() const
{
    std::ostringstream out;
    std::string last_family;
    for (auto const& [name, value] : counters_)
    {
        write_type(out, last_family, name, "counter");
        out << name << ' ' << *value << '\n';
    }
    for (auto const& [name, read] : gauges_)
    {
        write_type(out, last_family, name, "gauge");
        out << name << ' ' << read() << '\n';
    }
    for (auto const& [name, values] : summaries_)
    {
        write_type(out, last_family, name, "summary");
        out << values->text(name);
    }
    for (auto const& [name, values] : histograms_)
    {
        write_type(out, last_family, name, "histogram");
        out << values->text(name);
    }
    return out.str();
}

} // namespace daisytrail
