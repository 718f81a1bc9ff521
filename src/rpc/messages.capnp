# Messages between daisytrail's own processes.
@0xd1a5e0c4b7f3921e;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("daisytrail::wire");

struct Candidate {
  target @0 :UInt64;
  incarnation @1 :UInt64;
  address @2 :UInt32;
  port @3 :UInt16;
  state @4 :UInt8;
}

# Precedes a bare IPv4 packet.
struct TunnelHeader {
  service @0 :UInt64;
  target @1 :UInt64;
  incarnation @2 :UInt64;
  position @3 :UInt8;
  hops @4 :UInt8;
  denied @5 :UInt8;
  trail @6 :List(Candidate);
}
