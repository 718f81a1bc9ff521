// daisytrail-load: generates open-loop load on services from a seed. Latency is
// measured from the intended start of each request, so that a stalled system
// can't hide its delay (coordinated omission). The content of answers is
// verified, and orders are compared with the backend servers' ledgers.
#include "support/load_plan.hpp"

#include <daisytrail/error.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <xxhash.h>

#include <fstream>
#include <iostream>
#include <map>
#include <random>

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using namespace daisytrail;
using namespace daisytrail::test;
using clock_type = std::chrono::steady_clock;
using request_type = http::request<http::string_body>;
using response_type = http::response<http::string_body>;

constexpr std::chrono::seconds work_timeout{60};
constexpr std::chrono::milliseconds feed_interval{500};
// A feed without a line for this long counts as broken.
constexpr std::chrono::seconds feed_read_timeout{30};

double milliseconds(clock_type::duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

std::string hex(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(value));
    return text.data();
}

// Response to a request and the outcome as the caller saw it.
struct exchange
{
    work_result result_ = work_result::broken;
    response_type response_;
};

class load
{
public:
    load(asio::io_context& io, std::uint64_t seed, std::chrono::seconds length)
        : io_(io), random_(seed), seed_(seed), start_(clock_type::now()),
          end_(start_ + length)
    {
    }

    void add(service_plan const& plan)
    {
        auto& report = reports_.emplace_back();
        report.service_ = plan.service_;
        plans_.push_back(plan);
    }

    void start()
    {
        for (std::size_t i = 0; i < plans_.size(); ++i)
        {
            auto const& plan = plans_[i];
            for (double feed = 0; feed < plan.feeds_; ++feed)
            {
                spawn(run_feed(i, feed));
            }
            spawn(arrivals(i, work_kind::order, plan.orders_));
            spawn(arrivals(i, work_kind::fetch, plan.fetches_));
            spawn(arrivals(i, work_kind::straggler, plan.stragglers_));
            spawn(arrivals(i, work_kind::upload, plan.uploads_));
        }
    }

    std::vector<service_report> const& reports() const
    {
        return reports_;
    }

    order_log const& orders() const
    {
        return orders_;
    }

private:
    void spawn(asio::awaitable<void> work)
    {
        asio::co_spawn(io_, std::move(work), asio::detached);
    }

    double rate_factor(service_plan const& plan) const
    {
        double const at =
            std::chrono::duration<double>(clock_type::now() - start_).count();
        bool const is_peak = at >= plan.peak_start_s_ && at < plan.peak_end_s_;
        return is_peak ? plan.peak_factor_ : 1;
    }

    // Starts requests as a Poisson process with `rate` arrivals per second.
    asio::awaitable<void> arrivals(std::size_t service, work_kind kind,
                                   double rate)
    {
        asio::steady_timer timer(io_);
        auto next = start_;
        while (rate > 0)
        {
            double const factor = rate_factor(plans_[service]);
            std::exponential_distribution<> gap(rate * factor);
            next += std::chrono::duration_cast<clock_type::duration>(
                std::chrono::duration<double>(gap(random_)));
            if (next >= end_)
            {
                co_return;
            }
            timer.expires_at(next);
            co_await timer.async_wait(asio::use_awaitable);
            spawn(run_work(service, kind, next, ++last_work_number_));
        }
    }

    asio::awaitable<exchange> call(service_plan const& plan,
                                   request_type request)
    {
        exchange completed;
        beast::tcp_stream stream(io_);
        beast::error_code code;
        auto await = asio::redirect_error(asio::use_awaitable, code);
        request.set(http::field::host, plan.service_);
        request.set("X-Expect-Service", plan.service_);
        request.keep_alive(false);
        request.prepare_payload();
        stream.expires_after(work_timeout);
        co_await stream.async_connect(
            {asio::ip::address_v4(plan.address_.address_), plan.address_.port_},
            await);
        if (code)
        {
            co_return completed;
        }
        // Reads the response even if the write failed: the server may refuse
        // the request before it has received the whole body.
        co_await http::async_write(stream, request, await);
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(64U << 20U);
        co_await http::async_read(stream, buffer, parser, await);
        if (code)
        {
            completed.result_ = parser.is_header_done() ? work_result::truncated
                                                        : work_result::broken;
            co_return completed;
        }
        completed.response_ = parser.release();
        completed.result_ = classify(plan, completed.response_);
        beast::error_code ignored;
        stream.socket().shutdown(asio::socket_base::shutdown_both, ignored);
        co_return completed;
    }

