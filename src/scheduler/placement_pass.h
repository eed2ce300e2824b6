// One placement pass over the waiting jobs: free capacity on the machines and who may use it.
//
// PlacementPass owns, for the duration of the pass: the best-fit queues (fit_queues.h), the
// machines that are kept empty as headroom, the machines that are held for jobs of higher priority,
// and the constraints for which no machine had room. Free capacity only shrinks during a pass. Not
// thread-safe.
#pragma once
#include <map>
#include <utility>
#include <vector>

#include "scheduler/fit_queues.h"
#include "scheduler/placement.h"
#include "scheduler/zone_constraint.h"
#include "state/cluster_state.h"

namespace weirmill {

// What a job requires of the machines for its tasks.
struct PlacementConstraints {
    Resources demand;
    std::vector<Index> types;
    Index zone;
    bool spot;
    explicit PlacementConstraints(const JobSpec& s)
        : demand(s.demand), types(s.types), zone(s.zone), spot(s.spot) {}
    // Returns whether the spec allows the same machines, regardless of its demand.
    bool same_machines_allowed(const JobSpec& s) const {
        return types == s.types && zone == s.zone && spot == s.spot;
    }
};

class PlacementPass {
  public:
    // `waiting`: the jobs that will be placed. `now`: steady clock, seconds. The cluster state and
    // the specs that `headroom` points to must outlive the pass.
    PlacementPass(ClusterState& cluster, const MachineFilter& usable,
                  const std::vector<Index>& waiting, double now,
                  const std::vector<Headroom>& headroom);

    ClusterState& cluster() { return cluster_; }

    // Returns the machines with room for a task of the job, best fit first, or null if there are
    // none. `image_machines_only`: restricts them to machines that have the job's image or are
    // fetching it. The pointer is valid until the next call of candidates or zone_order.
    FitQueue* candidates(Index index, bool image_machines_only);

    // Returns the zones that have a machine which the job may use, in the order in which to try
    // them: first by the number of tasks that find their image there, most first, because a gang
    // waits for the slowest image fetch; then by the lowest index of such a machine.
    std::vector<Index> zone_order(Index index);

    // Holds partly free machines that are too full for a task of the job, which found no room: jobs
    // of lower priority may not use them until enough capacity becomes free for the task. Without
    // that, smaller tasks take the capacity again whenever one of them ends: 2-CPU tasks of high
    // priority waited minutes behind 1-CPU tasks of lower priority. Does nothing for tasks that
    // need a whole machine, because preemption evicts machines for those (preemption.h).
    void hold_partial_capacity(const Job& job);

    // Calls `place(machine)` for one task after the other, best fit first, until it returns false
    // or no machine has room. Fills the best machine before it uses the next one, because a machine
    // fits equal tasks even better with each of them. `only_zone`: uses only machines of this zone;
    // kNone: of any.
    template <class Place>
    void fill(Index index, FitQueue& queue, Index only_zone, ZoneConstraint& zones, Place place) {
        auto& job = *cluster_.jobs[index];
        std::vector<std::pair<FitQueue::ZoneQueue*, FitQueue::Entry>> popped;
        bool more = true;
        while (more) {
            auto* zone = best_zone(queue, only_zone, zones);
            if (!zone) break;
            auto entry = queues_.pop(*zone);
            // Such a machine stays unusable for all tasks of this shape until capacity is taken
            // there, which adds a new entry for it. The popped one is not put back.
            if (!cluster_.leaves_gpus_usable(job.spec, *cluster_.machines[entry.machine])) continue;
            popped.emplace_back(zone, entry);
            if (may_use(index, entry.machine))
                more = fill_machine(job, entry.machine, zones, place);
        }
        for (auto& [zone, entry] : popped) queues_.put_back(*zone, entry);
    }

    // Records that a task was placed on the machine. Its capacity must already be taken in the
    // cluster state.
    void record_placement(Index machine);

    // Returns the capacity that tasks of this spec could use on all running and booting machines if
    // these were empty.
    Resources capacity_for(const JobSpec& spec);

  private:
    // Empty machines that are kept for jobs of the spec.
    struct KeptHeadroom {
        const JobSpec* spec;
        int64_t surplus;  // tasks that fit on the empty machines beyond those to keep
    };

    std::vector<Index> find_open_machines(const MachineFilter& usable,
                                          const std::vector<Index>& waiting) const;
    void keep_headroom(const std::vector<Headroom>& headroom);
    bool is_headroom(const KeptHeadroom& kept, const Machine& m) const;
    bool may_use(Index index, Index machine) const;
    bool known_exhausted(const JobSpec& spec) const;
    bool shares_machines(const JobSpec& spec) const;
    bool held_for_others(Index machine, Priority priority) const;
    FitQueue::ZoneQueue* best_zone(FitQueue& queue, Index only_zone,
                                   const ZoneConstraint& zones) const;

    // Returns false if `place` wants no more machines.
    template <class Place>
    bool fill_machine(const Job& job, Index machine, ZoneConstraint& zones, Place& place) {
        auto& m = *cluster_.machines[machine];
        while (job.spec.demand.fits_in(m.free_resources()) && zones.allows(m.zone) &&
               cluster_.leaves_gpus_usable(job.spec, m)) {
            if (!place(machine)) return false;
            zones.add(m.zone);
        }
        return true;
    }

    ClusterState& cluster_;
    double now_;
    std::vector<KeptHeadroom> headroom_;
    std::vector<Index> open_machines_;  // with room for the smallest waiting task, ascending
    std::vector<Index> jobs_with_reservation_;  // that have an open machine reserved
    FitQueues queues_;
    Priority lowest_priority_ = Priority::Production;  // of the waiting jobs
    std::map<Index, Priority> held_;  // machines that jobs of lower priority may not use
    std::vector<PlacementConstraints> exhausted_;  // constraints for which no machine had room
    std::vector<std::pair<PlacementConstraints, Resources>> capacities_;  // cache of capacity_for
};

}  // namespace weirmill
