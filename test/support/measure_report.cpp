// Formatting of the table of measured values.
#include "support/measure_report.hpp"

#include <algorithm>
#include <cstdio>

namespace daisytrail
{

namespace
{

std::string format_number(double value)
{
    char text[32];
    int const digits = value >= 100 ? 0 : value >= 10 ? 1 : 3;
    std::snprintf(text, sizeof(text), "%.*f", digits, value);
    return text;
}

std::string pad(std::string text, std::size_t width)
{
    text.resize(std::max(width, text.size()), ' ');
    return text;
}

std::string format_goal(measured_row const& row)
{
    if (row.kind_ == goal_kind::none)
    {
        return {};
    }
    bool const upper = row.kind_ == goal_kind::at_most;
    bool const met = upper ? row.value_ <= row.goal_ : row.value_ >= row.goal_;
    std::string const sign = upper ? "<= " : ">= ";
    return pad(sign + format_number(row.goal_), 10) + (met ? "met" : "NOT MET");
}

} // namespace

void measure_report::add(std::string name, double value, std::string unit)
{
    rows_.push_back(
        {std::move(name), value, std::move(unit), goal_kind::none, 0.0});
}

void measure_report::at_least(std::string name, double value, std::string unit,
                              double goal)
{
    rows_.push_back(
        {std::move(name), value, std::move(unit), goal_kind::at_least, goal});
}

void measure_report::at_most(std::string name, double value, std::string unit,
                             double goal)
{
    rows_.push_back(
        {std::move(name), value, std::move(unit), goal_kind::at_most, goal});
}

void measure_report::note(std::string text)
{
    notes_.push_back(std::move(text));
}

std::string measure_report::text() const
{
    std::size_t width = 0;
    for (auto const& row : rows_)
    {
        width = std::max(width, row.name_.size());
    }
    std::string result = "== " + title_ + '\n';
    for (auto const& row : rows_)
    {
        result += pad(row.name_, width + 2);
        result += pad(format_number(row.value_), 10) + pad(row.unit_, 16);
        result += format_goal(row) + '\n';
    }
    for (auto const& note : notes_)
    {
        result += note + '\n';
    }
    return result;
}

} // namespace daisytrail
