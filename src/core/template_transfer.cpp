// Requests and answers of template transfers.
#include <daisytrail/error.hpp>
#include <daisytrail/template_transfer.hpp>
#include <daisytrail/text_compression.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds retry_interval{400};
constexpr int max_attempts = 5; // requests without an answer
constexpr std::size_t max_transfer_peers = 8;

error too_long()
{
    return {error_kind::limit_exceeded,
            "more than " + std::to_string(max_transfer_bytes) + " bytes"};
}

} // namespace

shared_text share_text(std::string text)
{
    auto const hash = hash_name(text);
    return {std::make_shared<std::string const>(std::move(text)), hash};
}

served_template::served_template(std::string organisation,
                                 template_version version, std::string value)
    : organisation_(std::move(organisation)), version_(version),
      value_(share_text(std::move(value)))
{
}

void served_template::replace(template_version version, std::string value)
{
    former_values_.push_front(std::move(value_));
    if (former_values_.size() > max_former_values)
    {
        former_values_.pop_back();
    }
    version_ = version;
    value_ = share_text(std::move(value));
    compressed_.clear();
}

std::string const& served_template::compressed(shared_text const& base)
{
    auto const known = compressed_.find(base.hash_);
    if (known != compressed_.end())
    {
        return known->second;
    }
    auto bytes = base.text_ ? compress_text(value(), *base.text_)
                            : compress_text(value());
    return compressed_.emplace(base.hash_, std::move(bytes)).first->second;
}

void served_template::answer(template_request const& request,
                             endpoint const& from,
                             std::vector<control_action>& out)
{
    if (version_ < request.version_)
    {
        return;
    }
    auto const former = std::ranges::find(former_values_, request.base_hash_,
                                          &shared_text::hash_);
    auto const base = former == former_values_.end() ? shared_text{} : *former;
    auto const& bytes =
        request.accepts_compressed_ ? compressed(base) : value();
    auto const count = static_cast<std::uint32_t>(
        (bytes.size() + template_chunk_bytes - 1) / template_chunk_bytes);
    // If a newer version than the requested one is in force, its transfer
    // starts at the first chunk.
    auto const first = version_ == request.version_ ? request.index_ : 0;
    auto const wanted =
        std::clamp<std::uint32_t>(request.count_, 1, max_chunks_per_request);
    for (auto index = first; index < count && index - first < wanted; ++index)
    {
        template_chunk chunk;
        chunk.organisation_ = organisation_;
        chunk.version_ = version_;
        chunk.index_ = index;
        chunk.count_ = count;
        chunk.bytes_ =
            bytes.substr(index * template_chunk_bytes, template_chunk_bytes);
        chunk.is_compressed_ = request.accepts_compressed_;
        chunk.base_hash_ = request.accepts_compressed_ ? base.hash_ : 0;
        out.emplace_back(send_action{from, std::move(chunk)});
    }
}

void template_fetcher::offer(std::uint64_t organisation,
                             template_version version, endpoint const& peer,
                             shared_text const& base, time_point now,
                             std::vector<control_action>& out)
{
    auto& active = transfers_[organisation];
    if (active.version_ > version)
    {
        return;
    }
    if (active.version_ == version)
    {
        bool const is_known =
            std::ranges::find(active.peers_, peer) != active.peers_.end();
        if (!is_known && active.peers_.size() < max_transfer_peers)
        {
            active.peers_.push_back(peer);
        }
        return;
    }
    active = {};
    active.version_ = version;
    active.peers_ = {peer};
    active.base_ = base;
    send_request(organisation, active, now, out);
}

// Returns true if the chunk is one that was requested and is missing. The first
// chunk to arrive decides on the form of the value.
bool template_fetcher::is_expected(transfer const& active,
                                   template_chunk const& chunk)
{
    bool const is_requested = chunk.index_ >= active.next_index_ &&
                              chunk.index_ < active.requested_until_ &&
                              chunk.index_ < chunk.count_;
    if (active.is_complete_ || !is_requested)
    {
        return false;
    }
    if (active.count_ == 0)
    {
        return chunk.base_hash_ == 0 || chunk.base_hash_ == active.base_.hash_;
    }
    return chunk.count_ == active.count_ &&
           chunk.is_compressed_ == active.is_compressed_ &&
           chunk.base_hash_ == active.used_base_hash_;
}

// Appends the chunk, and those that arrived before it. Returns false if the
// value becomes longer than a transfer may be.
bool template_fetcher::append(transfer& active, template_chunk const& chunk)
{
    active.early_chunks_.insert_or_assign(chunk.index_, chunk.bytes_);
    for (auto at = active.early_chunks_.begin();
         at != active.early_chunks_.end() && at->first == active.next_index_;
         at = active.early_chunks_.erase(at))
    {
        if (active.bytes_.size() + at->second.size() > max_transfer_bytes)
        {
            return false;
        }
        active.bytes_ += at->second;
        ++active.next_index_;
    }
    return true;
}

