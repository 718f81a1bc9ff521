// Parses the stored value of a template, all at once or in pieces between which
// the event loop forwards packets.
#pragma once

#include "net/adopted_template.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace daisytrail
{

// Result of parsing a value. The version of an invalid template may be known.
struct parsed_template
{
    std::string text_;
    std::optional<template_version> version_;
    adopted_template_ptr template_; // nullptr: invalid
    std::string fault_;             // why it's invalid
};

class template_parser
{
public:
    explicit template_parser(std::string text);
    ~template_parser();

    // Does the next piece of the work; returns true when all is done.
    bool advance();

    // Returns the result. To be called once, after advance() returned true.
    parsed_template take();

private:
    struct state;

    bool advance_unless_invalid();
    void read_text();
    void begin_routes();
    bool read_routes();

    parsed_template result_;
    std::unique_ptr<state> state_; // nullptr once all is done
};

parsed_template parse_template(std::string text);

// Makes the result the one that the next calls of parse_adopted_template(),
// check_adopted_template() and version_of() with this text return.
void remember_parsed_template(parsed_template parsed);

// Parses values in pieces on the event loop.
class template_reader
{
public:
    // Receives the text once its result is remembered.
    using handler = std::function<void(std::string text)>;

    explicit template_reader(boost::asio::io_context& io);

    void read(std::string text, handler const& done);

private:
    void advance(std::shared_ptr<template_parser> const& parser,
                 handler const& done);

    boost::asio::io_context& io_;
    std::shared_ptr<bool> alive_; // its expiry ends the work in progress
};

} // namespace daisytrail
