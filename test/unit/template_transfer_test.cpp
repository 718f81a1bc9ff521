// Tests of compressed transfers of templates between two processes.
#include "support/operator_documents.hpp"

#include <daisytrail/template_versions.hpp>
#include <daisytrail/text_compression.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace daisytrail
{

namespace
{

constexpr endpoint sender_address{0x0a000001, 7'000};
constexpr endpoint receiver_address{0x0a000002, 7'000};

std::optional<std::string> accept(std::string_view)
{
    return std::nullopt;
}

item make_offer(template_version version)
{
    return {item_kind::organisation,
            hash_name("site"),
            {version, 0},
            member_state::ready};
}

template <typename Message>
std::vector<Message> messages_of(std::vector<control_action> const& actions)
{
    std::vector<Message> result;
    for (auto const& action : actions)
    {
        if (auto const* sent = std::get_if<send_action>(&action))
        {
            if (auto const* message = std::get_if<Message>(&sent->message_))
            {
                result.push_back(*message);
            }
        }
    }
    return result;
}

std::size_t count_reports(std::vector<control_action> const& actions,
                          report_kind kind)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        actions,
        [kind](control_action const& action)
        {
            auto const* report = std::get_if<report_action>(&action);
            return report != nullptr && report->kind_ == kind;
        }));
}

// A process that serves templates and one that fetches them. Either may be of a
// release that doesn't compress.
class transfer_pair
{
public:
    void hold(template_versions& process, template_version version,
              std::string const& value)
    {
        std::vector<control_action> out;
        process.try_adopt("site", version, value, std::string(store_source),
                          now_, out);
    }

    // Offers the version to the receiver and carries messages to and fro until
    // there are none. Returns the bytes of the chunks.
    std::size_t transfer(template_version version)
    {
        std::vector<control_action> out;
        receiver_.on_offer(make_offer(version), sender_address, now_, out);
        auto requests = messages_of<template_request>(out);
        std::size_t bytes = 0;
        while (!requests.empty())
        {
            requests_ += requests.size();
            std::vector<control_action> answers;
            for (auto request : requests)
            {
                if (!receiver_compresses_)
                {
                    request = {request.organisation_, request.version_,
                               request.index_};
                }
                sender_.answer_request(request, receiver_address, answers);
            }
            out.clear();
            for (auto const& chunk : messages_of<template_chunk>(answers))
            {
                bytes += chunk.bytes_.size();
                receiver_.on_chunk(chunk, sender_address, now_, out);
            }
            adopt(out);
            requests = messages_of<template_request>(out);
        }
        return bytes;
    }

    void adopt(std::vector<control_action>& actions)
    {
        std::vector<control_action> out;
        for (auto const& action : actions)
        {
            if (auto const* received =
                    std::get_if<template_received_action>(&action))
            {
                receiver_.adopt_received(*received, now_, out);
            }
        }
        actions.insert(actions.end(), out.begin(), out.end());
    }

    bool receiver_has(std::string const& value) const
    {
        auto const held = receiver_.held_templates();
        return !held.empty() && held.front().value_ == value;
    }

    template_versions sender_{accept};
    template_versions receiver_{accept};
    bool receiver_compresses_ = true;
    std::size_t requests_ = 0;
    time_point now_{};
};

} // namespace