std::optional<fetched_template>
template_fetcher::on_chunk(template_chunk const& chunk, endpoint const& from,
                           time_point now, std::vector<control_action>& out)
{
    auto const id = hash_name(chunk.organisation_);
    auto const found = transfers_.find(id);
    if (found == transfers_.end() || chunk.version_ < found->second.version_)
    {
        return std::nullopt;
    }
    auto& active = found->second;
    if (chunk.version_ > active.version_)
    {
        auto const base = active.base_;
        active = {};
        active.version_ = chunk.version_;
        active.peers_ = {from};
        active.base_ = base;
        active.requested_until_ = max_chunks_per_request;
    }
    if (!is_expected(active, chunk))
    {
        return std::nullopt;
    }
    active.count_ = chunk.count_;
    active.is_compressed_ = chunk.is_compressed_;
    active.used_base_hash_ = chunk.base_hash_;
    if (!append(active, chunk))
    {
        transfers_.erase(found);
        throw too_long();
    }
    active.attempts_ = 0;
    active.progressed_at_ = now;
    if (active.next_index_ == active.count_)
    {
        return complete(id, chunk, from, out);
    }
    // A release that doesn't compress sends one chunk for each request.
    if (!active.is_compressed_)
    {
        send_request(id, active, now, out);
    }
    else if (active.next_index_ >= active.requested_until_)
    {
        // The next peer is asked, so that no peer's byte budget is used up.
        rotate_peers(active);
        send_request(id, active, now, out);
    }
    return std::nullopt;
}

std::optional<fetched_template>
template_fetcher::complete(std::uint64_t id, template_chunk const& chunk,
                           endpoint const& from,
                           std::vector<control_action>& out)
{
    auto& active = transfers_.at(id);
    fetched_template result{chunk.organisation_, active.version_, {}};
    if (!active.is_compressed_)
    {
        result.value_ = std::move(active.bytes_);
        active.is_complete_ = true;
        return result;
    }
    try
    {
        auto const base = active.used_base_hash_ == 0
                              ? std::string_view()
                              : std::string_view(*active.base_.text_);
        result.value_ =
            decompress_text(active.bytes_, max_transfer_bytes, base);
    }
    catch (error const& failure)
    {
        transfers_.erase(id);
        if (failure.kind() == error_kind::limit_exceeded)
        {
            throw;
        }
        // The next offer of the version starts another transfer.
        out.emplace_back(report_action{
            report_kind::transfer_failed,
            chunk.organisation_ + " version " + std::to_string(chunk.version_) +
                " from " + to_string(from) + ": " + failure.what()});
        return std::nullopt;
    }
    active.bytes_ = {};
    active.is_complete_ = true;
    return result;
}

void template_fetcher::rotate_peers(transfer& active)
{
    std::rotate(active.peers_.begin(), active.peers_.begin() + 1,
                active.peers_.end());
}

void template_fetcher::finish(std::uint64_t organisation,
                              template_version version)
{
    auto const found = transfers_.find(organisation);
    if (found != transfers_.end() && found->second.version_ <= version)
    {
        transfers_.erase(found);
    }
}

void template_fetcher::tick(time_point now, std::vector<control_action>& out)
{
    auto const is_due = [now](transfer const& active)
    {
        return !active.is_complete_ &&
               now >= active.progressed_at_ + retry_interval;
    };
    // An abandoned transfer restarts when the next digest offers the version.
    std::erase_if(transfers_,
                  [&is_due](auto const& entry) {
                      return entry.second.attempts_ >= max_attempts &&
                             is_due(entry.second);
                  });
    for (auto& [id, active] : transfers_)
    {
        if (is_due(active))
        {
            // A peer that only knows of the version doesn't answer. It is
            // added again by its next offer.
            if (active.peers_.size() > 1)
            {
                active.peers_.erase(active.peers_.begin());
            }
            send_request(id, active, now, out);
        }
    }
}

void template_fetcher::send_request(std::uint64_t id, transfer& active,
                                    time_point now,
                                    std::vector<control_action>& out)
{
    active.progressed_at_ = now;
    active.requested_until_ = active.next_index_ + max_chunks_per_request;
    ++active.attempts_;
    template_request request;
    request.organisation_ = id;
    request.version_ = active.version_;
    request.index_ = active.next_index_;
    request.count_ = max_chunks_per_request;
    // After the first chunk, each peer must send the same form of the value.
    bool const has_form = active.count_ != 0;
    request.accepts_compressed_ = !has_form || active.is_compressed_;
    request.base_hash_ = has_form ? active.used_base_hash_ : active.base_.hash_;
    out.emplace_back(send_action{active.peers_.front(), request});
}

} // namespace daisytrail
