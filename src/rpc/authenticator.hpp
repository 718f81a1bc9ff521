// Authenticates datagrams between balancers and agents by a keyed BLAKE2b code
// over sender, session, sequence number and payload. A replay window per sender
// rejects duplicates.
//
// A session is one run of a process. Receivers accept the datagrams of one
// session per sender. A session with a higher number than all earlier ones
// replaces the current session at once. Any other session may be a replay, or
// the process started with an earlier time of day. The receiver then challenges
// it with a nonce, and accepts the session once the process returns the nonce,
// which a replay can't.
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
    // Received before, or older than the replay window.
    replayed,
    // The session isn't the sender's current one. The reply challenges it.
    unproven_session,
    handshake, // a challenge or its answer, without a payload for the caller
    too_many_senders,
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(open_verdict::count)>
    open_verdict_names{"accepted",        "too_short",        "bad_code",
                       "replayed",        "unproven_session", "handshake",
                       "too_many_senders"};

// Bytes that seal() adds to the payload. A multiple of 8, so that the payload
// of an 8-byte aligned datagram is aligned too.
inline constexpr std::size_t seal_bytes = 40;

struct opened_datagram
{
    open_verdict verdict_ = open_verdict::too_short;
    std::uint64_t sender_ = 0;
    std::uint64_t session_ = 0;
    std::span<std::byte const> payload_; // points into the datagram
    // Sealed handshake datagram to return to the sender; empty if there is
    // none.
    std::vector<std::byte> reply_;
    // The datagram proved that its session is the sender's running process.
    bool admits_session_ = false;
};

// Returns a session number for a process that starts now. It increases with
// the time of day, and its low bits are random: two runs that start at the same
// time of day have different sessions.
std::uint64_t make_session();

// Seals outgoing datagrams of a process on one channel and verifies incoming
// ones:
//   authenticator link(settings.keys_, hash_name(settings.name_),
//                      make_session(), datagram_channel::control);
//   socket.send_to(buffer(link.seal(payload)), peer);
class authenticator
{
public:
    // Each of `keys` is 32 bytes in hex. The first key signs and all keys
    // verify. To rotate a key, first add the new key in all processes, then
    // move it to the front, then remove the old key. `session` must differ
    // between the runs of a process. Throws error(invalid_argument) if a key is
    // malformed or there is none.
    authenticator(std::vector<std::string> const& keys, std::uint64_t sender,
                  std::uint64_t session, datagram_channel channel);

    std::vector<std::byte> seal(std::span<std::byte const> payload);

    // Verifies the authentication code, then checks for replays. The caller
    // sends the reply, if there is one, to the source of the datagram.
    opened_datagram open(std::span<std::byte const> datagram, time_point now);

private:
    using key = std::array<unsigned char, 32>;

    // Bit i of received_ is set if sequence newest_sequence_ - i was received.
    struct replay_window
    {
        std::uint64_t session_ = 0;
        std::uint64_t highest_session_ = 0; // of all accepted ones
        std::uint64_t session_changes_ = 0; // limits a proof to one use
        std::uint64_t newest_sequence_ = 0;
        std::uint64_t received_ = 0;
        time_point last_received_at_;
    };

    // Kinds of handshake datagrams.
    enum class handshake_kind : std::uint64_t
    {
        challenge = 1,
        proof = 2
    };

    // Payload of a handshake datagram: these words in little endian. Its
    // sequence number is 0, which no other datagram has.
    struct handshake
    {
        handshake_kind kind_ = handshake_kind::challenge;
        std::uint64_t addressee_ = 0; // process that it is for
        std::uint64_t session_ = 0;   // session that is challenged or proved
        std::uint64_t nonce_ = 0;     // chosen by the challenger
    };

    bool verify(std::span<std::byte const> datagram) const;
    std::vector<std::byte> seal_datagram(std::span<std::byte const> payload,
                                         std::uint64_t sequence) const;
    open_verdict check_replay(opened_datagram const& datagram,
                              std::uint64_t sequence, time_point now);
    static bool accept_sequence(replay_window& window, std::uint64_t sequence,
                                time_point now);
    static void begin_session(replay_window& window, std::uint64_t session,
                              time_point now);
    void handle_handshake(opened_datagram& datagram, time_point now);
    bool admit_proven_session(handshake const& proof, std::uint64_t sender,
                              time_point now);
    std::vector<std::byte> seal_handshake(handshake const& value) const;
    std::uint64_t compute_nonce(std::uint64_t sender, std::uint64_t session,
                                std::int64_t period) const;
    void remove_idle_senders(time_point now);

    std::vector<key> keys_; // never empty
    std::uint64_t sender_;
    std::uint64_t session_;
    std::uint64_t sequence_ = 0; // of the last datagram; starts at 1
    datagram_channel channel_;
    key nonce_key_{}; // random; never leaves this process
    std::unordered_map<std::uint64_t, replay_window> windows_;
    time_point last_sweep_at_;
};

} // namespace daisytrail
