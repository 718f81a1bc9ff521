// Authenticates datagrams between balancers and agents by a keyed BLAKE2b code
// over sender, session, sequence number and payload. A replay window per sender
// rejects duplicates.
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

// Purpose of a datagram, which its authentication code covers: a datagram of
// one channel is invalid on the other.
enum class datagram_channel : std::uint8_t
{
    control,       // membership and configuration
    flow_ownership // messages between agents about owners of flows
};

// Result of opening a datagram. Each verdict has its own counter.
enum class open_verdict : std::uint8_t
{
    accepted,
    too_short,
    bad_code, // no known key verifies the code
    // Received before, older than the replay window, or of an earlier session.
    replayed,
    too_many_senders,
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(open_verdict::count)>
    open_verdict_names{"accepted", "too_short", "bad_code", "replayed",
                       "too_many_senders"};

// Bytes that seal() adds to the payload. A multiple of 8, so that the payload
// of an 8-byte aligned datagram is aligned too.
inline constexpr std::size_t seal_bytes = 40;

struct opened_datagram
{
    open_verdict verdict_ = open_verdict::too_short;
    std::uint64_t sender_ = 0;
    std::span<std::byte const> payload_; // points into the datagram
};

// Seals outgoing datagrams of a process on one channel and verifies incoming
// ones:
//   authenticator link(settings.keys_, hash_name(settings.name_), start_ms,
//                      datagram_channel::control);
//   socket.send_to(buffer(link.seal(payload)), peer);
class authenticator
{
public:
    // Each of `keys` is 32 bytes in hex. The first key signs and all keys
    // verify. To rotate a key, first add the new key in all processes, then
    // move it to the front, then remove the old key. `session` is the start
    // time of the process and must increase with each restart. Throws
    // error(invalid_argument) if a key is malformed or there is none.
    authenticator(std::vector<std::string> const& keys, std::uint64_t sender,
                  std::uint64_t session, datagram_channel channel);

    std::vector<std::byte> seal(std::span<std::byte const> payload);

    // Verifies the authentication code, then checks for replays.
    opened_datagram open(std::span<std::byte const> datagram, time_point now);

private:
    using key = std::array<unsigned char, 32>;

    // Bit i of received_ is set if sequence newest_sequence_ - i was received.
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
