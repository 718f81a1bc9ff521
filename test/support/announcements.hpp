// Announcements of backend servers as tests send them.
#pragma once

#include <daisytrail/backend_lifecycle.hpp>

#include <cstdint>
#include <string>

namespace daisytrail::test
{

inline backend_announcement
make_announcement(std::string const& id, std::uint64_t started,
                  std::uint64_t sequence,
                  backend_phase phase = backend_phase::ready)
{
    backend_announcement value;
    value.id_ = id;
    value.service_ = "orders";
    value.started_at_ms_ = started;
    value.sequence_ = sequence;
    value.phase_ = phase;
    return value;
}

} // namespace daisytrail::test
