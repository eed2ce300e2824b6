// Machines in the order in which tasks of one kind fit them, kept by one scheduling pass.
//
// Owns: for each kind of task that the pass meets, a queue of the machines with room, best fit
// first, and the log of machines whose room the pass has taken. Tasks are of one kind if the same
// machines may run them, as many on each, and they use the same image; most of a site's jobs are of
// a few kinds. A queue learns of the room taken since it was last asked, not of every machine
// again: what a pass costs grows with its placements and its kinds, no longer with jobs times
// machines.
//
// During a pass room only shrinks, and images, heartbeats and reservations do not change.
#pragma once
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <tuple>
#include <vector>

#include "state/cluster_state.h"

namespace weirmill {

// How badly a machine fits a task: less is better. GPUs are not spent on tasks that need none while
// there is another place. Among equals, a machine whose next heartbeat is due soon: until then a
// task can't start, and a gang waits for the last of its own.
using Fit = std::tuple<bool, bool, bool, int64_t, bool, bool, bool, int64_t, int64_t, double>;
Fit fit(const ClusterState& cluster, const Job& job, Index index, double now);

class FitQueue {
  public:
    struct Entry {
        Fit fit;
        Index machine;
        uint32_t stamp;  // of the machine's room, see FitQueues
        bool operator>(const Entry& o) const {
            return std::tie(fit, machine) > std::tie(o.fit, o.machine);
        }
    };
    // The machines of one zone.
    struct Zone {
        std::vector<Entry> heap;
        int64_t room = 0;            // tasks of this kind; of some machines nobody may take all
        std::vector<Index> members;  // ascending: every machine that had room once
        size_t first = 0;            // before it, no member has room any more
    };

    // Tasks that the machines with room could take, in one zone or in all.
    int64_t room(Index zone) const;
    int64_t room() const;
    bool has_room(Index machine) const { return times_[machine] > 0; }
    std::map<Index, Zone>& zones() { return zones_; }

  private:
    friend class FitQueues;
    std::map<Index, Zone> zones_;  // by zone; few
    std::vector<int64_t> times_;   // by machine: tasks that fit
    size_t read_ = 0;              // of the log
    bool near_ = false;
};

class FitQueues {
  public:
    // `open`: machines that may be given tasks, ascending; `waiting`: the jobs that will ask, whose
    // kinds are counted.
    FitQueues(const ClusterState& cluster, std::vector<Index> open,
              const std::vector<Index>& waiting, double now);

    // The queue for tasks of the job as room stands now. `near`: only of machines where the image
    // is, or is being fetched. Valid until the next call.
    FitQueue& of(Index index, bool near);
    // Room was taken on the machine.
    void taken(Index machine);
    // The best entry of the zone that is not out of date; null: no machine there has room.
    const FitQueue::Entry* top(FitQueue::Zone& zone) const;
    // The same, taken out; there must be one.
    FitQueue::Entry pop(FitQueue::Zone& zone) const;
    // An entry that was popped, unless room was taken there since.
    void put_back(FitQueue::Zone& zone, const FitQueue::Entry& entry) const;
    // The machine with the lowest index that has room in the zone and that `may` accepts; kNone:
    // there is none.
    template <class May>
    static Index lowest(FitQueue& queue, FitQueue::Zone& zone, May may) {
        while (zone.first < zone.members.size() && !queue.has_room(zone.members[zone.first]))
            ++zone.first;
        for (size_t k = zone.first; k < zone.members.size(); ++k)
            if (auto i = zone.members[k]; queue.has_room(i) && may(i)) return i;
        return kNone;
    }

  private:
    // What tasks of one kind have in common: CPUs, GPUs, memory, zone, spot, whether it is a gang
    // of several tasks, image, machine types.
    using Kind =
        std::tuple<int64_t, int64_t, int64_t, Index, bool, bool, Index, std::vector<Index>>;
    struct CachedQueue {
        uint32_t kind = 0;
        FitQueue queue;
    };
    static Kind kind(const JobSpec& spec);
    void build(FitQueue& queue, const Job& job) const;
    void catch_up(FitQueue& queue, const Job& job) const;
    void admit(FitQueue& queue, const Job& job, Index machine) const;

    const ClusterState& cluster_;
    double now_;
    std::vector<Index> open_;
    std::vector<Index> log_;         // machines, in the order in which room was taken
    std::vector<uint32_t> stamp_;    // by machine: 1 + the place of its newest entry in the log
    std::vector<uint32_t> kind_of_;  // by job
    std::vector<uint32_t> asking_;   // by kind: jobs that wait
    std::list<CachedQueue> cached_;  // last used first
    FitQueue own_;                   // of a job that shares with no other
};

}  // namespace weirmill
