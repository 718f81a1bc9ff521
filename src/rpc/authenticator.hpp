// Authentication of datagrams between the system's processes: a keyed BLAKE2b
// code over sender, session, sequence and payload, and a replay window for
// each sender.
#pragma once

#include <daisytrail/types.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

// A datagram of one channel is never valid on another.
enum class datagram_channel : std::uint8_t
{
    control,       // membership and configuration
    flow_ownership // flow ownership between agents
};

// Why a datagram was refused; each has its own counter.
enum class open_verdict : std::uint8_t
{
    accepted,
    too_short,
    bad_code, // no key of ours made it
    replayed, // seen before, or too far behind the newest
    too_many_senders,
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(open_verdict::count)>
    open_verdict_names{"accepted", "too_short", "bad_code", "replayed",
                       "too_many_senders"};

// Bytes that seal() adds; a multiple of 8, so that an aligned datagram has an
// aligned payload.
inline constexpr std::size_t seal_bytes = 40;

struct opened_datagram
{
    open_verdict verdict_ = open_verdict::too_short;
    std::uint64_t sender_ = 0;
    std::span<std::byte const> payload_; // points into the datagram
};

// Seals and opens datagrams of one process on one channel:
//   authenticator link(settings.keys_, hash_name(settings.name_), start_ms,
//                      datagram_channel::control);
//   socket.send_to(buffer(link.seal(payload)), peer);
class authenticator
{
public:
    // `keys` are 32 bytes in hex; the first signs and all verify, so that a
    // key is changed by adding the new one everywhere, then putting it first,
    // then removing the old one. `session` is the start time of the process
    // and must grow with each restart. Throws error(invalid_argument).
    authenticator(std::vector<std::string> const& keys, std::uint64_t sender,
                  std::uint64_t session, datagram_channel channel);

    std::vector<std::byte> seal(std::span<std::byte const> payload);

    // Verifies the code first, then that the datagram is new.
    opened_datagram open(std::span<std::byte const> datagram, time_point now);

private:
    using key = std::array<unsigned char, 32>;

    // Bit i of received_ stands for sequence newest_sequence_ - i.
    struct replay_window
    {
        std::uint64_t session_ = 0;
        std::uint64_t newest_sequence_ = 0;
        std::uint64_t received_ = 0;
        time_point last_received_at_;
    };

    bool verify(std::span<std::byte const> datagram) const;
    open_verdict check_replay(std::uint64_t sender, std::uint64_t session,
                              std::uint64_t sequence, time_point now);
    void remove_idle_senders(time_point now);

    std::vector<key> keys_; // never empty
    std::uint64_t sender_;
    std::uint64_t session_;
    std::uint64_t sequence_ = 0;
    datagram_channel channel_;
    std::unordered_map<std::uint64_t, replay_window> windows_;
    time_point last_sweep_at_;
};

} // namespace daisytrail
