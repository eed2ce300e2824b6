// Limits derived from the size of the fleet and from the memory and sockets assigned to the
// controller (docs/limits.md).
#pragma once
#include <algorithm>
#include <cstddef>

#include "config/settings.h"

namespace weirmill {

// The largest fleet that one leader supports. All of its machines may send a heartbeat within the
// same second.
inline constexpr size_t kMaxMachines = 4000;

// Limit on the requests of users and workers that are queued for the leader: one heartbeat of each
// machine, and as many other requests.
inline constexpr size_t kMaxQueuedRequests = 2 * kMaxMachines;

// Share of the assigned memory that one queue may use.
inline constexpr double kQueueMemoryShare = 1.0 / 8;

// Returns the limit of one queue in bytes.
inline size_t max_queue_bytes(const Settings& s) {
    return static_cast<size_t>(s.mem_mb * 1e6 * kQueueMemoryShare);
}

// Returns the limit in bytes on the requests queued for the leader. With 128 MB of memory it allows
// 4 KB for each machine.
inline size_t max_queued_request_bytes(const Settings& s) { return max_queue_bytes(s); }

// Returns the limit in bytes on the messages queued for one peer. With 128 MB of memory it allows a
// relayed heartbeat of 4 KB from each machine.
inline size_t max_peer_queue_bytes(const Settings& s) { return max_queue_bytes(s); }

// Sockets reserved for the key-value store, the cloud and peers.
inline constexpr int kReservedSockets = 64;

// Lower bound of the socket limits below, even if fewer sockets are assigned.
inline constexpr int kMinSockets = 16;

// Returns the number of sockets over which stop commands are sent to workers at the same time: a
// sixteenth of all sockets for the first attempts, and as many again for repeated ones.
inline int stop_sockets(const Settings& s) { return std::max(kMinSockets, s.max_sockets / 16); }

// Returns the limit on the connections of users and workers.
inline int max_connections(const Settings& s) {
    return std::max(kMinSockets, s.max_sockets - kReservedSockets - 2 * stop_sockets(s));
}

}  // namespace weirmill
