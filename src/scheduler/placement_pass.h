// One placement pass over the waiting jobs: the room on the machines, and who may use it.
//
// Owns, for the time of the pass: the best-fit queues (fit_queues.h), the machines that are kept
// empty as headroom, those whose room is held for jobs of higher priority, and the constraints for
// which no room was found. Room only shrinks during a pass. Used by one thread.
#pragma once
#include <map>
#include <utility>
#include <vector>

#include "scheduler/fit_queues.h"
#include "scheduler/placement.h"
#include "scheduler/zone_rule.h"
#include "state/cluster_state.h"

namespace weirmill {

// Where tasks may run: what jobs ask for, room aside.
struct PlacementConstraints {
    Resources demand;
    std::vector<Index> types;
    Index zone;
    bool spot;
    explicit PlacementConstraints(const JobSpec& s)
        : demand(s.demand), types(s.types), zone(s.zone), spot(s.spot) {}
    bool same_places(const JobSpec& s) const {
        return types == s.types && zone == s.zone && spot == s.spot;
    }
};

class PlacementPass {
  public:
    // `waiting`: the jobs that will be placed. `now`: steady clock, seconds. The cluster and what
    // `headroom` refers to must outlive the pass.
    PlacementPass(ClusterState& cluster, const Usable& usable, const std::vector<Index>& waiting,
                  double now, const std::vector<Headroom>& headroom);

    ClusterState& cluster() { return cluster_; }

    // Machines with room for a task of the job, best fit first; null: there are none. `near`: only
    // those where its image is. Valid until the next call of candidates or zone_order.
    FitQueue* candidates(Index index, bool near);

    // The zones with a machine that the job may use, in the order in which they are tried: most
    // tasks that find their image there first, as a gang waits for the last of its machines to
    // fetch it; then by the lowest index of such a machine.
    std::vector<Index> zone_order(Index index);

    // Holds machines for a job that found no room: those with some, though not enough for one task,
    // are passed over by jobs of lower priority until more comes free there. Without that, tasks of
    // half the size took every place that a single end left, and 2-CPU tasks of high priority
    // waited minutes behind 1-CPU ones of lower. Not for tasks that take a machine to themselves:
    // those have machines cleared (preemption.h).
    void hold_partial_room(const Job& job);

    // Calls `place(machine)` for one task after the other, best fit first, until it returns false
    // or no room is left. Equal tasks fill the best machine before the next: with each of them it
    // fits better still. `only`: machines of this zone; kNone: of all.
    template <class Place>
    void fill(Index index, FitQueue& queue, Index only, ZoneRule& rule, Place place) {
        auto& job = *cluster_.jobs[index];
        std::vector<std::pair<FitQueue::Zone*, FitQueue::Entry>> popped;
        bool more = true;
        while (more) {
            auto* zone = best_zone(queue, only, rule);
            if (!zone) break;
            auto entry = queues_.pop(*zone);
            // Until others take room there, no task of this kind may: it comes back with the next
            // entry.
            if (!cluster_.leaves_gpus_usable(job.spec, *cluster_.machines[entry.machine])) continue;
            popped.emplace_back(zone, entry);
            if (may_use(index, entry.machine)) more = fill_machine(job, entry.machine, rule, place);
        }
        for (auto& [zone, entry] : popped) queues_.put_back(*zone, entry);
    }

    // A task was placed on the machine, and its room is taken in the cluster state.
    void task_placed(Index machine);

    // What tasks like this one could take of the machines that are there or coming up, were all of
    // them empty.
    Resources capacity_for(const JobSpec& spec);

  private:
    // Empty machines that are kept for jobs like this one.
    struct KeptHeadroom {
        const JobSpec* like;
        int64_t surplus;  // tasks that the empty machines hold beyond what is to be kept
    };

    std::vector<Index> find_open_machines(const Usable& usable,
                                          const std::vector<Index>& waiting) const;
    void keep_headroom(const std::vector<Headroom>& headroom);
    bool is_headroom(const KeptHeadroom& kept, const Machine& m) const;
    bool may_use(Index index, Index machine) const;
    bool found_none_before(const JobSpec& spec) const;
    bool shares_machines(const JobSpec& spec) const;
    bool held_for_others(Index machine, Priority priority) const;
    FitQueue::Zone* best_zone(FitQueue& queue, Index only, const ZoneRule& rule) const;

    // False: `place` wants no more.
    template <class Place>
    bool fill_machine(const Job& job, Index machine, ZoneRule& rule, Place& place) {
        auto& m = *cluster_.machines[machine];
        while (job.spec.demand.fits_in(m.free_resources()) && rule.allows(m.zone) &&
               cluster_.leaves_gpus_usable(job.spec, m)) {
            if (!place(machine)) return false;
            rule.add(m.zone);
        }
        return true;
    }

    ClusterState& cluster_;
    double now_;
    std::vector<KeptHeadroom> headroom_;
    std::vector<Index> open_;          // machines with room for the smallest task, ascending
    std::vector<Index> reserved_for_;  // jobs that have one of them reserved
    FitQueues queues_;
    Priority lowest_priority_ = Priority::Production;  // of the waiting jobs
    std::map<Index, Priority> held_;               // machines that jobs of lower priority pass over
    std::vector<PlacementConstraints> exhausted_;  // for which no room was found
    std::vector<std::pair<PlacementConstraints, Resources>> capacities_;
};

}  // namespace weirmill
