// Start, signals and end of a child process.
#include "support/child_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace daisytrail
{

child_process::child_process(std::string const& program,
                             std::vector<std::string> const& arguments,
                             std::string const& log)
{
    std::vector<std::string> words{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(words.size() + 1);
    for (auto& word : words)
    {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);
    constexpr mode_t readable = 0644;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, readable);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    int const failure = posix_spawn(&id_, program.c_str(), &actions, nullptr,
                                    pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
    {
        throw std::system_error(failure, std::generic_category(), program);
    }
}

child_process::~child_process()
{
    if (id_ != 0)
    {
        signal(SIGKILL);
        wait();
    }
}

void child_process::signal(int number) const
{
    if (id_ != 0)
    {
        ::kill(id_, number);
    }
}

void child_process::wait()
{
    if (id_ != 0)
    {
        ::waitpid(id_, nullptr, 0);
        id_ = 0;
    }
}

bool child_process::has_ended()
{
    if (id_ != 0 && ::waitpid(id_, nullptr, WNOHANG) == id_)
    {
        id_ = 0;
    }
    return id_ == 0;
}

} // namespace daisytrail
