// Best-fit priority queues of machines for one scheduling pass.
//
// FitQueues owns one queue for each task shape that the pass meets, with the machines that have
// room for such a task, best fit first, and a log of the machines on which capacity was taken. Two
// tasks have the same shape if the same machines may run them, each machine fits equally many of
// them, and they use the same image; most of a site's jobs have one of a few shapes. On each access
// a queue reads only the log entries since its last access instead of examining every machine
// again, so the cost of a pass grows with its placements and shapes and not with jobs times
// machines.
//
// During a pass, free capacity only shrinks, and images, heartbeats and reservations do not change.
#pragma once
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <tuple>
#include <vector>

#include "state/cluster_state.h"

namespace weirmill {

// How badly a machine fits a task; the lowest score is the best fit. Machines with GPUs score worst
// for tasks that need none. The last component is the time until the machine's next heartbeat: a
// task can't start before it, and a gang starts with the last of its tasks.
using FitScore = std::tuple<bool, bool, bool, int64_t, bool, bool, bool, int64_t, int64_t, double>;
FitScore fit_score(const ClusterState& cluster, const Job& job, Index machine_index, double now);

class FitQueue {
  public:
    struct Entry {
        FitScore score;
        Index machine;
        uint32_t version;  // of the machine's free capacity, see FitQueues::versions_
        bool operator>(const Entry& o) const {
            return std::tie(score, machine) > std::tie(o.score, o.machine);
        }
    };
    // The machines of one zone.
    struct ZoneQueue {
        std::vector<Entry> heap;
        // Tasks of this shape that fit on the zone's machines. A job may not be allowed to use all
        // of them.
        int64_t free_slots = 0;
        // All machines that had a free slot when the queue was built, ascending.
        std::vector<Index> machines;
        size_t first_with_slots = 0;  // no machine at a lower position has a free slot
    };

    // Returns how many tasks of this shape fit on the machines of the zone.
    int64_t free_slots(Index zone) const;
    // Returns how many tasks of this shape fit on the machines of all zones.
    int64_t free_slots() const;
    bool has_free_slot(Index machine) const { return slots_[machine] > 0; }
    std::map<Index, ZoneQueue>& zones() { return zones_; }

  private:
    friend class FitQueues;
    std::map<Index, ZoneQueue> zones_;  // by zone
    std::vector<int64_t> slots_;        // by machine: tasks of this shape that fit
    size_t log_position_ = 0;           // entries of FitQueues::log_ that are applied
    bool image_machines_only_ = false;
};

class FitQueues {
  public:
    // `open_machines`: machines that may be given tasks, ascending. `waiting`: the jobs for which
    // queues will be requested.
    FitQueues(const ClusterState& cluster, std::vector<Index> open_machines,
              const std::vector<Index>& waiting, double now);

    // Returns the queue for tasks of the job, up to date with the log. `image_machines_only`:
    // restricts it to machines that have the job's image or are fetching it. The reference is valid
    // until the next call.
    FitQueue& queue_for(Index job, bool image_machines_only);
    // Records that capacity was taken on the machine.
    void record_capacity_taken(Index machine);
    // Returns the best entry of the zone that is not stale, or null if no machine there has room.
    const FitQueue::Entry* top(FitQueue::ZoneQueue& zone) const;
    // Removes and returns the best entry of the zone that is not stale. There must be one.
    FitQueue::Entry pop(FitQueue::ZoneQueue& zone) const;
    // Returns a popped entry to the queue, unless capacity was taken on its machine since.
    void put_back(FitQueue::ZoneQueue& zone, const FitQueue::Entry& entry) const;
    // Returns the machine with the lowest index that has a free slot in the zone and satisfies the
    // predicate, or kNone.
    template <class Predicate>
    static Index lowest_machine(FitQueue& queue, FitQueue::ZoneQueue& zone, Predicate accepts) {
        auto& first = zone.first_with_slots;
        while (first < zone.machines.size() && !queue.has_free_slot(zone.machines[first])) ++first;
        for (size_t k = first; k < zone.machines.size(); ++k)
            if (auto i = zone.machines[k]; queue.has_free_slot(i) && accepts(i)) return i;
        return kNone;
    }

  private:
    // What tasks of one shape have in common: CPUs, GPUs, memory, zone, spot, whether it is a gang
    // of several tasks, image, machine types.
    using TaskShape =
        std::tuple<int64_t, int64_t, int64_t, Index, bool, bool, Index, std::vector<Index>>;
    struct CachedQueue {
        uint32_t shape = 0;
        FitQueue queue;
    };
    static TaskShape task_shape(const JobSpec& spec);
    void build(FitQueue& queue, const Job& job) const;
    void apply_log(FitQueue& queue, const Job& job) const;
    void update_machine(FitQueue& queue, const Job& job, Index machine) const;

    const ClusterState& cluster_;
    double now_;
    std::vector<Index> open_machines_;
    std::vector<Index> log_;               // machines, in the order in which capacity was taken
    std::vector<uint32_t> versions_;       // by machine: 1 + the position of its newest log entry
    std::vector<uint32_t> shape_of_job_;   // by job
    std::vector<uint32_t> jobs_of_shape_;  // by shape: number of waiting jobs
    std::list<CachedQueue> cached_;        // most recently used first
    FitQueue uncached_;                    // of a job that shares its queue with no other job
};

}  // namespace weirmill
