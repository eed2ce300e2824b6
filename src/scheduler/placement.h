// Where waiting tasks go: best-fit decreasing by GPU demand, or CPU without GPUs.
#pragma once
#include <functional>
#include <vector>

#include "state/cluster_state.h"

namespace weirmill {

struct Placement {
    Index job;
    uint32_t task;
    Index machine;
    uint32_t attempt;
    bool operator==(const Placement&) const = default;
};

// True: the machine may be given tasks now.
using Usable = std::function<bool(const Machine&)>;

// Jobs with pending tasks that may be placed now, most pressing first.
std::vector<Index> waiting_jobs(const ClusterState& cluster, double now);
// The same, equals together.
std::vector<std::vector<Index>> waiting_ranks(const ClusterState& cluster, double now);
bool image_near(const ClusterState& cluster, const Machine& m, Index image);

// Room to keep for a class whose jobs should start sooner than a new machine comes up.
struct Headroom {
    const JobSpec* like;
    int64_t tasks;    // that should find room, free or soon cleared
    int64_t at_once;  // of those, on empty machines: what comes while others are cleared
};

// Places what fits, marking it in the tables, and returns it. Work of lower priority leaves the
// `spare` machines empty. `first`: jobs that go before their equals (coordination/begin): of an
// array one task, as it has begun then.
std::vector<Placement> place_waiting(ClusterState& cluster, const Usable& usable, double now,
                                     size_t most = 4096, const std::vector<Headroom>& headroom = {},
                                     const std::vector<Index>& first = {});

// Zones that tasks of the job may be in, for jobs bound to one zone or spread over several.
struct ZoneRule {
    const ClusterState& cluster;
    const Job& job;
    std::vector<uint32_t> in_zone;  // tasks that may be there, by zone index
    uint32_t somewhere = 0;         // of those, on machines whose zone is not known
    ZoneRule(const ClusterState& cluster, const Job& job);
    bool allows(Index zone) const;
    void add(Index zone);
};

}  // namespace weirmill
