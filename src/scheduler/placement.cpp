#include "scheduler/placement.h"

#include <algorithm>
#include <utility>

#include "scheduler/array_placement.h"
#include "scheduler/gang_placement.h"
#include "scheduler/placement_pass.h"
#include "scheduler/team_limit_reservations.h"

namespace weirmill {

namespace {

// Places the jobs of one pass, rank by rank.
class JobPlacer {
  public:
    JobPlacer(ClusterState& cluster, PlacementPass& pass, double now, size_t max_placements,
              std::vector<Index> near_start_deadline)
        : cluster_(cluster),
          pass_(pass),
          limit_reservations_(cluster),
          now_(now),
          max_placements_(max_placements),
          near_start_deadline_(std::move(near_start_deadline)) {}

    std::vector<Placement> run(const std::vector<std::vector<Index>>& ranks) {
        for (auto& rank : ranks) {
            if (out_.size() >= max_placements_) break;
            place_near_start_deadline(rank.front());
            if (rank.size() > 1) place_where_image_is(rank);
            for (auto j : rank)
                if (cluster_.jobs[j]->pending > 0) place_and_reserve(j);
        }
        return std::move(out_);
    }

  private:
    // Guarantee and priority; the smaller value goes first. A job near its start deadline overtakes
    // only jobs of equal precedence.
    std::pair<bool, int> precedence(Index index) const {
        auto& job = *cluster_.jobs[index];
        return {!job.guaranteed, -static_cast<int>(job.effective_priority)};
    }

    void place(Index index, size_t max_placements) {
        auto& job = *cluster_.jobs[index];
        auto reserved = limit_reservations_.reserved_against(job);
        if (job.spec.kind == JobKind::Gang)
            place_gang(pass_, index, reserved, now_, out_);
        else
            place_array(pass_, index, {reserved, false, max_placements}, now_, out_);
    }

    // Places the jobs near their start deadline whose precedence is at least that of `next_job`.
    void place_near_start_deadline(Index next_job) {
        auto next_precedence = precedence(next_job);
        std::erase_if(near_start_deadline_, [&](Index j) {
            if (precedence(j) > next_precedence) return false;
            place(j, std::min(max_placements_, out_.size() + 1));
            return true;
        });
    }

    // Places tasks of the rank's arrays on machines that have their image, before other machines
    // are considered. Without that, under load a machine would fetch an image for most of its
    // tasks.
    void place_where_image_is(const std::vector<Index>& rank) {
        for (auto j : rank) {
            auto& job = *cluster_.jobs[j];
            if (job.spec.kind == JobKind::Gang || job.spec.image_gb <= 0) continue;
            place_array(pass_, j,
                        {limit_reservations_.reserved_against(job), true, max_placements_}, now_,
                        out_);
        }
    }

    // Places the job. For what is still pending, holds partly free machines and reserves a part of
    // the team's limit.
    void place_and_reserve(Index index) {
        place(index, max_placements_);
        auto& job = *cluster_.jobs[index];
        if (job.pending == 0) return;
        auto& team = cluster_.teams[job.spec.team];
        if (cluster_.within_limit(team,
                                  limit_reservations_.reserved_against(job) + job.spec.demand))
            pass_.hold_partial_capacity(job);
        limit_reservations_.reserve_for(job, pass_);
    }

    ClusterState& cluster_;
    PlacementPass& pass_;
    TeamLimitReservations limit_reservations_;
    double now_;
    size_t max_placements_;
    std::vector<Index> near_start_deadline_;
    std::vector<Placement> out_;
};

// Releases reserved machines whose job no longer waits, wherever its tasks were placed.
// Reservations that lasted until they expired left hundreds of GPUs idle for jobs that already ran.
void release_unneeded_reservations(ClusterState& cluster) {
    for (auto& m : cluster.machines) {
        if (!m || m->reserved_for == kNone) continue;
        auto* owner = cluster.jobs[m->reserved_for].get();
        if (!owner || !owner->active() || owner->pending == 0) m->reserved_for = kNone;
    }
}

}  // namespace

std::vector<Placement> place_waiting_jobs(ClusterState& cluster, const MachineFilter& usable,
                                          double now, size_t max_placements,
                                          const std::vector<Headroom>& headroom,
                                          const std::vector<Index>& near_start_deadline) {
    auto ranks = waiting_ranks(cluster, now);
    PlacementPass pass(cluster, usable, flatten_ranks(ranks), now, headroom);
    auto out = JobPlacer(cluster, pass, now, max_placements, near_start_deadline).run(ranks);
    release_unneeded_reservations(cluster);
    return out;
}

}  // namespace weirmill
