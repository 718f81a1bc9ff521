// Record of the orders that the stand-in backend server has worked on. Tests
// use it to detect an order that ran twice.
#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <cstdio>
#include <fcntl.h>
#include <map>
#include <string>
#include <unistd.h>

namespace daisytrail
{

struct order_counts
{
    std::uint32_t started_ = 0;
    std::uint32_t finished_ = 0;
    std::uint32_t cancelled_ = 0;
};

// Counts per order how often it was started, finished and cancelled, and
// appends each event to a file if one is named.
class order_ledger
{
public:
    explicit order_ledger(std::string const& file)
    {
        if (!file.empty())
        {
            file_ = ::open(file.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
        }
    }

    void record_started(std::string const& id)
    {
        ++orders_[id].started_;
        append('S', id);
    }

    void record_finished(std::string const& id)
    {
        ++orders_[id].finished_;
        append('F', id);
    }

    void record_cancelled(std::string const& id)
    {
        ++orders_[id].cancelled_;
        append('C', id);
    }

    boost::json::object to_json() const
    {
        boost::json::object out;
        for (auto const& [id, entry] : orders_)
        {
            out[id] = boost::json::object{{"started", entry.started_},
                                          {"finished", entry.finished_},
                                          {"cancelled", entry.cancelled_}};
        }
        return out;
    }

private:
    void append(char event, std::string const& id) const
    {
        if (file_ < 0)
        {
            return;
        }
        auto const line = std::string(1, event) + ' ' + id + '\n';
        if (::write(file_, line.data(), line.size()) < 0)
        {
            std::perror("ledger");
        }
    }

    std::map<std::string, order_counts> orders_;
    int file_ = -1;
};

} // namespace daisytrail
