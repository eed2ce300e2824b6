// The connectivity of one controller. It sends this to its peers with each ping and stores it under
// a key of its own.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace weirmill {

struct LinkStatus {
    bool reports_links = false;  // false: the controller runs a version that does not report links
    bool reaches_kv = false;     // the key-value store answered this controller recently
    // Workers that send heartbeats directly to this controller. A follower counts only workers that
    // can't reach the leader.
    uint32_t direct_workers = 0;
    uint32_t reachable_workers = 0;            // direct workers and those of reachable peers
    uint32_t known_workers = 0;                // at a leader: workers that should send heartbeats
    std::vector<std::string> reachable_peers;  // peers that answered this controller recently
    // Fencing token of the leader that the worker counts are about, which is the controller's own
    // while it leads. 0: the controller knew of no leader, or its version does not report it.
    uint64_t leader_token = 0;
    bool operator==(const LinkStatus&) const = default;
};

}  // namespace weirmill
