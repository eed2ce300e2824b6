// Reports from workers, commands to them.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "protocol/json_read.h"
#include "protocol/types.h"

namespace weirmill {

Heartbeat parse_heartbeat(std::string_view body);  // throws BadMessage
std::string heartbeat_response(uint64_t fencing_token, const std::vector<Command>& commands);
std::string direct_commands(uint64_t fencing_token, uint64_t agent_epoch,
                            const std::vector<Command>& commands);
std::string redirect_answer(const std::string& leader);  // empty: nobody to name

// The machine and its token only: what a follower needs to redirect or relay.
struct HeartbeatHeader {
    std::string machine;
    uint64_t fencing_token = 0;
};
HeartbeatHeader parse_heartbeat_header(std::string_view body);

}  // namespace weirmill
