// Conversion between the types of peer_link.hpp and Cap'n Proto messages.
#pragma once

#include "agent/peer_link.hpp"
#include "rpc/generated/peer.capnp.h"

namespace daisytrail
{

std::string to_string(capnp::Text::Reader text);
std::string to_string(capnp::Data::Reader data);
kj::ArrayPtr<kj::byte const> to_data(std::string const& text);
void write_fields(capnp::List<wire::Field>::Builder out,
                  header_fields const& fields);
header_fields read_fields(capnp::List<wire::Field>::Reader in);
void write_load(wire::Load::Builder out, load_report const& load);
load_report read_load(wire::Load::Reader in);
void write_offer(wire::Offer::Builder out, peer_offer_request const& offer);
peer_offer_request read_offer(wire::Offer::Reader in);
void write_request(wire::Request::Builder out, peer_request const& request);
peer_request read_request(wire::Request::Reader in);

} // namespace daisytrail