TEST_CASE("a long template is fetched as its compressed text")
{
    transfer_pair pair;
    auto const value = make_document(18, 4'000);
    pair.hold(pair.sender_, 18, value);
    CHECK(pair.transfer(18) < value.size() / 4);
    CHECK(pair.receiver_has(value));
    CHECK(pair.requests_ <=
          value.size() / 4 / template_chunk_bytes / max_chunks_per_request);
}

TEST_CASE("a change of a long template is fetched as its difference")
{
    transfer_pair pair;
    auto const before = make_document(17, 4'000);
    auto const after = make_document(18, 4'001);
    pair.hold(pair.sender_, 17, before);
    pair.hold(pair.receiver_, 17, before);
    pair.hold(pair.sender_, 18, after);
    CHECK(pair.transfer(18) <= template_chunk_bytes);
    CHECK(pair.receiver_has(after));
}

// A receiver that gets the changes of a storm by gossip misses some of them.
TEST_CASE("a receiver that missed a few versions fetches the difference")
{
    transfer_pair pair;
    pair.hold(pair.sender_, 10, make_document(10, 4'000));
    pair.hold(pair.receiver_, 10, make_document(10, 4'000));
    for (template_version version = 11; version < 11 + max_former_values;
         ++version)
    {
        pair.hold(pair.sender_, version, make_document(version, 4'000));
    }
    auto const newest = 10 + max_former_values;
    CHECK(pair.transfer(newest) <= template_chunk_bytes);
    CHECK(pair.receiver_has(make_document(newest, 4'000)));
    SUBCASE("one that missed more fetches the whole text")
    {
        pair.hold(pair.sender_, 30, make_document(30, 4'000));
        for (template_version version = 31; version < 31 + max_former_values;
             ++version)
        {
            pair.hold(pair.sender_, version, make_document(version, 4'000));
        }
        CHECK(pair.transfer(30 + max_former_values) > template_chunk_bytes);
        CHECK(pair.receiver_has(make_document(30 + max_former_values, 4'000)));
    }
}

TEST_CASE("a receiver with another value of the same version gets the whole "
          "text")
{
    transfer_pair pair;
    pair.hold(pair.sender_, 17, make_document(17, 2'000));
    pair.hold(pair.receiver_, 17, make_document(17, 1'999));
    pair.hold(pair.sender_, 18, make_document(18, 2'000));
    pair.transfer(18);
    CHECK(pair.receiver_has(make_document(18, 2'000)));
}

// One peer has just started and sends the whole text; the next one has the
// receiver's value and sends the difference, which has other chunks.
TEST_CASE("a transfer stalls at each peer that would send another form")
{
    transfer_pair pair;
    auto const before = make_document(17, 4'000);
    auto const after = make_document(18, 4'000);
    template_versions other_sender{accept};
    pair.hold(pair.receiver_, 17, before);
    pair.hold(pair.sender_, 18, after);
    pair.hold(other_sender, 17, before);
    pair.hold(other_sender, 18, after);
    std::vector<control_action> out;
    pair.receiver_.on_offer(make_offer(18), sender_address, pair.now_, out);
    auto* sender = &pair.sender_;
    auto requests = messages_of<template_request>(out);
    while (requests.size() == 1)
    {
        std::vector<control_action> answers;
        sender->answer_request(requests.front(), receiver_address, answers);
        sender = &other_sender;
        out.clear();
        for (auto const& chunk : messages_of<template_chunk>(answers))
        {
            pair.receiver_.on_chunk(chunk, sender_address, pair.now_, out);
        }
        pair.adopt(out);
        requests = messages_of<template_request>(out);
    }
    CHECK(pair.receiver_has(after));
}

TEST_CASE("a process of a release that doesn't compress gets the text itself")
{
    transfer_pair pair;
    auto const value = make_document(18, 100);
    pair.hold(pair.sender_, 18, value);
    pair.receiver_compresses_ = false;
    CHECK(pair.transfer(18) == value.size());
    CHECK(pair.receiver_has(value));
}

TEST_CASE("chunks that arrive in another order are requested again")
{
    transfer_pair pair;
    auto const value = make_document(18, 3'000);
    pair.hold(pair.sender_, 18, value);
    std::vector<control_action> out;
    pair.receiver_.on_offer(make_offer(18), sender_address, pair.now_, out);
    std::vector<control_action> answers;
    pair.sender_.answer_request(messages_of<template_request>(out).front(),
                                receiver_address, answers);
    auto chunks = messages_of<template_chunk>(answers);
    REQUIRE(chunks.size() == max_chunks_per_request);
    out.clear();
    for (auto chunk = chunks.rbegin(); chunk != chunks.rend(); ++chunk)
    {
        CHECK(out.empty());
        pair.receiver_.on_chunk(*chunk, sender_address, pair.now_, out);
    }
    auto const next = messages_of<template_request>(out);
    REQUIRE(next.size() == 1);
    CHECK(next.front().index_ == max_chunks_per_request);
    SUBCASE("a chunk beyond the requested ones is dropped")
    {
        out.clear();
        auto beyond = chunks.back();
        beyond.index_ = 2 * max_chunks_per_request;
        pair.receiver_.on_chunk(beyond, sender_address, pair.now_, out);
        CHECK(out.empty());
    }
}

TEST_CASE("chunks of another form than the first one don't continue a transfer")
{
    transfer_pair pair;
    auto const bytes = compress_text(make_document(18, 2'000));
    std::vector<control_action> out;
    pair.receiver_.on_offer(make_offer(18), sender_address, pair.now_, out);
    template_chunk chunk{
        "site", 18, 0, 9, bytes.substr(0, template_chunk_bytes), true};
    pair.receiver_.on_chunk(chunk, sender_address, pair.now_, out);
    out.clear();
    auto const plain =
        template_chunk{"site", 18, 1, 9, std::string(1'000, 'a'), false};
    auto const shorter =
        template_chunk{"site", 18, 1, 2, std::string(1'000, 'a'), true};
    auto const other_base =
        template_chunk{"site", 18, 1, 9, std::string(1'000, 'a'), true, 5};
    for (auto const& odd : {plain, shorter, other_base})
    {
        pair.receiver_.on_chunk(odd, sender_address, pair.now_, out);
    }
    CHECK(out.empty());
}

// A version that can't be put together isn't refused: it may be valid.
TEST_CASE("chunks that don't belong together are reported, and the version is "
          "fetched again")
{
    transfer_pair pair;
    auto const value = make_document(18, 300);
    auto const bytes = compress_text(value);
    std::vector<control_action> out;
    pair.receiver_.on_offer(make_offer(18), sender_address, pair.now_, out);
    auto const count = static_cast<std::uint32_t>(
        (bytes.size() + template_chunk_bytes - 1) / template_chunk_bytes);
    REQUIRE(count > 1);
    for (std::uint32_t index = 0; index < count; ++index)
    {
        template_chunk chunk{"site", 18, index, count, {}, true};
        chunk.bytes_ =
            bytes.substr(index * template_chunk_bytes, template_chunk_bytes);
        chunk.bytes_.front() ^= index == 1 ? 1 : 0;
        pair.receiver_.on_chunk(chunk, sender_address, pair.now_, out);
    }
    CHECK(count_reports(out, report_kind::transfer_failed) == 1);
    CHECK(pair.receiver_.refused_templates().empty());
    pair.hold(pair.sender_, 18, value);
    pair.transfer(18);
    CHECK(pair.receiver_has(value));
}

// A few chunks may stand for a text that fills the memory.
TEST_CASE("a compressed text beyond the bound of a transfer is refused aloud")
{
    transfer_pair pair;
    pair.hold(pair.sender_, 18, std::string(max_transfer_bytes + 1, 'a'));
    std::vector<control_action> out;
    pair.receiver_.on_offer(make_offer(18), sender_address, pair.now_, out);
    std::vector<control_action> answers;
    pair.sender_.answer_request(messages_of<template_request>(out).front(),
                                receiver_address, answers);
    for (auto const& chunk : messages_of<template_chunk>(answers))
    {
        pair.receiver_.on_chunk(chunk, sender_address, pair.now_, out);
    }
    CHECK(count_reports(out, report_kind::refused_invalid) == 1);
    CHECK(pair.receiver_.refused_templates().size() == 1);
}

TEST_CASE("a version isn't fetched again while its value is checked")
{
    transfer_pair pair;
    pair.hold(pair.sender_, 18, "a");
    std::vector<control_action> out;
    pair.receiver_.on_offer(make_offer(18), sender_address, pair.now_, out);
    std::vector<control_action> answers;
    pair.sender_.answer_request(messages_of<template_request>(out).front(),
                                receiver_address, answers);
    out.clear();
    pair.receiver_.on_chunk(messages_of<template_chunk>(answers).front(),
                            sender_address, pair.now_, out);
    auto received = out;
    out.clear();
    pair.receiver_.on_offer(make_offer(18), receiver_address, pair.now_, out);
    pair.now_ += std::chrono::seconds(30);
    pair.receiver_.tick(pair.now_, out);
    CHECK(messages_of<template_request>(out).empty());
    SUBCASE("it is adopted after the check")
    {
        pair.adopt(received);
        CHECK(pair.receiver_has("a"));
    }
    SUBCASE("it is dropped without a report if a newer one came from the store")
    {
        pair.hold(pair.receiver_, 19, "b");
        pair.adopt(received);
        CHECK(pair.receiver_has("b"));
        CHECK(count_reports(received, report_kind::refused_older) == 0);
    }
}

} // namespace daisytrail
