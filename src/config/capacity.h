// Limits that follow from the size of the fleet and from the platform's memory and sockets
// (docs/limits.md).
#pragma once
#include <algorithm>
#include <cstddef>

#include "config/settings.h"

namespace weirmill {

// The largest fleet that one leader serves. All of its machines may report within the same second.
inline constexpr size_t kMaxMachines = 4000;

// Messages that users and workers may have waiting for the leader: a report of each machine, and as
// many others.
inline constexpr size_t kMaxAsked = 2 * kMaxMachines;

// Bytes of requests that may wait for the leader: 4 KiB for each machine at 128 MB.
inline size_t most_asked_bytes(const Settings& s) {
    return static_cast<size_t>(s.mem_mb * 1e6 / 8);
}

// Bytes that may wait to be written to one peer: a relayed report of each machine, of 4 KB at 128
// MB.
inline size_t most_peer_bytes(const Settings& s) { return static_cast<size_t>(s.mem_mb * 1e6 / 8); }

// Sockets kept for the state service, the cloud and peers.
inline constexpr int kServiceSockets = 64;

// Sockets over which stops are sent to workers at a time.
inline int stop_sockets(const Settings& s) { return std::max(16, s.max_sockets / 8); }

// Connections that users and workers may hold.
inline int most_connections(const Settings& s) {
    return std::max(16, s.max_sockets - kServiceSockets - stop_sockets(s));
}

}  // namespace weirmill
