// Grammar of the scenario language in Boost.Spirit X3, one statement per line.
#include "config/field_reader.hpp"
#include "support/scenario.hpp"

#include <boost/spirit/home/x3.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>

namespace daisytrail
{

namespace
{

namespace x3 = boost::spirit::x3;

using iterator = std::string_view::const_iterator;

// Tag of the list that receives the words of the statement being parsed.
struct words_tag;
using word_list = std::vector<std::string>;

auto const append_word = [](auto& context)
{
    auto const& range = x3::_attr(context);
    x3::get<words_tag>(context).get().emplace_back(range.begin(), range.end());
};

auto const word_byte = x3::alnum | x3::char_("-._/");

// Parses a keyword of the language.
auto keyword(char const* text)
{
    return x3::lexeme[x3::raw[x3::lit(text) >> !word_byte][append_word]];
}

x3::symbols<> const services = []
{
    x3::symbols<> table;
    table.add("depot-orders")("delivery-proofs")("order-portal")("sheet-print");
    return table;
}();

x3::symbols<> const work_kinds = []
{
    x3::symbols<> table;
    table.add("feeds")("orders")("fetches")("stragglers")("uploads")("work_ms")(
        "straggler_ms")("upload_kb")("crest_factor")("crest_from_s")(
        "crest_to_s");
    return table;
}();

x3::symbols<> const measures = []
{
    x3::symbols<> table;
    for (char const* kind : {"feed", "order", "fetch", "straggler", "upload"})
    {
        table.add(std::string(kind) + "-p50-ms");
        table.add(std::string(kind) + "-p99-ms");
    }
    for (char const* name :
         {"answered", "refused", "unknown", "broken", "truncated",
          "wrong-answer", "wrong-service", "failed", "doubled",
          "refused-but-ran", "answered-not-run", "feed-gap-ms", "behind",
          "reverted", "apply-failed", "apply-seconds"})
    {
        table.add(name);
    }
    return table;
}();

auto const count = x3::lexeme[x3::raw[x3::uint_ >> !word_byte][append_word]];
auto const number = x3::lexeme[x3::raw[x3::double_ >> !word_byte][append_word]];
auto const duration =
    x3::lexeme[x3::raw[x3::uint_ >> (x3::lit("ms") | 's' | 'm') >> !word_byte]
                      [append_word]];
auto const service = x3::lexeme[x3::raw[services >> !word_byte][append_word]];
auto const work_kind =
    x3::lexeme[x3::raw[work_kinds >> !word_byte][append_word]];
auto const measure = x3::lexeme[x3::raw[measures >> !word_byte][append_word]];
auto const file = x3::lexeme[x3::raw[+word_byte][append_word]];
auto const member_number = x3::lit('-') >> x3::uint_ >> !word_byte;
auto const target = x3::lexeme[x3::raw[x3::lit("target-") >> services >>
                                       member_number][append_word]];
auto const backend = x3::lexeme[x3::raw[x3::lit("backend-") >> services >>
                                        member_number][append_word]];
auto const process =
    x3::lexeme[x3::raw[(x3::lit("balancer") >> member_number) |
                       ((x3::lit("agent-") | "backend-") >> services >>
                        member_number) |
                       (x3::lit("store") >> !word_byte)][append_word]];

// Error messages contain the rule's name as the text that was expected.
template <typename Tag, typename Parser>
auto rule(char const* name, Parser const& parser)
{
    return x3::rule<Tag>{name} = parser;
}

struct count_rule;
struct number_rule;
struct duration_rule;
struct service_rule;
struct kind_rule;
struct measure_rule;
struct process_rule;
struct start_rule;
struct backend_rule;
struct fabric_rule;
struct store_rule;
struct bound_rule;
struct action_rule;
struct statement_rule;
struct file_rule;

auto const a_count = rule<count_rule>("a whole number", count);
auto const a_number = rule<number_rule>("a number", number);
auto const a_duration =
    rule<duration_rule>("a duration such as 5s, 250ms or 1m", duration);
auto const a_service = rule<service_rule>(
    "a service: depot-orders, delivery-proofs, order-portal or "
    "sheet-print",
    service);
auto const a_kind =
    rule<kind_rule>("a kind of work: feeds, orders, fetches, stragglers, "
                    "uploads, or a setting of the load",
                    work_kind);
auto const a_measure = rule<measure_rule>(
    "a figure, such as broken, doubled or order-p99-ms", measure);
auto const a_process =
    rule<process_rule>("a process, such as balancer-2, agent-depot-orders-3, "
                       "backend-depot-orders-3 or store",
                       process);
auto const a_starter = rule<start_rule>(
    "a process or target, such as balancer-4 or target-depot-orders-8",
    target | process);
auto const a_backend = rule<backend_rule>(
    "a backend server, such as backend-depot-orders-3", backend);
auto const a_fabric_fault = rule<fabric_rule>(
    "a fault of the fabric: loss, duplicate or reorder",
    keyword("loss") | keyword("duplicate") | keyword("reorder"));
auto const a_store_fault = rule<store_rule>(
    "a fault of the store: down for, slow, lose-answers, cut-watches, "
    "lapse-leases or go-back",
    (keyword("down") > keyword("for") > a_duration) |
        (keyword("slow") > a_duration) | (keyword("lose-answers") > a_count) |
        (keyword("go-back") > a_count) | keyword("cut-watches") |
        keyword("lapse-leases"));
auto const a_file = rule<file_rule>("a file", file);
auto const a_bound = rule<bound_rule>(
    "=, <= or >=", x3::raw[x3::lit("<=") | ">=" | "="][append_word]);

auto const action = rule<action_rule>(
    "an action: kill, stop, pause, resume, start, slow, fabric, store or apply",
    ((keyword("kill") | keyword("stop") | keyword("resume")) > a_process) |
        (keyword("pause") > a_process > keyword("for") > a_duration) |
        (keyword("start") > a_starter) |
        (keyword("slow") > a_backend > a_number) |
        (keyword("fabric") > a_fabric_fault > a_number) |
        (keyword("store") > a_store_fault) | (keyword("apply") > a_file));

auto const title =
    keyword("title") >
    x3::lexeme['"' > x3::raw[*~x3::char_('"')][append_word] > '"'];

auto const statement = rule<statement_rule>(
    "a statement: title, balancers, targets, load, run, at or expect",
    title | (keyword("balancers") > a_count) |
        (keyword("targets") > a_service > a_count) |
        (keyword("load") > a_service > +(a_kind > a_number)) |
        (keyword("run") > a_duration) | (keyword("at") > a_duration > action) |
        (keyword("expect") > a_measure > a_bound > a_number));

auto const skipper = x3::blank | (x3::lit('#') >> *x3::char_);

std::chrono::milliseconds to_duration(std::string const& text)
{
    return detail::parse_duration(text).value_or(std::chrono::milliseconds(0));
}

std::uint32_t to_count(std::string const& text)
{
    return static_cast<std::uint32_t>(std::stoul(text));
}

bound to_bound(std::string const& text)
{
    if (text == "=")
    {
        return bound::equal;
    }
    return text == "<=" ? bound::at_most : bound::at_least;
}

void add_load(scenario& out, word_list const& words)
{
    auto& load = out.loads_[words[1]];
    for (std::size_t i = 2; i + 1 < words.size(); i += 2)
    {
        load += (load.empty() ? "" : " ") + words[i] + "=" + words[i + 1];
    }
}

// Adds an event. `pause X for 5s` becomes a pause and a resume event, and
// `store down for 5s` becomes two events that stop and restart the store.
void add_event(scenario& out, word_list const& words)
{
    auto const at = to_duration(words[1]);
    word_list event(words.begin() + 2, words.end());
    bool const is_span = event.size() == 4 && event[2] == "for";
    if (!is_span)
    {
        out.events_.push_back({at, std::move(event)});
        return;
    }
    auto const until = at + to_duration(event[3]);
    bool const is_pause = event[0] == "pause";
    event.resize(2);
    out.events_.push_back({at, event});
    out.events_.push_back({until, is_pause ? word_list{"resume", event[1]}
                                           : word_list{"store", "up"}});
}

using statement_handler = void (*)(scenario&, word_list const&);

struct statement_kind
{
    std::string_view word_;
    statement_handler apply_;
};

constexpr std::array<statement_kind, 7> statement_kinds{{
    {"title",
     [](scenario& out, word_list const& words)
     {
         out.title_ = words[1];
     }},
    {"balancers",
     [](scenario& out, word_list const& words)
     {
         out.balancers_ = to_count(words[1]);
     }},
    {"targets",
     [](scenario& out, word_list const& words)
     {
         out.targets_[words[1]] = to_count(words[2]);
     }},
    {"load", add_load},
    {"run",
     [](scenario& out, word_list const& words)
     {
         out.length_ = to_duration(words[1]);
     }},
    {"at", add_event},
    {"expect",
     [](scenario& out, word_list const& words)
     {
         out.expectations_.push_back(
             {words[1], to_bound(words[2]), std::stod(words[3])});
     }},
}};

void apply_statement(scenario& out, word_list const& words)
{
    auto const* const found = std::find_if(
        statement_kinds.begin(), statement_kinds.end(),
        [&](statement_kind const& kind) { return kind.word_ == words[0]; });
    if (found != statement_kinds.end())
    {
        found->apply_(out, words);
    }
}

bool is_blank(std::string_view line)
{
    auto const first = line.find_first_not_of(" \t\r");
    return first == std::string_view::npos || line[first] == '#';
}

// Parses the words of one line; returns the column and the expected text if the
// line has an error.
std::optional<scenario_error> parse_line(std::string_view line,
                                         word_list& words)
{
    auto at = line.begin();
    auto const fault = [&](iterator where, std::string expected)
    {
        where = std::find_if(where, line.end(),
                             [](char byte) { return byte != ' '; });
        return scenario_error{
            0, static_cast<std::size_t>(where - line.begin()) + 1,
            std::move(expected)};
    };
    auto const parser =
        x3::with<words_tag>(std::ref(words))[statement > x3::eoi];
    try
    {
        if (!x3::phrase_parse(at, line.end(), parser, skipper))
        {
            return fault(at, "a statement: title, balancers, targets, load, "
                             "run, at or expect");
        }
    }
    catch (x3::expectation_failure<iterator> const& failure)
    {
        auto const what = failure.which();
        return fault(failure.where(),
                     what == "eoi" ? "the end of the line" : what);
    }
    return std::nullopt;
}

} // namespace

parsed_scenario parse_scenario(std::string_view text)
{
    parsed_scenario result;
    std::size_t line_number = 0;
    while (!text.empty())
    {
        ++line_number;
        auto const end = std::min(text.find('\n'), text.size());
        auto const line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        word_list words;
        if (is_blank(line))
        {
            continue;
        }
        if (auto fault = parse_line(line, words))
        {
            fault->line_ = line_number;
            result.errors_.push_back(*fault);
            continue;
        }
        apply_statement(result.value_, words);
    }
    std::stable_sort(result.value_.events_.begin(), result.value_.events_.end(),
                     [](scenario_event const& left, scenario_event const& right)
                     { return left.at_ < right.at_; });
    return result;
}

} // namespace daisytrail
