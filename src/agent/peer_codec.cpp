// Reads and writes the Cap'n Proto messages between agents.
#include "agent/peer_codec.hpp"

namespace daisytrail
{

std::string to_string(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

std::string to_string(capnp::Data::Reader data)
{
    auto const chars = data.asChars();
    return {chars.begin(), chars.size()};
}

kj::ArrayPtr<kj::byte const> to_data(std::string const& text)
{
    return kj::StringPtr(text.c_str(), text.size()).asBytes();
}

void write_fields(capnp::List<wire::Field>::Builder out,
                  header_fields const& fields)
{
    for (unsigned i = 0; i < fields.size(); ++i)
    {
        out[i].setName(fields[i].name_.c_str());
        out[i].setValue(fields[i].value_.c_str());
    }
}

header_fields read_fields(capnp::List<wire::Field>::Reader in)
{
    header_fields fields;
    for (auto const field : in)
    {
        fields.push_back(
            {to_string(field.getName()), to_string(field.getValue())});
    }
    return fields;
}

void write_load(wire::Load::Builder out, load_report const& load)
{
    out.setWaitNs(load.wait_.count());
    out.setUtilisation(load.utilisation_);
    out.setFailures(load.failure_rate_);
    out.setSlowdown(load.slowdown_);
}

load_report read_load(wire::Load::Reader in)
{
    return {duration(in.getWaitNs()), in.getUtilisation(), in.getFailures(),
            in.getSlowdown()};
}

void write_offer(wire::Offer::Builder out, peer_offer_request const& offer)
{
    out.setService(offer.service_);
    out.setHome(offer.origin_);
    out.setRequest(offer.request_);
    out.setClass(static_cast<std::uint32_t>(offer.class_));
    out.setWaitedNs(offer.age_.count());
    out.setDeadlineNs(offer.deadline_.count());
    out.setHomeWaitNs(offer.origin_wait_.count());
    out.setImmediate(offer.immediate_);
}

peer_offer_request read_offer(wire::Offer::Reader in)
{
    return {in.getService(),
            in.getHome(),
            in.getRequest(),
            in.getClass(),
            duration(in.getWaitedNs()),
            duration(in.getDeadlineNs()),
            duration(in.getHomeWaitNs()),
            in.getImmediate()};
}

void write_request(wire::Request::Builder out, peer_request const& request)
{
    out.setService(request.service_);
    out.setHome(request.origin_);
    out.setRequest(request.request_);
    out.setClass(static_cast<std::uint32_t>(request.class_));
    out.setWaitedNs(request.age_.count());
    out.setDeadlineNs(request.deadline_.count());
    out.setMethod(request.head_.method_.c_str());
    out.setTarget(request.head_.target_.c_str());
    write_fields(
        out.initFields(static_cast<unsigned>(request.head_.fields_.size())),
        request.head_.fields_);
    out.setBody(to_data(request.body_));
}

peer_request read_request(wire::Request::Reader in)
{
    peer_request request;
    request.service_ = in.getService();
    request.origin_ = in.getHome();
    request.request_ = in.getRequest();
    request.class_ = in.getClass();
    request.age_ = duration(in.getWaitedNs());
    request.deadline_ = duration(in.getDeadlineNs());
    request.head_.method_ = to_string(in.getMethod());
    request.head_.target_ = to_string(in.getTarget());
    request.head_.fields_ = read_fields(in.getFields());
    request.body_ = to_string(in.getBody());
    request.head_.length_ = request.body_.size();
    return request;
}

} // namespace daisytrail
