// Idempotency keys: text form, decisions, memory limit and retention.
#include <daisytrail/dedup.hpp>

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace daisytrail
{

namespace
{

constexpr std::string_view key_prefix = "dt1-";
// Memory accounted to an entry besides its key and response.
constexpr std::size_t entry_overhead_bytes = 256;

std::uint64_t milliseconds(time_point now)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            now.time_since_epoch())
            .count());
}

// Parses a hexadecimal number up to a dash or the end of `text` and removes the
// number and the dash from `text`. Returns false on any other character.
bool read_hex(std::string_view& text, std::uint64_t& value)
{
    auto const* const end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, value, 16);
    if (read.ec != std::errc{} || (read.ptr != end && *read.ptr != '-'))
    {
        return false;
    }
    auto const used = static_cast<std::size_t>(read.ptr - text.data());
    text.remove_prefix(std::min(used + 1, text.size()));
    return true;
}

} // namespace

std::string to_string(issued_key const& key)
{
    std::array<char, 100> text{};
    std::snprintf(text.data(), text.size(), "dt1-%llx-%llx-%llx-%llx-%llx",
                  static_cast<unsigned long long>(key.target_),
                  static_cast<unsigned long long>(key.incarnation_),
                  static_cast<unsigned long long>(key.issued_ms_),
                  static_cast<unsigned long long>(key.sequence_),
                  static_cast<unsigned long long>(key.check_));
    return text.data();
}

std::optional<issued_key> parse_issued_key(std::string_view text)
{
    if (text.substr(0, key_prefix.size()) != key_prefix)
    {
        return std::nullopt;
    }
    text.remove_prefix(key_prefix.size());
    issued_key key;
    for (auto* const part : {&key.target_, &key.incarnation_, &key.issued_ms_,
                             &key.sequence_, &key.check_})
    {
        if (!read_hex(text, *part))
        {
            return std::nullopt;
        }
    }
    return text.empty() ? std::optional(key) : std::nullopt;
}

std::size_t stored_response::bytes() const
{
    auto total = body_.size() + reason_.size();
    for (auto const& [name, value] : fields_)
    {
        total += name.size() + value.size();
    }
    return total;
}

std::uint64_t hash_request(std::string_view method, std::string_view target,
                           std::string_view body)
{
    auto const first = XXH3_64bits(method.data(), method.size());
    auto const second =
        XXH3_64bits_withSeed(target.data(), target.size(), first);
    return XXH3_64bits_withSeed(body.data(), body.size(), second);
}

dedup_table::dedup_table(target_id self, incarnation own_incarnation,
                         std::uint64_t secret, dedup_limits const& limits)
    : self_(self), incarnation_(own_incarnation), secret_(secret),
      limits_(limits)
{
}

std::uint64_t dedup_table::check(issued_key const& key) const
{
    std::array<std::uint64_t, 4> const parts{key.target_, key.incarnation_,
                                             key.issued_ms_, key.sequence_};
    return XXH3_64bits_withSeed(parts.data(), sizeof(parts), secret_);
}

std::string dedup_table::issue(time_point now)
{
    issued_key key{self_, incarnation_, milliseconds(now), next_sequence_++, 0};
    key.check_ = check(key);
    return to_string(key);
}

std::optional<request_outcome>
dedup_table::refusal_of_issued(issued_key const& key, time_point now) const
{
    if (key.target_ != self_ || key.incarnation_ != incarnation_)
    {
        return request_outcome::key_owner_gone;
    }
    if (key.check_ != check(key))
    {
        return request_outcome::key_invalid;
    }
    auto const retention_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            limits_.retention_);
    if (milliseconds(now) - key.issued_ms_ >
        static_cast<std::uint64_t>(retention_ms.count()))
    {
        return request_outcome::key_expired;
    }
    return std::nullopt;
}

