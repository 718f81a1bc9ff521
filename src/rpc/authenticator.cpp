// Seals and verifies datagrams, and admits sessions. Layout of a sealed
// datagram: authentication code (16 bytes), sender, session and sequence number
// (8 bytes each, little endian), payload.
#include "rpc/authenticator.hpp"

#include <daisytrail/error.hpp>

#include <sodium.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <random>

namespace daisytrail
{

namespace
{

constexpr std::size_t code_bytes = 16;
constexpr std::uint64_t window_size = 64;
constexpr std::size_t max_senders = 200'000;
constexpr auto sender_idle_limit = std::chrono::minutes(10);
// Sequence number of all handshake datagrams.
constexpr std::uint64_t handshake_sequence = 0;
// A nonce is valid in the period of its challenge and in the next one.
constexpr std::chrono::seconds nonce_period{2};
// Low bits of a session, which are random.
constexpr unsigned random_session_bits = 20;

using code = std::array<unsigned char, code_bytes>;

code compute_code(std::span<unsigned char const> key, datagram_channel channel,
                  std::span<std::byte const> covered)
{
    code result{};
    crypto_generichash_state state;
    crypto_generichash_init(&state, key.data(), key.size(), result.size());
    auto const tag = static_cast<unsigned char>(channel);
    crypto_generichash_update(&state, &tag, 1);
    crypto_generichash_update(
        &state, reinterpret_cast<unsigned char const*>(covered.data()),
        covered.size());
    crypto_generichash_final(&state, result.data(), result.size());
    return result;
}

std::uint64_t read_word(std::span<std::byte const> from, std::size_t at)
{
    std::uint64_t value = 0;
    std::memcpy(&value, from.data() + at, sizeof(value));
    return value;
}

std::int64_t period_of(time_point now)
{
    return now.time_since_epoch() / nonce_period;
}

} // namespace

std::uint64_t make_session()
{
    auto const start = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    std::uniform_int_distribution<std::uint64_t> low(
        0, (std::uint64_t{1} << random_session_bits) - 1);
    std::random_device random;
    return (static_cast<std::uint64_t>(start.count()) << random_session_bits) |
           low(random);
}

authenticator::authenticator(std::vector<std::string> const& keys,
                             std::uint64_t sender, std::uint64_t session,
                             datagram_channel channel)
    : sender_(sender), session_(session), channel_(channel)
{
    if (sodium_init() < 0)
    {
        throw error(error_kind::internal, "libsodium can't be initialised");
    }
    for (auto const& text : keys)
    {
        key value{};
        std::size_t written = 0;
        if (text.size() != 2 * value.size() ||
            sodium_hex2bin(value.data(), value.size(), text.data(), text.size(),
                           nullptr, &written, nullptr) != 0 ||
            written != value.size())
        {
            throw error(error_kind::invalid_argument,
                        "a control key must be 64 hexadecimal digits");
        }
        keys_.push_back(value);
    }
    if (keys_.empty())
    {
        throw error(error_kind::invalid_argument,
                    "at least one control key is required");
    }
    randombytes_buf(nonce_key_.data(), nonce_key_.size());
}

std::vector<std::byte> authenticator::seal(std::span<std::byte const> payload)
{
    return seal_datagram(payload, ++sequence_);
}

std::vector<std::byte>
authenticator::seal_datagram(std::span<std::byte const> payload,
                             std::uint64_t sequence) const
{
    std::vector<std::byte> datagram(seal_bytes + payload.size());
    std::uint64_t const words[3] = {sender_, session_, sequence};
    std::memcpy(datagram.data() + code_bytes, words, sizeof(words));
    std::ranges::copy(payload, datagram.begin() + seal_bytes);
    auto const computed = compute_code(keys_.front(), channel_,
                                       std::span(datagram).subspan(code_bytes));
    std::memcpy(datagram.data(), computed.data(), computed.size());
    return datagram;
}

opened_datagram authenticator::open(std::span<std::byte const> datagram,
                                    time_point now)
{
    opened_datagram result;
    if (datagram.size() < seal_bytes)
    {
        return result;
    }
    if (!verify(datagram))
    {
        result.verdict_ = open_verdict::bad_code;
        return result;
    }
    result.sender_ = read_word(datagram, code_bytes);
    result.session_ = read_word(datagram, code_bytes + 8);
    result.payload_ = datagram.subspan(seal_bytes);
    auto const sequence = read_word(datagram, code_bytes + 16);
    if (sequence == handshake_sequence)
    {
        handle_handshake(result, now);
        return result;
    }
    result.verdict_ = check_replay(result, sequence, now);
    if (result.verdict_ == open_verdict::unproven_session)
    {
        result.reply_ = seal_handshake(
            {handshake_kind::challenge, result.sender_, result.session_,
             compute_nonce(result.sender_, result.session_, period_of(now))});
    }
    return result;
}

bool authenticator::verify(std::span<std::byte const> datagram) const
{
    for (auto const& candidate : keys_)
    {
        auto const expected =
            compute_code(candidate, channel_, datagram.subspan(code_bytes));
        if (sodium_memcmp(expected.data(), datagram.data(), code_bytes) == 0)
        {
            return true;
        }
    }
    return false;
}

open_verdict authenticator::check_replay(opened_datagram const& datagram,
                                         std::uint64_t sequence, time_point now)
{
    remove_idle_senders(now);
    if (windows_.size() >= max_senders && !windows_.contains(datagram.sender_))
    {
        return open_verdict::too_many_senders;
    }
    auto& window = windows_[datagram.sender_];
    if (datagram.session_ > window.highest_session_)
    {
        begin_session(window, datagram.session_, now);
    }
    if (datagram.session_ != window.session_)
    {
        return open_verdict::unproven_session;
    }
    return accept_sequence(window, sequence, now) ? open_verdict::accepted
                                                  : open_verdict::replayed;
}

void authenticator::begin_session(replay_window& window, std::uint64_t session,
                                  time_point now)
{
    window.session_ = session;
    window.highest_session_ = std::max(window.highest_session_, session);
    ++window.session_changes_;
    window.newest_sequence_ = 0;
    window.received_ = 0;
    window.last_received_at_ = now;
}

// Returns false if the sequence number was received before or is older than the
// window.
bool authenticator::accept_sequence(replay_window& window,
                                    std::uint64_t sequence, time_point now)
{
    if (sequence > window.newest_sequence_)
    {
        auto const ahead = sequence - window.newest_sequence_;
        window.received_ = ahead >= window_size ? 0 : window.received_ << ahead;
        window.newest_sequence_ = sequence;
    }
    auto const behind = window.newest_sequence_ - sequence;
    auto const bit = std::uint64_t{1} << (behind % window_size);
    if (behind >= window_size || (window.received_ & bit) != 0)
    {
        return false;
    }
    window.received_ |= bit;
    window.last_received_at_ = now;
    return true;
}

// Handshake datagrams are exempt from the replay window: each of the two
// processes may still refuse the other's session. An answer to a replayed
// challenge does nothing, and a replayed proof has no valid nonce.
void authenticator::handle_handshake(opened_datagram& datagram, time_point now)
{
    datagram.verdict_ = open_verdict::handshake;
    constexpr std::size_t word_bytes = sizeof(std::uint64_t);
    if (datagram.payload_.size() != 4 * word_bytes)
    {
        return;
    }
    handshake const value{
        static_cast<handshake_kind>(read_word(datagram.payload_, 0)),
        read_word(datagram.payload_, word_bytes),
        read_word(datagram.payload_, 2 * word_bytes),
        read_word(datagram.payload_, 3 * word_bytes)};
    if (value.addressee_ != sender_)
    {
        return;
    }
    if (value.kind_ == handshake_kind::challenge && value.session_ == session_)
    {
        datagram.reply_ = seal_handshake(
            {handshake_kind::proof, datagram.sender_, session_, value.nonce_});
    }
    bool const is_proof = value.kind_ == handshake_kind::proof &&
                          value.session_ == datagram.session_;
    datagram.admits_session_ =
        is_proof && admit_proven_session(value, datagram.sender_, now);
}

// Returns true if the proof makes its session the sender's current one.
bool authenticator::admit_proven_session(handshake const& proof,
                                         std::uint64_t sender, time_point now)
{
    auto const found = windows_.find(sender);
    if (found == windows_.end() || found->second.session_ == proof.session_)
    {
        return false;
    }
    auto const period = period_of(now);
    bool const is_valid =
        proof.nonce_ == compute_nonce(sender, proof.session_, period) ||
        proof.nonce_ == compute_nonce(sender, proof.session_, period - 1);
    if (is_valid)
    {
        begin_session(found->second, proof.session_, now);
    }
    return is_valid;
}

std::vector<std::byte>
authenticator::seal_handshake(handshake const& value) const
{
    std::array<std::uint64_t, 4> const words{
        static_cast<std::uint64_t>(value.kind_), value.addressee_,
        value.session_, value.nonce_};
    return seal_datagram(std::as_bytes(std::span(words)), handshake_sequence);
}

// Derives the nonce instead of storing it, so that replays can't displace the
// challenge of the running process.
std::uint64_t authenticator::compute_nonce(std::uint64_t sender,
                                           std::uint64_t session,
                                           std::int64_t period) const
{
    auto const window = windows_.find(sender);
    std::array<std::uint64_t, 4> const words{
        sender, session, static_cast<std::uint64_t>(period),
        window == windows_.end() ? 0 : window->second.session_changes_};
    auto const hash =
        compute_code(nonce_key_, channel_, std::as_bytes(std::span(words)));
    return read_word(std::as_bytes(std::span(hash)), 0);
}

void authenticator::remove_idle_senders(time_point now)
{
    if (now < last_sweep_at_ + sender_idle_limit)
    {
        return;
    }
    last_sweep_at_ = now;
    std::erase_if(
        windows_, [now](auto const& entry)
        { return now > entry.second.last_received_at_ + sender_idle_limit; });
}

} // namespace daisytrail
