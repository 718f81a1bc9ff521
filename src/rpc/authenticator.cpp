// Seals and verifies datagrams. Layout of a sealed datagram: authentication
// code (16 bytes), sender, session and sequence number (8 bytes each, little
// endian), payload.
#include "rpc/authenticator.hpp"

#include <daisytrail/error.hpp>

#include <sodium.h>

#include <algorithm>
#include <cstring>

namespace daisytrail
{

namespace
{

constexpr std::size_t code_bytes = 16;
constexpr std::uint64_t window_size = 64;
constexpr std::size_t max_senders = 200'000;
constexpr auto sender_idle_limit = std::chrono::minutes(10);

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

} // namespace

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
}

std::vector<std::byte> authenticator::seal(std::span<std::byte const> payload)
{
    std::vector<std::byte> datagram(seal_bytes + payload.size());
    std::uint64_t const words[3] = {sender_, session_, ++sequence_};
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
    result.verdict_ =
        check_replay(result.sender_, read_word(datagram, code_bytes + 8),
                     read_word(datagram, code_bytes + 16), now);
    result.payload_ = datagram.subspan(seal_bytes);
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

open_verdict authenticator::check_replay(std::uint64_t sender,
                                         std::uint64_t session,
                                         std::uint64_t sequence, time_point now)
{
    remove_idle_senders(now);
    if (windows_.size() >= max_senders && !windows_.contains(sender))
    {
        return open_verdict::too_many_senders;
    }
    auto& window = windows_[sender];
    if (session < window.session_)
    {
        return open_verdict::replayed;
    }
    if (session > window.session_)
    {
        window = {session, sequence, 1, now};
        return open_verdict::accepted;
    }
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
        return open_verdict::replayed;
    }
    window.received_ |= bit;
    window.last_received_at_ = now;
    return open_verdict::accepted;
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
