// Cap'n Proto capabilities that this agent offers to others.
#pragma once

#include "agent/peer_thread.hpp"

namespace daisytrail
{

// Takes the answer of a request that runs at another agent and passes it to
// `target`, if that still exists.
kj::Own<wire::AnswerSink::Server>
make_sink_server(peer_rpc_thread& thread, peer_rpc_thread::token call,
                 std::weak_ptr<remote_exchange> target);

// Serves the calls of other agents. `thread` must outlive it.
kj::Own<wire::Agent::Server> make_agent_server(peer_rpc_thread& thread);

} // namespace daisytrail
