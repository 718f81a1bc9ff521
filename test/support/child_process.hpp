// A program that a test runs as a process of its own, with its output in a
// file.
#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace daisytrail
{

class child_process
{
public:
    // Starts the program; its standard output and errors are appended to `log`.
    // Throws std::system_error.
    child_process(std::string const& program,
                  std::vector<std::string> const& arguments,
                  std::string const& log);

    // Kills the process if it is still there, and waits for its end.
    ~child_process();

    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    void signal(int number) const;

    // Waits for its end.
    void wait();

    // Without waiting: whether it has ended.
    bool has_ended();

private:
    pid_t id_ = 0; // 0 once its end was waited for
};

} // namespace daisytrail