    static work_result classify(service_plan const& plan,
                                response_type const& response)
    {
        auto const service = response["X-Service"];
        if (!service.empty() && service != plan.service_)
        {
            return work_result::wrong_service;
        }
        auto const outcome = response["Daisytrail-Outcome"];
        if (outcome == "not-run")
        {
            return work_result::refused;
        }
        if (outcome == "unknown")
        {
            return work_result::unknown;
        }
        return response.result_int() < 300 ? work_result::answered
                                           : work_result::failed;
    }

    request_type make_request(service_plan const& plan, work_kind kind,
                              std::string const& id)
    {
        request_type request;
        request.version(11);
        bool const is_straggler = kind == work_kind::straggler;
        auto const work =
            "work_ms=" +
            std::to_string(is_straggler ? plan.straggler_ms_ : plan.work_ms_);
        switch (kind)
        {
        case work_kind::order:
            request.method(http::verb::post);
            request.target("/orders?" + work);
            request.set(http::field::content_type, "application/json");
            request.body() = R"({"order":")" + id + R"("})";
            break;
        case work_kind::upload:
            request.method(http::verb::put);
            request.target("/waybills/" + id + "?" + work);
            request.body().resize(
                static_cast<std::size_t>(plan.upload_kb_ * 1'000));
            std::generate(request.body().begin(), request.body().end(),
                          [this] { return static_cast<char>(random_()); });
            break;
        default:
            request.method(http::verb::get);
            request.target((is_straggler ? "/sheets/slow-" : "/sheets/") + id +
                           "?" + work);
            break;
        }
        return request;
    }

    // Returns whether the answer belongs to the request and is intact.
    static bool answer_matches(work_kind kind, std::string const& id,
                               request_type const& request,
                               response_type const& response)
    {
        auto const& body = response.body();
        if (kind == work_kind::order)
        {
            return body.find('"' + id + '"') != std::string::npos;
        }
        if (kind == work_kind::upload)
        {
            auto const hash =
                hex(XXH3_64bits(request.body().data(), request.body().size()));
            return body.find(hash) != std::string::npos;
        }
        return response["X-Content-XXH3"] ==
                   hex(XXH3_64bits(body.data(), body.size())) &&
               body.find(id + " service") != std::string::npos;
    }

    asio::awaitable<void> run_work(std::size_t service, work_kind kind,
                                   clock_type::time_point intended,
                                   std::uint64_t number)
    {
        auto const plan = plans_[service];
        auto const id = std::to_string(seed_) + "-" + std::to_string(number);
        auto const request = make_request(plan, kind, id);
        auto completed = co_await call(plan, request);
        if (completed.result_ == work_result::answered &&
            !answer_matches(kind, id, request, completed.response_))
        {
            completed.result_ = work_result::wrong_answer;
        }
        double const latency = milliseconds(clock_type::now() - intended);
        auto& report = reports_[service].work_[static_cast<std::size_t>(kind)];
        ++report.results_[static_cast<std::size_t>(completed.result_)];
        if (completed.result_ == work_result::answered)
        {
            report.latencies_ms_.push_back(latency);
        }
        else if (completed.result_ == work_result::refused)
        {
            report.refusal_latencies_ms_.push_back(latency);
        }
        if (kind == work_kind::order)
        {
            log_order(id, completed.result_);
        }
    }

    void log_order(std::string const& id, work_result result)
    {
        auto& list = result == work_result::answered  ? orders_.answered_
                     : result == work_result::refused ? orders_.refused_
                                                      : orders_.unknown_;
        list.push_back(id);
    }

    // Reads numbered lines until the load ends.
    asio::awaitable<void> run_feed(std::size_t service, double number)
    {
        auto const plan = plans_[service];
        asio::steady_timer timer(io_);
        // Spreads the start of the feeds over the first second to avoid a
        // burst of connections.
        timer.expires_at(
            start_ + std::chrono::duration_cast<clock_type::duration>(
                         std::chrono::duration<double>(number / plan.feeds_)));
        co_await timer.async_wait(asio::use_awaitable);
        auto& report =
            reports_[service].work_[static_cast<std::size_t>(work_kind::feed)];
        auto const result = co_await read_feed(plan, report);
        ++report.results_[static_cast<std::size_t>(result)];
    }

    asio::awaitable<work_result> read_feed(service_plan const& plan,
                                           work_report& report)
    {
        beast::tcp_stream stream(io_);
        beast::error_code code;
        auto await = asio::redirect_error(asio::use_awaitable, code);
        stream.expires_after(feed_read_timeout);
        co_await stream.async_connect(
            {asio::ip::address_v4(plan.address_.address_), plan.address_.port_},
            await);
        request_type request(
            http::verb::get,
            "/feed?interval_ms=" + std::to_string(feed_interval.count()), 11);
        request.set(http::field::host, plan.service_);
        request.set("X-Expect-Service", plan.service_);
        co_await http::async_write(stream, request, await);
        beast::flat_buffer buffer;
        http::response_parser<http::buffer_body> parser;
        parser.body_limit(boost::none);
        if (!code)
        {
            co_await http::async_read_header(stream, buffer, parser, await);
        }
        if (code)
        {
            co_return work_result::broken;
        }
        if (parser.get().result_int() != 200)
        {
            co_return parser.get()["Daisytrail-Outcome"] == "not-run"
                ? work_result::refused
                : work_result::failed;
        }
        std::string lines;
        std::uint64_t expected = 1;
        auto last = clock_type::now();
        std::array<char, 4'096> chunk{};
        while (clock_type::now() < end_)
        {
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            stream.expires_after(feed_read_timeout);
            co_await http::async_read_some(stream, buffer, parser, await);
            if (code && code != http::error::need_buffer)
            {
                co_return work_result::broken;
            }
            lines.append(chunk.data(), chunk.size() - parser.get().body().size);
            auto const now = clock_type::now();
            for (auto end = lines.find('\n'); end != std::string::npos;
                 end = lines.find('\n'))
            {
                auto const wanted =
                    std::to_string(expected) + ' ' + plan.service_;
                if (lines.compare(0, end, wanted) != 0)
                {
                    co_return lines.find(plan.service_) == std::string::npos
                        ? work_result::wrong_service
                        : work_result::wrong_answer;
                }
                lines.erase(0, end + 1);
                ++expected;
                report.longest_gap_ms_ =
                    std::max(report.longest_gap_ms_, milliseconds(now - last));
                last = now;
            }
            if (parser.is_done())
            {
                co_return work_result::truncated;
            }
        }
        co_return work_result::answered;
    }

    asio::io_context& io_;
    std::mt19937_64 random_;
    std::uint64_t seed_;
    clock_type::time_point start_;
    clock_type::time_point end_;
    std::vector<service_plan> plans_;
    std::vector<service_report> reports_; // parallel to plans_
    order_log orders_;
    std::uint64_t last_work_number_ = 0;
};

struct ledger_counts
{
    std::uint64_t started_ = 0;
    std::uint64_t finished_ = 0;
};

// Reads ledger files with one event per line: "S ID" for a started order and
// "F ID" for a finished order.
std::map<std::string, ledger_counts>
read_ledgers(std::vector<std::string> const& files)
{
    std::map<std::string, ledger_counts> counts;
    for (auto const& name : files)
    {
        std::ifstream file(name);
        if (!file)
        {
            throw error(error_kind::not_found,
                        "can't read ledger '" + name + "'");
        }
        std::string event;
        std::string id;
        while (file >> event >> id)
        {
            counts[id].started_ += event == "S" ? 1 : 0;
            counts[id].finished_ += event == "F" ? 1 : 0;
        }
    }
    return counts;
}

ledger_report compare(order_log const& orders,
                      std::map<std::string, ledger_counts> const& ledger)
{
    ledger_report report;
    for (auto const& [id, counts] : ledger)
    {
        report.started_ += counts.started_ > 0 ? 1 : 0;
        report.started_twice_ += counts.started_ > 1 ? 1 : 0;
    }
    for (auto const& id : orders.refused_)
    {
        report.refused_but_ran_ += ledger.contains(id) ? 1 : 0;
    }
    for (auto const& id : orders.answered_)
    {
        auto const found = ledger.find(id);
        bool const finished =
            found != ledger.end() && found->second.finished_ > 0;
        report.answered_not_run_ += finished ? 0 : 1;
    }
    return report;
}

// Counts the outcomes that no planned change may cause.
std::uint64_t count_failures(std::vector<service_report> const& reports)
{
    constexpr std::array faults{
        work_result::broken, work_result::truncated, work_result::wrong_answer,
        work_result::wrong_service, work_result::failed};
    std::uint64_t count = 0;
    for (auto const& report : reports)
    {
        for (auto const& work : report.work_)
        {
            for (auto const fault : faults)
            {
                count += work.results_[static_cast<std::size_t>(fault)];
            }
        }
    }
    return count;
}

int run(int argc, char** argv)
{
    CLI::App app{"Open-loop load on services, from a seed."};
    std::vector<std::string> plans;
    std::vector<std::string> ledgers;
    std::uint64_t seed = 1;
    unsigned seconds = 10;
    bool as_json = false;
    app.add_option(
           "--service", plans,
           "\"NAME=ADDRESS:PORT feeds=100 orders=50\"; see load_plan.hpp")
        ->required();
    app.add_option("--ledger", ledgers, "ledger file of a backend server");
    app.add_option("--seed", seed, "seed of the arrivals");
    app.add_option("--seconds", seconds, "length of the load");
    app.add_flag("--json", as_json, "print one JSON object");
    CLI11_PARSE(app, argc, argv);

    asio::io_context io(1);
    load work(io, seed, std::chrono::seconds(seconds));
    for (auto const& plan : plans)
    {
        work.add(parse_plan(plan));
    }
    work.start();
    io.run();

    auto const ledger = compare(work.orders(), read_ledgers(ledgers));
    auto const faults = count_failures(work.reports());
    bool const checked = !ledgers.empty();
    bool const passed =
        faults == 0 &&
        (!checked || ledger.started_twice_ + ledger.refused_but_ran_ +
                             ledger.answered_not_run_ ==
                         0);
    if (as_json)
    {
        boost::json::array services;
        for (auto const& report : work.reports())
        {
            services.push_back(to_json(report));
        }
        std::cout << boost::json::serialize(boost::json::object{
                         {"seed", seed},
                         {"services", services},
                         {"orders_started", ledger.started_},
                         {"orders_doubled", ledger.started_twice_},
                         {"refused_but_ran", ledger.refused_but_ran_},
                         {"answered_not_run", ledger.answered_not_run_},
                         {"good", passed}})
                  << '\n';
    }
    else
    {
        std::cout << to_table(work.reports());
        if (checked)
        {
            std::cout << "orders started " << ledger.started_ << ", doubled "
                      << ledger.started_twice_ << ", told not run but ran "
                      << ledger.refused_but_ran_ << ", answered but not run "
                      << ledger.answered_not_run_ << '\n';
        }
    }
    return passed ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (std::exception const& failure)
    {
        std::cerr << "daisytrail-load: " << failure.what() << '\n';
        return 2;
    }
}
