#include "scheduler/placement.h"

#include <algorithm>
#include <utility>

#include "scheduler/array_placement.h"
#include "scheduler/gang_placement.h"
#include "scheduler/limit_hold.h"
#include "scheduler/placement_pass.h"

namespace weirmill {

namespace {

// Places the jobs of a pass, rank by rank.
class Placer {
  public:
    Placer(ClusterState& cluster, PlacementPass& pass, double now, size_t most,
           std::vector<Index> first)
        : cluster_(cluster),
          pass_(pass),
          limits_(cluster),
          now_(now),
          most_(most),
          before_equals_(std::move(first)) {}

    std::vector<Placement> run(const std::vector<std::vector<Index>>& ranks) {
        for (auto& rank : ranks) {
            if (out_.size() >= most_) break;
            place_before_equals(rank.front());
            if (rank.size() > 1) place_near_images(rank);
            for (auto j : rank)
                if (cluster_.jobs[j]->pending > 0) place_or_hold(j);
        }
        return std::move(out_);
    }

  private:
    // What no job passes others by: guarantee and priority.
    std::pair<bool, int> precedence(Index index) const {
        auto& job = *cluster_.jobs[index];
        return {!job.guaranteed, -static_cast<int>(job.effective_priority)};
    }

    void place(Index index, size_t most) {
        auto& job = *cluster_.jobs[index];
        auto held = limits_.held_from(job);
        if (job.spec.kind == JobKind::Gang)
            place_gang(pass_, index, held, now_, out_);
        else
            place_array(pass_, index, {held, false, most}, now_, out_);
    }

    // Those of the jobs near their start deadline that come before or with the rank of this job.
    void place_before_equals(Index leading) {
        auto limit = precedence(leading);
        std::erase_if(before_equals_, [&](Index j) {
            if (precedence(j) > limit) return false;
            place(j, std::min(most_, out_.size() + 1));
            return true;
        });
    }

    // Among equals, a machine goes first to a job whose image it has: where jobs wait, a machine
    // would else fetch an image for most of its tasks.
    void place_near_images(const std::vector<Index>& rank) {
        for (auto j : rank) {
            auto& job = *cluster_.jobs[j];
            if (job.spec.kind == JobKind::Gang || job.spec.image_gb <= 0) continue;
            place_array(pass_, j, {limits_.held_from(job), true, most_}, now_, out_);
        }
    }

    // Places the job; what is still pending then has room and a part of its team's limit held.
    void place_or_hold(Index index) {
        place(index, most_);
        auto& job = *cluster_.jobs[index];
        if (job.pending == 0) return;
        auto& team = cluster_.teams[job.spec.team];
        if (cluster_.within_limit(team, limits_.held_from(job) + job.spec.demand))
            pass_.hold_partial_room(job);
        limits_.hold_for(job, pass_);
    }

    ClusterState& cluster_;
    PlacementPass& pass_;
    LimitHold limits_;
    double now_;
    size_t most_;
    std::vector<Index> before_equals_;
    std::vector<Placement> out_;
};

// What was reserved for a job that has its places, here or elsewhere, is free to all again. Held to
// the end of its time, hundreds of GPUs once stood empty for jobs that ran already.
void release_unneeded_reservations(ClusterState& cluster) {
    for (auto& m : cluster.machines) {
        if (!m || m->reserved_for == kNone) continue;
        auto* owner = cluster.jobs[m->reserved_for].get();
        if (!owner || !owner->active() || owner->pending == 0) m->reserved_for = kNone;
    }
}

}  // namespace

std::vector<Placement> place_waiting(ClusterState& cluster, const Usable& usable, double now,
                                     size_t most, const std::vector<Headroom>& headroom,
                                     const std::vector<Index>& first) {
    auto ranks = waiting_ranks(cluster, now);
    PlacementPass pass(cluster, usable, jobs_of(ranks), now, headroom);
    auto out = Placer(cluster, pass, now, most, first).run(ranks);
    release_unneeded_reservations(cluster);
    return out;
}

}  // namespace weirmill
