// What one controller says of its links, to its peers with each ping and under a key of its own.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace weirmill {

struct LinkStatus {
    bool adoption_recorded = false;  // false: by a version that says nothing of links
    bool state = false;              // the state service answered it lately
    uint32_t direct =
        0;  // workers that come to it; for a follower only those that could not do with the leader
    uint32_t reach = 0;              // the same, or through a peer that it hears
    uint32_t known = 0;              // a leader: workers that should report
    std::vector<std::string> hears;  // peers that answered it lately
    bool operator==(const LinkStatus&) const = default;
};

}  // namespace weirmill
