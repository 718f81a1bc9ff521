// Transfers of templates between processes, in chunks that fit into a datagram.
// A template is sent compressed, against the version that the receiver has in
// force if the sender had the same one.
#pragma once

#include <daisytrail/control_messages.hpp>
#include <daisytrail/types.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisytrail
{

// Maximum size of a value that is fetched from peers. It limits the memory of a
// transfer; the longest value of a store is much shorter.
inline constexpr std::size_t max_transfer_bytes = 16ULL << 20U;

// Maximum number of bytes of a template in one datagram.
inline constexpr std::size_t template_chunk_bytes = 1'000;

// Maximum number of chunks that are sent for one request.
inline constexpr std::uint32_t max_chunks_per_request = 8;

// Number of former values that a process keeps as bases for its peers. A peer
// that gets the changes of a storm by gossip is a few versions behind.
inline constexpr std::size_t max_former_values = 4;

// A value that is shared, not copied.
struct shared_text
{
    std::shared_ptr<std::string const> text_; // nullptr: there is none
    std::uint64_t hash_ = 0;                  // 0: there is none
};

shared_text share_text(std::string text);

// The template of an organisation that this process has in force, as it is sent
// to peers.
class served_template
{
public:
    served_template(std::string organisation, template_version version,
                    std::string value);

    // Replaces the value by that of a newer version.
    void replace(template_version version, std::string value);

    std::string const& organisation() const
    {
        return organisation_;
    }

    template_version version() const
    {
        return version_;
    }

    std::string const& value() const
    {
        return *value_.text_;
    }

    shared_text const& shared_value() const
    {
        return value_;
    }

    // Sends the requested chunks to a peer; ignores a request for a version
    // that isn't in force here yet.
    void answer(template_request const& request, endpoint const& from,
                std::vector<control_action>& out);

private:
    // Returns the value, compressed against the base, which may be empty.
    std::string const& compressed(shared_text const& base);

    std::string organisation_;
    template_version version_;
    shared_text value_;
    std::deque<shared_text> former_values_; // newest first
    // By the hash of the base; filled by requests.
    std::map<std::uint64_t, std::string> compressed_;
};

// A value that was fetched completely.
struct fetched_template
{
    std::string organisation_;
    template_version version_ = 0;
    std::string value_;
};

// Fetches the templates that peers offer. There is one transfer at a time for
// each organisation, of its newest version.
class template_fetcher
{
public:
    // Starts a transfer, replaces that of an older version, or adds `peer` to
    // the peers of the transfer. `base` is the value in force, if there is one.
    void offer(std::uint64_t organisation, template_version version,
               endpoint const& peer, shared_text const& base, time_point now,
               std::vector<control_action>& out);

    // Appends a chunk to its transfer and requests the next ones. Returns the
    // value once it is complete. The transfer then lasts until finish(), so
    // that the version isn't fetched again meanwhile. Throws
    // error(limit_exceeded) if the value is longer than max_transfer_bytes.
    std::optional<fetched_template> on_chunk(template_chunk const& chunk,
                                             endpoint const& from,
                                             time_point now,
                                             std::vector<control_action>& out);

    // Ends the transfer of this version or of an older one.
    void finish(std::uint64_t organisation, template_version version);

    // Retries unanswered requests at the next peer; ends transfers that have
    // used up their attempts.
    void tick(time_point now, std::vector<control_action>& out);

private:
    // A transfer in progress. The chunks of one form of a version are identical
    // at all peers, so that any peer can continue the transfer.
    struct transfer
    {
        template_version version_ = 0;
        std::vector<endpoint> peers_;       // offered it; the first is asked
        shared_text base_;                  // the value in force
        std::uint32_t next_index_ = 0;      // of the first missing chunk
        std::uint32_t requested_until_ = 0; // index after the requested chunks
        // As in the first chunk; the others must agree with it.
        std::uint32_t count_ = 0;
        bool is_compressed_ = false;
        std::uint64_t used_base_hash_ = 0;
        std::string bytes_; // chunks received so far
        // Chunks that arrived before the first missing one, by index; only
        // requested ones.
        std::map<std::uint32_t, std::string> early_chunks_;
        time_point progressed_at_; // last request or chunk
        int attempts_ = 0;         // requests since the last chunk
        bool is_complete_ = false;
    };

    static void send_request(std::uint64_t id, transfer& active, time_point now,
                             std::vector<control_action>& out);
    static void rotate_peers(transfer& active);
    static bool is_expected(transfer const& active,
                            template_chunk const& chunk);
    static bool append(transfer& active, template_chunk const& chunk);
    std::optional<fetched_template> complete(std::uint64_t id,
                                             template_chunk const& chunk,
                                             endpoint const& from,
                                             std::vector<control_action>& out);

    std::map<std::uint64_t, transfer> transfers_; // by organisation
};

} // namespace daisytrail
