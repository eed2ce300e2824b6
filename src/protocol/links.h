// What one controller reports of its links: to its peers with each ping, and under a key of its
// own.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace weirmill {

struct LinkStatus {
    bool reports_links = false;  // false: the controller is of a version that reports no links
    bool reaches_kv = false;     // the state service answered it lately
    // Workers that come to it by themselves; at a follower only those that can't use the leader.
    uint32_t direct_workers = 0;
    uint32_t reachable_workers = 0;            // the same, or through a peer that answers it
    uint32_t known_workers = 0;                // at a leader: workers that should report
    std::vector<std::string> reachable_peers;  // that answered it lately
    bool operator==(const LinkStatus&) const = default;
};

}  // namespace weirmill
