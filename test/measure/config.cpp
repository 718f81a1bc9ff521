// Measures the processor time that a version of the operator's document costs a
// balancer, step by step, against the number of routes.
#include "net/template_parser.hpp"
#include "platform/operator_config.hpp"
#include "support/measure_report.hpp"
#include "support/operator_documents.hpp"

#include <daisytrail/forward_directory.hpp>
#include <daisytrail/text_compression.hpp>

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

// Longest of the pieces of a work; `advance` does the next one and returns true
// when all is done.
double longest_piece_milliseconds(std::function<bool()> const& advance)
{
    double longest = 0;
    bool is_done = false;
    while (!is_done)
    {
        auto const from = thread_milliseconds();
        is_done = advance();
        longest = std::max(longest, thread_milliseconds() - from);
    }
    return longest;
}

double longest_translation_piece(std::string const& document)
{
    constexpr std::size_t bytes_per_piece = 12'288;
    platform::config_translation translation;
    std::size_t read = 0;
    return longest_piece_milliseconds(
        [&]
        {
            if (read == document.size())
            {
                return translation.convert_some();
            }
            auto const piece =
                std::string_view(document).substr(read, bytes_per_piece);
            translation.read(piece);
            read += piece.size();
            return false;
        });
}

double longest_parsing_piece(std::string const& value)
{
    template_parser parser(value);
    return longest_piece_milliseconds([&parser] { return parser.advance(); });
}

platform::translated_config translate(std::string const& document)
{
    platform::config_translation translation;
    translation.read(document);
    while (!translation.convert_some())
    {
    }
    return translation.take();
}

void measure(measure_report& report, std::size_t routes)
{
    std::vector<std::string> documents;
    documents.reserve(repeats);
    for (int run = 0; run < repeats; ++run)
    {
        documents.push_back(
            make_document(static_cast<std::uint64_t>(run) + 1, routes));
    }
    std::vector<platform::translated_config> configs(repeats);
    forward_directory directory;
    auto const name = std::to_string(routes) + " routes, ";
    auto const add_time = [&](std::string const& step, auto const& work)
    {
        auto const milliseconds = least_milliseconds(
            [&](int run) { work(static_cast<std::size_t>(run)); });
        report.add(name + step, milliseconds, "ms");
    };
    add_time("translate", [&](std::size_t run)
             { configs[run] = translate(documents[run]); });
    add_time("apply", [&](std::size_t run)
             { directory.apply(configs[run].template_->value_, run + 1); });
    add_time("parse what a peer sent", [&](std::size_t run)
             { parse_adopted_template(configs[run].value_); });
    add_time("compress",
             [&](std::size_t run) { compress_text(configs[run].value_); });
    auto const& base = configs.front().value_;
    add_time("compress the difference", [&](std::size_t run)
             { compress_text(configs[run].value_, base); });
    auto const compressed = compress_text(base);
    add_time("decompress",
             [&](std::size_t) { decompress_text(compressed, base.size()); });
    report.add(name + "longest piece",
               longest_translation_piece(documents.front()), "ms");
    report.add(name + "longest piece of parsing", longest_parsing_piece(base),
               "ms");
    report.add(name + "document",
               static_cast<double>(documents.front().size()) / 1e3, "kB");
    report.add(name + "stored", static_cast<double>(base.size()) / 1e3, "kB");
    report.add(name + "compressed",
               static_cast<double>(compressed.size()) / 1e3, "kB");
    report.add(
        name + "difference of one version",
        static_cast<double>(compress_text(configs.back().value_, base).size()) /
            1e3,
        "kB");
}

} // namespace

int main()
{
    measure_report report("A version of the operator's document, step by step");
    for (std::size_t const routes : {45, 1'445, 2'845, 4'745, 6'900})
    {
        measure(report, routes);
    }
    std::cout << report.text();
}
