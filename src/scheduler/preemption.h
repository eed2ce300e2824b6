// Preemption: evicts machines, which means that all tasks on them are stopped, for jobs that need
// machines to themselves. Implements Algorithm 1 of the Aryl paper (section 4 and appendix B) with
// the differences that docs/design.md lists.
#pragma once
#include <string>
#include <vector>

#include "scheduler/placement.h"
#include "state/cluster_state.h"

namespace weirmill {

// A machine whose tasks may be evicted.
struct EvictionCandidate {
    Index machine = kNone;
    std::vector<Index> gangs;  // gangs with tasks on it, by their number in the plan
    // Array and service tasks on it. Each counts as a job on one machine.
    uint32_t single_tasks = 0;
};

// Picks `n` candidates, cheapest first, and updates the costs of the others after each pick.
// `gang_spans`: by gang, the number of machines that it occupies. Of equally cheap candidates the
// earlier one is picked.
std::vector<size_t> pick_cheapest(const std::vector<EvictionCandidate>& candidates,
                                  const std::vector<uint32_t>& gang_spans, size_t n);
// Returns the cost of evicting the candidate: 1 for each single task, and for each gang 1 divided
// by the number of its machines.
double preemption_cost(const EvictionCandidate& candidate, const std::vector<uint32_t>& gang_spans);

struct PreemptionRound {
    struct Eviction {
        Index job;                    // the job that gets the machines
        std::vector<Index> machines;  // machines to evict
        // Machines that are empty already, to be reserved for the job until the others are.
        std::vector<Index> empty_machines;
    };
    std::vector<Eviction> evictions;
    // Tasks to stop: all tasks of a preempted gang, other tasks only on the evicted machines.
    std::vector<TaskRef> victims;
};

// Returns whether the rules of preemption allow stopping `victim` in favour of `preemptor`.
bool may_preempt(const ClusterState& cluster, const Job& victim, const Job& preemptor);

// Plans one round of preemption. `now`: steady clock, seconds.
PreemptionRound plan_preemption(const ClusterState& cluster, const MachineFilter& usable,
                                double now);

// Returns the round as JSON for the key-value store, with a bounded number of entries.
std::string preemption_round_json(const PreemptionRound& round, const ClusterState& cluster,
                                  uint64_t number);

}  // namespace weirmill
