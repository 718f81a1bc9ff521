# Requests passed between the agents of one service, by Cap'n Proto RPC.
@0xb4c1d72e9a6f0358;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("daisytrail::wire");

struct Load {
  waitNs @0 :Int64;
  utilisation @1 :Float64;
  failures @2 :Float64;
  slowdown @3 :Float64;
}

struct Offer {
  service @0 :UInt64;
  home @1 :UInt64;          # target of the agent that offers
  request @2 :UInt64;       # its own id at its home
  class @3 :UInt32;
  waitedNs @4 :Int64;       # since it was received
  deadlineNs @5 :Int64;     # from now
  homeWaitNs @6 :Int64;     # wait that it would have at home
  immediate @7 :Bool;       # only if a slot is free now
}

struct Field {
  name @0 :Text;
  value @1 :Text;
}

struct Request {
  service @0 :UInt64;
  home @1 :UInt64;
  request @2 :UInt64;
  class @3 :UInt32;
  waitedNs @4 :Int64;
  deadlineNs @5 :Int64;
  method @6 :Text;
  target @7 :Text;
  fields @8 :List(Field);
  body @9 :Data;
}

# Receives one answer. Each call names the request and counts up from 0.
interface AnswerSink {
  head @0 (request :UInt64, sequence :UInt64, status :UInt16, reason :Text,
           fields :List(Field), length :Int64, hasBody :Bool);  # -1: unknown
  body @1 (request :UInt64, sequence :UInt64, bytes :Data);
}

interface Agent {
  # Answers once a slot is held (granted) or with a refusal.
  reserve @0 (offer :Offer) -> (granted :Bool, reservation :UInt64, load :Load);
  # Returns the slot or the place in the queue.
  release @1 (home :UInt64, request :UInt64);
  # Runs a request on a reserved slot, or as the owner of its idempotency key
  # if `reservation` is 0. Answers after the last call of the sink.
  start @2 (reservation :UInt64, request :Request, sink :AnswerSink)
      -> (request :UInt64, sequence :UInt64, outcome :UInt16,
          retryAfterNs :Int64);
  # Notes that `home` is about to run the request of a key that a caller chose.
  # 0: noted, 1: already known from another agent, 2: no room.
  witness @3 (home :UInt64, key :Text, fingerprint :UInt64) -> (answer :UInt8);
}
