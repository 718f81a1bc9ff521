// Test fixture for the forwarding decisions of a balancer in virtual time: the
// targets of one service, packets from callers and answers of agents.
#pragma once

#include <daisytrail/flow_forwarder.hpp>

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace daisytrail::test
{

inline constexpr endpoint vip{0x0A000001, 443};
inline constexpr std::string_view service_name = "org/orders";

// Returns list entries of targets that were stored without their addresses.
inline std::vector<target_record>
listed(std::initializer_list<std::string_view> names)
{
    std::vector<target_record> result;
    for (auto const name : names)
    {
        result.emplace_back().target_ = hash_name(name);
    }
    return result;
}

struct forwarding_fixture
{
    forwarding_fixture()
    {
        organisation_template organisation{"org", {}, {}};
        organisation.routes_.push_back(
            {"main", vip, {{hash_name(service_name), 1}}});
        directory_.apply(organisation, 1);
        flow_forwarder_settings settings;
        settings.failure_domain_ = "a";
        forwarder_ = std::make_unique<flow_forwarder>(
            directory_, settings, now_ - std::chrono::minutes(1));
    }

    target_record add_target(std::string const& name,
                             member_state state = member_state::ready,
                             bool has_report = true)
    {
        target_record record;
        record.name_ = name;
        record.target_ = hash_name(name);
        record.service_ = hash_name(service_name);
        record.failure_domain_ = "a";
        record.slots_ = 4;
        record.state_ = state;
        record.version_ = {1, ++sequence_};
        directory_.apply(record);
        if (has_report)
        {
            report(name, {});
        }
        return record;
    }

    void report(std::string const& name, backend_load load)
    {
        load.accepts_ = true;
        directory_.on_load_report(hash_name(name), load, now_);
    }

    flow_packet packet(std::uint16_t port) const
    {
        flow_packet result;
        result.source_ = {0x64000001, port};
        result.destination_ = vip;
        result.ack_ = true;
        result.payload_bytes_ = 100;
        return result;
    }

    flow_packet syn(std::uint16_t port, std::uint8_t copy = 0) const
    {
        auto result = packet(port);
        result.syn_ = true;
        result.ack_ = false;
        result.payload_bytes_ = 0;
        result.syn_attempt_ = copy;
        return result;
    }

    // Confirms the view: other balancers know no further targets.
    void confirm()
    {
        if (confirms_view_)
        {
            directory_.confirm_view(now_);
        }
    }

    forward_action send(flow_packet const& value)
    {
        confirm();
        return forwarder_->on_packet(value, now_);
    }

    forward_action return_packet(flow_packet const& value, forward_target* from,
                                 return_reason reason = return_reason::not_held)
    {
        confirm();
        directory_.on_load_report(from->record_.target_, {.accepts_ = true},
                                  now_);
        return forwarder_->on_returned(value, from->record_.target_, reason,
                                       now_);
    }

    forward_action answer(flow_packet const& value, std::string const& name,
                          flow_ownership ownership)
    {
        confirm();
        report(name, {});
        return forwarder_->on_owner_answer(value.flow_from_caller(),
                                           hash_name(name), ownership, now_);
    }

    forward_action resume_search(flow_packet const& value)
    {
        confirm();
        return forwarder_->continue_search(value.flow_from_caller(), now_);
    }

    time_point now_{std::chrono::hours(1)};
    std::uint64_t sequence_ = 0;
    bool confirms_view_ = true; // confirm the view before each decision
    forward_directory directory_;
    std::unique_ptr<flow_forwarder> forwarder_;
};

} // namespace daisytrail::test
