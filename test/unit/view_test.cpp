// Tests of the fleet view: which service owns a VIP, and which target records
// are stored after an update.
#include <daisytrail/view.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;

namespace
{

constexpr endpoint vip{0xC0000201, 80};
constexpr endpoint other_vip{0xC0000202, 80};

service_template make_service(service_id id, std::vector<endpoint> vips)
{
    service_template service;
    service.name_ = "service-" + std::to_string(id);
    service.id_ = id;
    service.vips_ = std::move(vips);
    return service;
}

target_record make_target(target_id id, service_id service,
                          record_version version = {1, 1})
{
    target_record record;
    record.target_ = id;
    record.service_ = service;
    record.version_ = version;
    record.weight_ = 1;
    record.state_ = member_state::ready;
    return record;
}

service_id owner_of(fleet_view const& view, endpoint const& address)
{
    auto const* service = view.find(address);
    return service == nullptr ? 0 : service->id_;
}

} // namespace

TEST_CASE("a VIP belongs to the service that the template assigns it to")
{
    fleet_view view;
    CHECK(view.find(vip) == nullptr);
    view.apply({"org", {make_service(1, {vip})}});
    CHECK(owner_of(view, vip) == 1);
    CHECK(view.find({vip.address_, 81}) == nullptr);
}

TEST_CASE("a VIP that moves to another service selects only its targets")
{
    fleet_view view;
    view.apply({"org", {make_service(1, {vip})}});
    view.apply(make_target(10, 1));
    view.apply(make_target(20, 2));
    view.apply({"org", {make_service(2, {vip})}});
    REQUIRE(owner_of(view, vip) == 2);
    auto const candidates = view.find(vip)->table_.pick(5);
    REQUIRE(candidates.size_ == 1);
    CHECK(candidates.candidates_[0].target_ == 20);
}

TEST_CASE("two services swap their VIPs in one change")
{
    fleet_view view;
    view.apply({"org", {make_service(1, {vip}), make_service(2, {other_vip})}});
    view.apply({"org", {make_service(1, {other_vip}), make_service(2, {vip})}});
    CHECK(owner_of(view, vip) == 2);
    CHECK(owner_of(view, other_vip) == 1);
}

TEST_CASE("a service that changes its VIP keeps its targets")
{
    fleet_view view;
    view.apply({"org", {make_service(1, {vip})}});
    view.apply(make_target(10, 1));
    view.apply({"org", {make_service(1, {other_vip})}});
    CHECK(view.find(vip) == nullptr);
    CHECK(view.find(other_vip)->table_.size() == 1);
}

TEST_CASE("a VIP moves from one organisation to another")
{
    fleet_view view;
    view.apply({"first", {make_service(1, {vip})}});
    view.apply({"first", {}});
    view.apply({"second", {make_service(2, {vip})}});
    CHECK(owner_of(view, vip) == 2);
}

TEST_CASE("a VIP claimed twice has the same owner in any order of arrival")
{
    organisation_template const first{"first", {make_service(1, {vip})}};
    organisation_template const second{"second", {make_service(2, {vip})}};
    fleet_view forward;
    forward.apply(first);
    forward.apply(second);
    fleet_view backward;
    backward.apply(second);
    backward.apply(first);
    CHECK(owner_of(forward, vip) == 1);
    CHECK(owner_of(backward, vip) == 1);
    forward.apply({"first", {}});
    CHECK(owner_of(forward, vip) == 2);
    backward.apply({"second", {}});
    CHECK(owner_of(backward, vip) == 1);
    backward.apply({"first", {}});
    CHECK(backward.find(vip) == nullptr);
}

TEST_CASE("targets received before their template are retained")
{
    fleet_view view;
    view.apply(make_target(10, 1));
    view.apply({"org", {make_service(1, {vip})}});
    CHECK(view.find(vip)->table_.size() == 1);
}

TEST_CASE("older and repeated records change nothing")
{
    fleet_view view;
    CHECK(view.apply(make_target(10, 1, {2, 1})));
    CHECK(!view.apply(make_target(10, 1, {2, 1})));
    CHECK(!view.apply(make_target(10, 1, {1, 9})));
    CHECK(view.apply(make_target(10, 1, {2, 2})));
}

TEST_CASE("a dead state supersedes the same version, but not the reverse")
{
    fleet_view view;
    auto record = make_target(10, 1);
    view.apply(record);
    record.state_ = member_state::dead;
    CHECK(view.apply(record));
    CHECK(view.find_service(1)->table_.size() == 0);
    record.state_ = member_state::ready;
    CHECK(!view.apply(record));
    record.version_.incarnation_ = 2;
    CHECK(view.apply(record));
    CHECK(view.find_service(1)->table_.size() == 1);
}

TEST_CASE("a target that changes its service is in the new table only")
{
    fleet_view view;
    view.apply({"org", {make_service(1, {vip}), make_service(2, {other_vip})}});
    view.apply(make_target(10, 1, {1, 1}));
    view.apply(make_target(10, 2, {2, 1}));
    CHECK(view.find_service(1)->table_.size() == 0);
    CHECK(view.find_service(2)->table_.size() == 1);
    CHECK(!view.apply(make_target(10, 1, {1, 5})));
}

TEST_CASE("only a target that has left is removed")
{
    fleet_view view;
    auto record = make_target(10, 1);
    view.apply(record);
    view.erase_if_gone(10);
    CHECK(view.target_count() == 1);
    record.version_.sequence_ = 2;
    record.state_ = member_state::left;
    view.apply(record);
    view.erase_if_gone(10);
    CHECK(view.target_count() == 0);
    CHECK(view.service_count() == 0);
    view.erase_if_gone(10);
}
