// Table of measured values with their goals.
#pragma once

#include <string>
#include <vector>

namespace daisytrail
{

enum class goal_kind
{
    none,
    at_least,
    at_most
};

struct measured_row
{
    std::string name_;
    double value_ = 0.0;
    std::string unit_;
    goal_kind kind_ = goal_kind::none;
    double goal_ = 0.0;
};

class measure_report
{
public:
    explicit measure_report(std::string title) : title_(std::move(title)) {}

    // Adds a value without a goal.
    void add(std::string name, double value, std::string unit);
    void at_least(std::string name, double value, std::string unit,
                  double goal);
    void at_most(std::string name, double value, std::string unit, double goal);
    void note(std::string text);

    // Returns the table: one line per value, with its goal and "met" or
    // "NOT MET".
    std::string text() const;

private:
    std::string title_;
    std::vector<measured_row> rows_;
    std::vector<std::string> notes_;
};

} // namespace daisytrail
