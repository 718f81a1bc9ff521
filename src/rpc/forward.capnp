# Messages between the balancer and the agent of a forwarded flow.
@0xb6f0c2d94e81a357;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("daisytrail::wire");

# Precedes a packet, or stands alone; see relay_message for the fields.
struct RelayHead {
  service @0 :UInt64;
  target @1 :UInt64;
  version @2 :UInt64;
  kind @3 :UInt8;
  reason @4 :UInt8;
  accepts @5 :Bool;
  load @6 :LoadReport;
  asksOwner @7 :Bool;
  flows @8 :List(AskedFlow);
  idleLimitMs @9 :UInt32;
}

# A flow whose owner is searched; agents answer with its holding.
struct AskedFlow {
  callerAddress @0 :UInt32;
  callerPort @1 :UInt16;
  vipPort @2 :UInt16;
  vipAddress @3 :UInt32;
  holding @4 :UInt8;
}

# What an agent tells of its backend server.
struct LoadReport {
  underWay @0 :UInt32;
  meanUnderWayMilli @1 :UInt32;
  serviceMicros @2 :UInt32;
  openFlows @3 :UInt32;
  share @4 :UInt16;
  failurePerMille @5 :UInt16;
}
