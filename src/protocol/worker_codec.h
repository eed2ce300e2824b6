// Codec of the workers' API: heartbeats from workers and commands to them. The parsers throw
// BadMessage.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "protocol/json_read.h"
#include "protocol/types.h"

namespace weirmill {

Heartbeat parse_heartbeat(std::string_view body);
std::string heartbeat_response(uint64_t fencing_token, const std::vector<Command>& commands);
// Body of a request that sends commands to a worker outside the response to a heartbeat.
std::string command_request(uint64_t fencing_token, uint64_t agent_epoch,
                            const std::vector<Command>& commands);
// Response that names the leader to use instead; `leader` is empty if it is unknown.
std::string redirect_response(const std::string& leader);

// The fields of a heartbeat that a follower needs to redirect or relay it.
struct HeartbeatHeader {
    std::string machine;
    uint64_t fencing_token = 0;
};
HeartbeatHeader parse_heartbeat_header(std::string_view body);

}  // namespace weirmill
