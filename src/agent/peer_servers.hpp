// Cap'n Proto servers for the calls that this agent receives from other agents.
#pragma once

#include "agent/peer_thread.hpp"

namespace daisytrail
{

// Receives the response of a request that runs at another agent and passes it
// to `target` while that exists.
kj::Own<wire::AnswerSink::Server>
make_sink_server(peer_rpc_thread& thread, peer_rpc_thread::token call,
                 std::weak_ptr<remote_exchange> target);

// Handles the calls of other agents. `thread` must outlive the server.
kj::Own<wire::Agent::Server> make_agent_server(peer_rpc_thread& thread);

} // namespace daisytrail
