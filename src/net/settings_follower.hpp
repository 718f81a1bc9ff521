// Follows a daemon's settings file while the daemon runs. The file is read
// again on SIGHUP and at a fixed interval, since it may change without a
// signal. Only the seeds take effect at once.
#pragma once

#include "net/periodic_timer.hpp"

#include <daisytrail/settings.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <string>
#include <vector>

namespace daisytrail
{

class settings_follower
{
public:
    // Returns the common part of the settings in `text`. Throws
    // daisytrail::error if they are invalid.
    using parser = std::function<common_settings(std::string const& text)>;
    using seeds_handler = std::function<void(std::vector<endpoint> const&)>;

    // Reads the file for the first time. `on_seeds` is called with the seeds of
    // each later version of the file that has others.
    settings_follower(boost::asio::io_context& io, std::string path,
                      parser parse, seeds_handler on_seeds);
    ~settings_follower();
    settings_follower(settings_follower const&) = delete;
    settings_follower& operator=(settings_follower const&) = delete;

    // Reads the file again. A file that can't be read or that is invalid leaves
    // the settings as they are; it is logged once and read again later.
    void reload();

private:
    void wait_for_signal();
    void apply(std::string const& text);
    void log_failure(std::string const& reason);

    std::string path_;
    parser parse_;
    seeds_handler on_seeds_;
    std::string seen_text_;    // of the last reading, valid or not
    std::string applied_text_; // of the last valid reading
    std::vector<endpoint> seeds_;
    std::string failure_; // of the last reading; empty if it was valid
    periodic_timer timer_;
    boost::asio::signal_set signals_;
};

// Ignores SIGHUP until a settings_follower handles it: by default the signal
// ends the process.
void ignore_early_reload_signal();

} // namespace daisytrail
