// Parses scenarios for test/support/scenario.sh, which runs the processes, and
// evaluates their runs:
//   daisytrail-scenario plan FILE...            prints one event per line
//   daisytrail-scenario judge FILE... --report R --figure behind=0 --seed 7
// Several files are combined into one scenario. --soak SECONDS replaces the
// files by a random timeline.
#include "support/scenario.hpp"

#include <daisytrail/error.hpp>

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace
{

namespace json = boost::json;
using namespace daisytrail;

struct options
{
    std::vector<std::string> files_;
    unsigned soak_seconds_ = 0;
    std::uint64_t seed_ = 1;
    std::string report_;
    std::vector<std::string> figures_; // "NAME=VALUE"
    bool json_ = false;
};

std::string read_file(std::string const& name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file)
    {
        throw error(error_kind::invalid_argument, "can't read " + name);
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

scenario load_file(std::string const& name)
{
    auto parsed = parse_scenario(read_file(name));
    for (auto const& fault : parsed.errors_)
    {
        std::cerr << name << ":" << fault.line_ << ":" << fault.column_
                  << ": expected " << fault.expected_ << "\n";
    }
    if (!parsed.errors_.empty())
    {
        throw error(error_kind::invalid_argument, name + " has faults");
    }
    return std::move(parsed.value_);
}

scenario load_all(options const& given)
{
    if (given.soak_seconds_ > 0)
    {
        return make_soak(std::chrono::seconds(given.soak_seconds_),
                         given.seed_);
    }
    auto value = load_file(given.files_.at(0));
    for (std::size_t i = 1; i < given.files_.size(); ++i)
    {
        value = combine(value, load_file(given.files_[i]));
    }
    return value;
}

scenario_figures load_figures(options const& given)
{
    auto figures =
        read_figures(json::parse(read_file(given.report_)).as_object());
    for (auto const& text : given.figures_)
    {
        auto const equals = text.find('=');
        if (equals == std::string::npos)
        {
            throw error(error_kind::invalid_argument,
                        text + ": expected NAME=VALUE");
        }
        figures[text.substr(0, equals)] = std::stod(text.substr(equals + 1));
    }
    return figures;
}

void print_json(options const& given, scenario const& value,
                scenario_figures const& figures,
                std::vector<std::string> const& failures)
{
    json::object numbers;
    for (auto const& [name, figure] : figures)
    {
        numbers[name] = figure;
    }
    json::array list;
    for (auto const& failure : failures)
    {
        list.emplace_back(failure);
    }
    std::cout << json::serialize(json::object{{"scenario", value.title_},
                                              {"seed", given.seed_},
                                              {"good", failures.empty()},
                                              {"failures", std::move(list)},
                                              {"figures", std::move(numbers)}})
              << "\n";
}

void print_text(options const& given, scenario const& value,
                scenario_figures const& figures,
                std::vector<std::string> const& failures)
{
    std::cout << value.title_ << " (seed " << given.seed_ << ")\n";
    for (auto const& [name, figure] : figures)
    {
        std::cout << "    " << name << " " << figure << "\n";
    }
    for (auto const& failure : failures)
    {
        std::cout << "  FAILED: " << failure << "\n";
    }
    std::cout << (failures.empty() ? "  held\n" : "  did not hold\n");
}

int judge_run(options const& given)
{
    auto const value = load_all(given);
    auto const figures = load_figures(given);
    auto const failures = judge(value, figures);
    (given.json_ ? print_json : print_text)(given, value, figures, failures);
    return failures.empty() ? 0 : 1;
}

int run(CLI::App const& plan, options const& given)
{
    if (given.files_.empty() && given.soak_seconds_ == 0)
    {
        throw error(error_kind::invalid_argument, "no scenario is given");
    }
    if (plan.parsed())
    {
        std::cout << to_plan(load_all(given));
        return 0;
    }
    return judge_run(given);
}

} // namespace

int main(int argc, char** argv)
{
    options given;
    CLI::App app("Reads scenarios and judges their runs");
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option("--soak", given.soak_seconds_, "a random timeline");
    app.add_option("--seed", given.seed_, "of the random timeline");
    auto* const plan = app.add_subcommand("plan", "print the timeline");
    auto* const verdict = app.add_subcommand("judge", "judge a run");
    plan->add_option("files", given.files_, "scenarios");
    verdict->add_option("files", given.files_, "scenarios");
    verdict->add_option("--report", given.report_, "of the load tool")
        ->required();
    verdict->add_option("--figure", given.figures_, "NAME=VALUE");
    verdict->add_flag("--json", given.json_, "one JSON object");
    CLI11_PARSE(app, argc, argv);
    try
    {
        return run(*plan, given);
    }
    catch (std::exception const& fault)
    {
        std::cerr << "scenario: " << fault.what() << "\n";
        return 2;
    }
}