key_decision dedup_table::begin(std::string const& key,
                                std::uint64_t fingerprint, time_point now)
{
    expire(now);
    if (auto const issued = parse_issued_key(key))
    {
        if (auto const refused = refusal_of_issued(*issued, now))
        {
            return {key_verdict::outcome, nullptr, *refused};
        }
    }
    auto const found = entries_.find(key);
    if (found == entries_.end())
    {
        auto const charge =
            entry_overhead_bytes + key.size() + limits_.max_response_bytes_;
        if (bytes_ + charge > limits_.max_bytes_)
        {
            return {key_verdict::outcome, nullptr,
                    request_outcome::key_memory_full};
        }
        entry new_entry;
        new_entry.fingerprint_ = fingerprint;
        // Reserves room for the largest response until the response is known.
        new_entry.bytes_ = charge;
        bytes_ += charge;
        entries_.emplace(key, std::move(new_entry));
        return {};
    }
    auto const& existing = found->second;
    if (existing.fingerprint_ != fingerprint)
    {
        return {key_verdict::outcome, nullptr, request_outcome::key_mismatch};
    }
    if (existing.running_)
    {
        return {key_verdict::join};
    }
    if (existing.outcome_ != request_outcome::answered)
    {
        return {key_verdict::outcome, nullptr, existing.outcome_};
    }
    return {key_verdict::replay, &existing.response_};
}

owner_record_result dedup_table::record_owner(std::string const& key,
                                              std::uint64_t fingerprint,
                                              target_id owner, time_point now)
{
    expire(now);
    auto const found = entries_.find(key);
    if (found != entries_.end())
    {
        return found->second.recorded_owner_ == owner
                   ? owner_record_result::recorded
                   : owner_record_result::already_known;
    }
    auto const charge = entry_overhead_bytes + key.size();
    if (bytes_ + charge > limits_.max_bytes_)
    {
        return owner_record_result::full;
    }
    entry new_entry;
    new_entry.fingerprint_ = fingerprint;
    new_entry.running_ = false;
    new_entry.recorded_owner_ = owner;
    new_entry.outcome_ = request_outcome::key_owner_gone;
    new_entry.bytes_ = charge;
    bytes_ += charge;
    entries_.emplace(key, std::move(new_entry));
    expiries_.emplace_back(now + limits_.retention_, key);
    return owner_record_result::recorded;
}

dedup_table::entry* dedup_table::finish(std::string const& key, time_point now)
{
    auto const found = entries_.find(key);
    if (found == entries_.end() || !found->second.running_)
    {
        return nullptr;
    }
    auto& existing = found->second;
    existing.running_ = false;
    bytes_ -= limits_.max_response_bytes_;
    existing.bytes_ -= limits_.max_response_bytes_;
    expiries_.emplace_back(now + limits_.retention_, key);
    return &existing;
}

void dedup_table::record_response(std::string const& key,
                                  stored_response response, time_point now)
{
    if (response.bytes() > limits_.max_response_bytes_)
    {
        record_outcome(key, request_outcome::key_not_kept, now);
        return;
    }
    if (auto* const existing = finish(key, now))
    {
        existing->bytes_ += response.bytes();
        bytes_ += response.bytes();
        existing->response_ = std::move(response);
    }
}

void dedup_table::record_outcome(std::string const& key,
                                 request_outcome outcome, time_point now)
{
    if (auto* const existing = finish(key, now))
    {
        existing->outcome_ = outcome;
    }
}

void dedup_table::release(std::string const& key)
{
    auto const found = entries_.find(key);
    if (found != entries_.end() && found->second.running_)
    {
        bytes_ -= found->second.bytes_;
        entries_.erase(found);
    }
}

void dedup_table::expire(time_point now)
{
    while (!expiries_.empty() && expiries_.front().first <= now)
    {
        auto const found = entries_.find(expiries_.front().second);
        bytes_ -= found->second.bytes_;
        entries_.erase(found);
        expiries_.pop_front();
    }
}

} // namespace daisytrail
