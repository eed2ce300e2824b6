// Limits that follow from the size of the fleet and from the controller's memory and sockets
// (docs/limits.md).
#pragma once
#include <algorithm>
#include <cstddef>

#include "config/settings.h"

namespace weirmill {

// The largest fleet that one leader serves. All of its machines may send a heartbeat within the
// same second.
inline constexpr size_t kMaxMachines = 4000;

// Requests of users and workers that may be queued for the leader: a heartbeat of each machine, and
// as many others.
inline constexpr size_t kMaxQueuedRequests = 2 * kMaxMachines;

// Of the memory that is assigned, the part that one queue may fill.
inline constexpr double kQueueMemoryShare = 1.0 / 8;

// In bytes.
inline size_t max_queue_bytes(const Settings& s) {
    return static_cast<size_t>(s.mem_mb * 1e6 * kQueueMemoryShare);
}

// Bytes of requests that may be queued for the leader: 4 KiB for each machine at 128 MB.
inline size_t max_queued_request_bytes(const Settings& s) { return max_queue_bytes(s); }

// Bytes that may be queued to be written to one peer: a relayed heartbeat of each machine, of 4 KB
// at 128 MB.
inline size_t max_peer_queue_bytes(const Settings& s) { return max_queue_bytes(s); }

// Sockets kept for the key-value store, the cloud and peers.
inline constexpr int kServiceSockets = 64;

// Limits of users, workers and stops are never below this, however few sockets there are.
inline constexpr int kMinSockets = 16;

// Sockets over which stop commands are sent to workers at a time: a sixteenth of all for first
// stops, and as many for repeated ones.
inline int stop_sockets(const Settings& s) { return std::max(kMinSockets, s.max_sockets / 16); }

// Connections that users and workers may hold.
inline int max_connections(const Settings& s) {
    return std::max(kMinSockets, s.max_sockets - kServiceSockets - 2 * stop_sockets(s));
}

}  // namespace weirmill
