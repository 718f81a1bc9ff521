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

# The sender owns the flow, or no longer does. `vip` counts in the batch's list,
# so that a change takes one word.
struct FlowChange {
  caller @0 :UInt32;
  callerPort @1 :UInt16;
  vip @2 :UInt8;
  removed @3 :Bool;
}

struct FlowVip {
  address @0 :UInt32;
  port @1 :UInt16;
}

struct FlowBatch {
  view @0 :UInt64;
  complete @1 :Bool;
  vips @2 :List(FlowVip);
  changes @3 :List(FlowChange);
}

# A datagram between two agents of a service.
struct FlowMessage {
  from @0 :UInt64;
  to @1 :UInt64;
  fromEpoch @2 :UInt64;
  toEpoch @3 :UInt64;
  stream @4 :UInt64;
  sequence @5 :UInt64;
  union {
    acknowledgement @6 :Void;
    batch @7 :FlowBatch;
  }
  openFlows @8 :UInt32;
}
