// Clearing machines for a job that needs them whole: Algorithm 1 of the Aryl paper (its section 4
// and appendix B), with the differences that docs/design.md records.
#pragma once
#include <string>
#include <vector>

#include "scheduler/placement.h"
#include "state/cluster_state.h"

namespace weirmill {

// One machine that may be cleared: the jobs on it, gangs by index. A task of an array or a service
// counts as a job of its own on one machine.
struct ClearCandidate {
    Index machine = kNone;
    std::vector<Index> gangs;
    uint32_t singles = 0;
};

// Picks `n` candidates, cheapest first, scoring again after every pick. `spans[g]` is the number of
// machines that gang g occupies. Ties go to the earlier candidate.
std::vector<size_t> pick_cheapest(const std::vector<ClearCandidate>& candidates,
                                  const std::vector<uint32_t>& spans, size_t n);
double preemption_cost(const ClearCandidate& candidate, const std::vector<uint32_t>& spans);

struct PreemptionRound {
    struct Clearing {
        Index job;                    // for whom
        std::vector<Index> machines;  // to be emptied
        std::vector<Index> kept;      // empty already, and to be kept for it until those are
    };
    std::vector<Clearing> clearings;
    std::vector<TaskRef> stops;  // gangs everywhere, other tasks only on the machines to be emptied
};

// Whether `victim` may be stopped for `job` by the rules of preemption.
bool may_stop(const ClusterState& cluster, const Job& victim, const Job& job);

PreemptionRound plan_preemption(const ClusterState& cluster, const Usable& usable, double now);
std::string round_record(const PreemptionRound& round, const ClusterState& cluster,
                         uint64_t number);

}  // namespace weirmill
