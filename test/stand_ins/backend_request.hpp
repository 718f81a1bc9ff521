// HTTP request to the stand-in backend server, with access to its query.
#pragma once

#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>

namespace daisytrail
{

struct backend_request
{
    boost::beast::http::request_header<> head_;
    std::string body_; // the beginning, up to max_retained_body_bytes
    std::uint64_t body_size_ = 0;
    std::uint64_t body_hash_ = 0;

    std::string path() const
    {
        std::string const target(head_.target());
        return target.substr(0, target.find('?'));
    }

    std::optional<std::string> query(std::string const& name) const
    {
        std::string const target(head_.target());
        auto at = target.find('?');
        while (at != std::string::npos)
        {
            auto const end = target.find('&', at + 1);
            auto const item = target.substr(at + 1, end - at - 1);
            if (item.rfind(name + '=', 0) == 0)
            {
                return item.substr(name.size() + 1);
            }
            at = end;
        }
        return std::nullopt;
    }

    double query_number(std::string const& name, double default_value) const
    {
        auto const value = query(name);
        return value ? std::strtod(value->c_str(), nullptr) : default_value;
    }
};

} // namespace daisytrail
