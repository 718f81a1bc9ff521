// A program that a test runs as a child process with its output in a file.
#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace daisytrail
{

class child_process
{
public:
    // Starts the program and appends its standard output and standard error to
    // `log`. Throws std::system_error.
    child_process(std::string const& program,
                  std::vector<std::string> const& arguments,
                  std::string const& log);

    // Kills the process if it is still running and waits for its end.
    ~child_process();

    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    void signal(int number) const;

    // Waits until the process ends.
    void wait();

    // Returns whether the process has ended, without waiting.
    bool has_ended();

private:
    pid_t id_ = 0; // 0 after the process was reaped
};

} // namespace daisytrail
