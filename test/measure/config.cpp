// Measures the processor time that a version of the operator's document costs a
// balancer, step by step, against the number of routes.
#include "net/adopted_template.hpp"
#include "platform/operator_config.hpp"
#include "support/measure_report.hpp"
#include "support/operator_documents.hpp"

#include <daisytrail/forward_directory.hpp>

#include <algorithm>
#include <ctime>
#include <functional>
#include <iostream>

namespace
{

using namespace daisytrail;

constexpr int repeats = 7;

double thread_milliseconds()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return 1e3 * static_cast<double>(now.tv_sec) +
           1e-6 * static_cast<double>(now.tv_nsec);
}

// Returns the least processor time of several runs.
double least_milliseconds(std::function<void(int run)> const& work)
{
    double least = 1e9;
    for (int run = 0; run < repeats; ++run)
    {
        auto const from = thread_milliseconds();
        work(run);
        least = std::min(least, thread_milliseconds() - from);
    }
    return least;
}

void measure(measure_report& report, std::size_t routes)
{
    std::vector<std::string> documents;
    for (int run = 0; run < repeats; ++run)
    {
        documents.push_back(
            make_document(static_cast<std::uint64_t>(run) + 1, routes));
    }
    std::vector<std::string> stored(repeats);
    forward_directory directory;
    auto const name = std::to_string(routes) + " routes, ";
    report.add(name + "document",
               static_cast<double>(documents.front().size()) / 1e3, "kB");
    report.add(name + "translate",
               least_milliseconds(
                   [&](int run)
                   {
                       auto const at = static_cast<std::size_t>(run);
                       stored[at] = platform::to_stored_template(documents[at]);
                   }),
               "ms");
    report.add(name + "stored",
               static_cast<double>(stored.front().size()) / 1e3, "kB");
    report.add(name + "check",
               least_milliseconds(
                   [&](int run)
                   {
                       auto const problem = check_adopted_template(
                           stored[static_cast<std::size_t>(run)]);
                       if (problem)
                       {
                           std::cout << routes << " routes: " << *problem
                                     << "\n";
                       }
                   }),
               "ms");
    report.add(name + "apply",
               least_milliseconds(
                   [&](int run)
                   {
                       auto const at = static_cast<std::size_t>(run);
                       auto const value = parse_adopted_template(stored[at]);
                       directory.apply(value->value_, at + 1);
                   }),
               "ms, with a copy of it and a check");
}

} // namespace

int main()
{
    measure_report report("A version of the operator's document, step by step");
    for (std::size_t const routes : {45, 1'445, 2'845, 4'745})
    {
        measure(report, routes);
    }
    std::cout << report.text();
}
