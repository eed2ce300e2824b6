// How large the fleet should be: what to rent for waiting work, what to return.
#pragma once
#include <string>
#include <vector>

#include "scheduler/placement.h"
#include "state/cluster_state.h"

namespace weirmill {

struct ScaleOutRequest {
    Index type, zone;
    bool spot;
    int count;
    bool operator==(const ScaleOutRequest&) const = default;
};

struct AutoscalerSettings {
    double idle_keep_boots = 0.3;
    double heartbeat_interval_s = 1;
    // Kinds of equal tasks whose machines are kept in order between jobs; 0: looked at anew for
    // each job. The plan is the same.
    size_t kept_kinds = 8;
    double clear_s = 13;  // until a machine is cleared for a job that comes now
};

// What such classes of the last minutes ask for (Spare).
std::vector<Headroom> planned_headroom(const ClusterState& cluster,
                                       const AutoscalerSettings& settings, double now);

// By zone: most machines there that once reported are silent. The zone is cut off: its machines are
// sound, and one rented there could not be used.
std::vector<bool> silent_zones(const ClusterState& cluster, const Usable& usable);

// What waiting work needs beyond the machines that are up or coming up.
std::vector<ScaleOutRequest> plan_scale_out(const ClusterState& cluster, const Usable& usable,
                                            const AutoscalerSettings& settings, double now);

// The dearest machine whose running tasks can all save and go on where there is room already, if
// moving them costs less than the machine would until they end. kNone: there is none.
Index plan_drain(const ClusterState& cluster, const Usable& usable, double now);

// Machines that serve nothing any more.
std::vector<Index> plan_scale_in(const ClusterState& cluster, const AutoscalerSettings& settings,
                                 double now);

}  // namespace weirmill
