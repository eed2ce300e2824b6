// Jobs that wait for nothing: a machine that fits has room and their team is under its limit. Pure
// functions of the tables and a given time; they decide nothing.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "scheduler/placement.h"
#include "state/cluster_state.h"

namespace weirmill {

// What keeps the job from the room. The first that is true of the least held machine.
enum class BlockedBy : uint8_t {
    Nothing,      // the next pass should place it
    BackOff,      // it failed, and is tried again later
    Spared,       // for tasks with GPUs
    Reserved,     // for another job
    Quarantined,  // the machine failed tasks
    Unheard,      // the machine is silent or believed deaf
    Leaving,      // noticed, closing or being returned
};
inline constexpr size_t kBlockedByKinds = static_cast<size_t>(BlockedBy::Leaving) + 1;

struct StarvedJob {
    Index job = kNone;
    Index machine = kNone;  // of a gang: one of those that would hold it
    BlockedBy held = BlockedBy::Nothing;
};

// Well before users call it that.
inline constexpr double kStarvedAfter_s = 60;

// Of the jobs of which nothing has been placed for `waits_s` seconds since they could begin.
// Machines that never were up or are given up have no room.
std::vector<StarvedJob> starved_jobs(const ClusterState& cluster, const Usable& usable, double now,
                                     double waits_s);

void starved_gauges(const std::vector<StarvedJob>& starved, std::map<std::string, double>& out);

}  // namespace weirmill
