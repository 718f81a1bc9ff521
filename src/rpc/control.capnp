# Control datagrams between balancers and agents, sent in packed encoding.
@0xe3b7d2a94c1f8065;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("daisytrail::wire");

struct Endpoint {
  address @0 :UInt32;
  port @1 :UInt16;
}

struct Item {
  id @0 :UInt64;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  kind @3 :UInt8;
  state @4 :UInt8;
}

struct Contact {
  id @0 :UInt64;
  address @1 :UInt32;
  port @2 :UInt16;
}

struct Record {
  item @0 :Item;
  service @1 :UInt64;
  name @2 :Text;
  failureDomain @3 :Text;
  tunnel @4 :Endpoint;
  control @5 :Endpoint;
  rpc @6 :Endpoint;
  slots @7 :UInt32;
  connections @8 :UInt32;
  weight @9 :UInt32;
}

struct ProbeAnswer {
  subject @0 :UInt64;
  alive @1 :Bool;
}

struct Digest {
  root @0 :UInt64;
  items @1 :List(Item);
  complete @2 :Bool;
}

struct Tree {
  level @0 :UInt8;
  prefix @1 :UInt32;
  hashes @2 :List(UInt64);
}

struct Branch {
  prefix @0 :UInt32;
  items @1 :List(Item);
  level @2 :UInt8;
}

struct Heartbeat {
  record @0 :Record;
  organisation @1 :UInt64;
  version @2 :UInt64;
  peersHash @3 :UInt64;
  observersHash @4 :UInt64;
}

struct HeartbeatAck {
  known @0 :Item;
  observers @1 :List(Contact);
}

struct TemplateRequest {
  organisation @0 :UInt64;
  version @1 :UInt64;
  index @2 :UInt32;
  count @3 :UInt32;
  acceptsCompressed @4 :Bool;
  baseHash @5 :UInt64;
}

struct TemplateChunk {
  organisation @0 :Text;
  version @1 :UInt64;
  index @2 :UInt32;
  count @3 :UInt32;
  bytes @4 :Data;
  compressed @5 :Bool;
  baseHash @6 :UInt64;
}

struct ViewQuestion {
  round @0 :UInt32;
  targetsHash @1 :UInt64;
}

struct ViewAnswer {
  round @0 :UInt32;
  targetsHash @1 :UInt64;
  settled @2 :Bool;
  latest @3 :List(UInt64);
}

struct ControlMessage {
  union {
    ping @0 :UInt64;
    pong @1 :Item;
    probeRequest @2 :Contact;
    probeAnswer @3 :ProbeAnswer;
    digest @4 :Digest;
    pull @5 :List(UInt64);
    records @6 :List(Record);
    tree @7 :Tree;
    branch @8 :Branch;
    heartbeat @9 :Heartbeat;
    heartbeatAck @10 :HeartbeatAck;
    templateRequest @11 :TemplateRequest;
    templateChunk @12 :TemplateChunk;
    viewQuestion @13 :ViewQuestion;
    viewAnswer @14 :ViewAnswer;
  }
}
