// Tests of settings that change while a process runs.
#include "config/settings_change.hpp"
#include "config/settings_file.hpp"
#include "net/settings_follower.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

using namespace daisytrail;

namespace
{

// A change without a signal takes effect within this time.
constexpr std::chrono::milliseconds noticed_within{1'500};

std::string settings_with(std::string const& seeds,
                          std::string const& name = "agent-1")
{
    return "{\"name\": \"" + name +
           "\", \"failure_domain\": \"a\", \"organisation\": \"o\","
           "\"service\": \"s\", \"tunnel\": \"127.0.0.1:1\","
           "\"backend\": \"127.0.0.1:2\", \"outbound\": \"127.0.0.1:3\","
           "\"control\": \"127.0.0.1:4\", \"http\": \"127.0.0.1:5\","
           "\"seeds\": [" +
           seeds + "], \"keys\": [\"" + std::string(64, '0') + "\"]}";
}

// A settings file, and the seeds that its follower was told of.
class followed_file
{
public:
    followed_file()
        : path_("/tmp/settings-follower-" + std::to_string(getpid()))
    {
        write(settings_with("\"10.0.0.1:7\""));
        follower_ = std::make_unique<settings_follower>(
            io_, path_,
            [this](std::string const& text)
            {
                ++parsed_;
                return check_settings(path_, text, parse_forward_agent_settings)
                    .agent_.common_;
            },
            [this](std::vector<endpoint> const& seeds)
            { changes_.push_back(seeds); });
    }

    ~followed_file()
    {
        std::remove(path_.c_str());
    }

    followed_file(followed_file const&) = delete;
    followed_file& operator=(followed_file const&) = delete;

    void write(std::string const& text) const
    {
        std::ofstream(path_) << text;
    }

    void run_for(std::chrono::milliseconds time)
    {
        io_.restart();
        io_.run_for(time);
    }

    std::string path_;
    boost::asio::io_context io_;
    std::vector<std::vector<endpoint>> changes_;
    int parsed_ = 0;
    std::unique_ptr<settings_follower> follower_;
};

std::vector<endpoint> const new_seeds{{0x0A000002, 7}, {0x0A000003, 7}};
std::string const new_text = "\"10.0.0.2:7\", \"10.0.0.3:7\"";

} // namespace

// RECOVER: the seeds of a process stayed those of its start.
TEST_CASE("seeds that change without a signal are followed")
{
    followed_file file;
    file.write(settings_with(new_text));
    file.run_for(noticed_within);
    REQUIRE(file.changes_.size() == 1);
    CHECK(file.changes_.front() == new_seeds);
    // The same text is neither parsed nor reported again.
    auto const parsed = file.parsed_;
    file.run_for(noticed_within);
    CHECK(file.changes_.size() == 1);
    CHECK(file.parsed_ == parsed);
}

TEST_CASE("seeds are followed at once on SIGHUP, and the process lives on")
{
    followed_file file;
    file.write(settings_with(new_text));
    std::raise(SIGHUP);
    file.run_for(std::chrono::milliseconds(100));
    REQUIRE(file.changes_.size() == 1);
    CHECK(file.changes_.front() == new_seeds);
}

TEST_CASE("a settings file that is half written, missing or refused leaves the "
          "settings as they are")
{
    followed_file file;
    auto const valid = settings_with(new_text);
    file.write(valid.substr(0, valid.size() / 2));
    file.follower_->reload();
    file.write("");
    file.follower_->reload();
    std::remove(file.path_.c_str());
    file.follower_->reload();
    file.write(settings_with("\"10.0.0.2\""));
    file.follower_->reload();
    CHECK(file.changes_.empty());
    file.write(valid);
    file.follower_->reload();
    REQUIRE(file.changes_.size() == 1);
    CHECK(file.changes_.front() == new_seeds);
}

// A file that is refused must not hide a later return to the former text.
TEST_CASE("settings that go back to a former version are followed")
{
    followed_file file;
    file.write(settings_with(new_text));
    file.follower_->reload();
    file.write(settings_with("\"10.0.0.1:7\""));
    file.follower_->reload();
    REQUIRE(file.changes_.size() == 2);
    CHECK(file.changes_.back() == std::vector<endpoint>{{0x0A000001, 7}});
}

TEST_CASE("settings that need a restart are named, and those that are followed "
          "aren't")
{
    auto const before = settings_with("\"10.0.0.1:7\"");
    CHECK(changed_fixed_settings(before, before).empty());
    CHECK(changed_fixed_settings(before, settings_with(new_text)).empty());
    CHECK(changed_fixed_settings(before, settings_with("", "agent-2")) ==
          std::vector<std::string>{"name"});
    CHECK(changed_fixed_settings("{\"a\": 1, \"b\": [1, 2]}",
                                 "{\"b\": [1, 3], \"c\": 1}") ==
          std::vector<std::string>{"a", "b", "c"});
}
