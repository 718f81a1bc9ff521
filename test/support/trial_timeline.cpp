// Timers and HTTP calls of a trial.
#include "support/trial_timeline.hpp"

#include "net/http_call.hpp"

#include <boost/asio/steady_timer.hpp>

#include <iostream>
#include <memory>
#include <utility>

namespace daisytrail
{

using std::chrono::milliseconds;

namespace
{

constexpr milliseconds poll_interval{50};

} // namespace

void trial_timeline::run_after(milliseconds time, std::function<void()> task)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, time);
    timer->async_wait(
        [timer, task = std::move(task)](boost::system::error_code code)
        {
            if (!code)
            {
                task();
            }
        });
}

void trial_timeline::when_ended(child_process& process, milliseconds min_delay,
                                std::function<void()> task)
{
    run_after(min_delay,
              [this, &process, task = std::move(task)]() mutable
              {
                  if (process.has_ended())
                  {
                      task();
                      return;
                  }
                  when_ended(process, poll_interval, std::move(task));
              });
}

void trial_timeline::call(endpoint const& peer, boost::beast::http::verb method,
                          std::string const& path, std::string const& body,
                          milliseconds timeout,
                          std::function<void(bool done)> on_end)
{
    constexpr unsigned http_version = 11;
    constexpr int success = 200;
    http_request request{method, path, http_version};
    request.keep_alive(false);
    request.body() = body;
    async_http_call(io_, peer, std::move(request), timeout,
                    [on_end = std::move(on_end)](http_outcome const& outcome) {
                        on_end(!outcome.error_ &&
                               outcome.response_.result_int() == success);
                    });
}

void log_line(std::string const& text)
{
    auto const now = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
    std::cout << now.count() << " ms: " << text << std::endl;
}

} // namespace daisytrail
