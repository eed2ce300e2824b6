#include "scheduler/fit_queues.h"

#include <algorithm>
#include <functional>

#include "scheduler/eligibility.h"

namespace weirmill {

namespace {
// Queues cached at once. A site on which more kinds wait rebuilds some of them, as it would for
// every job without a cache; their memory is bounded by this and the number of machines.
constexpr size_t kMaxQueues = 64;

// It loses the work of all its machines with any one of them: spot machines are for others first.
bool together(const JobSpec& spec) { return spec.kind == JobKind::Gang && spec.tasks > 1; }
}  // namespace

Fit fit(const ClusterState& cluster, const Job& job, Index index, double now) {
    auto& m = *cluster.machines[index];
    auto left = m.room() - job.spec.demand;
    bool wasted_gpus = job.spec.demand.gpu == 0 && m.size.gpu > 0;
    int64_t rest = job.spec.demand.gpu > 0 ? left.gpu : left.cpu;
    bool whole = together(job.spec);
    return {wasted_gpus,       !job.failed_on.empty() && job.failed_on.contains(index),
            m.tasks.empty(),   rest,
            whole && m.spot,   !m.has_image(job.spec.image),
            !whole && !m.spot, left.cpu,
            left.mem,          cluster.heartbeat_due_s(m, now)};
}

int64_t FitQueue::room(Index zone) const {
    auto it = zones_.find(zone);
    return it == zones_.end() ? 0 : it->second.room;
}

int64_t FitQueue::room() const {
    int64_t sum = 0;
    for (auto& [zone, z] : zones_) sum += z.room;
    return sum;
}

FitQueues::FitQueues(const ClusterState& cluster, std::vector<Index> open,
                     const std::vector<Index>& waiting, double now)
    : cluster_(cluster),
      now_(now),
      open_(std::move(open)),
      stamp_(cluster.machines.size(), 0),
      kind_of_(cluster.jobs.size(), 0) {
    std::map<Kind, uint32_t> kinds;
    for (auto j : waiting) {
        auto [it, added] =
            kinds.emplace(kind(cluster.jobs[j]->spec), static_cast<uint32_t>(asking_.size()));
        if (added) asking_.push_back(0);
        kind_of_[j] = it->second;
        ++asking_[it->second];
    }
}

FitQueues::Kind FitQueues::kind(const JobSpec& s) {
    return {s.demand.cpu, s.demand.gpu, s.demand.mem, s.zone,
            s.spot,       together(s),  s.image,      s.types};
}

FitQueue& FitQueues::of(Index index, bool near) {
    auto& job = *cluster_.jobs[index];
    auto kind = kind_of_[index];
    // Machines on which the job has failed come last for this job alone.
    if (asking_[kind] < 2 || !job.failed_on.empty()) {
        own_ = {};
        own_.near_ = near;
        build(own_, job);
        return own_;
    }
    auto it = std::ranges::find_if(
        cached_, [&](auto& k) { return k.kind == kind && k.queue.near_ == near; });
    if (it == cached_.end()) {
        if (cached_.size() == kMaxQueues) cached_.pop_back();
        cached_.push_front({kind, {}});
        cached_.front().queue.near_ = near;
        build(cached_.front().queue, job);
    } else {
        cached_.splice(cached_.begin(), cached_, it);
        catch_up(cached_.front().queue, job);
    }
    return cached_.front().queue;
}

void FitQueues::admit(FitQueue& queue, const Job& job, Index machine) const {
    auto& m = *cluster_.machines[machine];
    int64_t times = 0;
    if (job.spec.demand.fits_in(m.room()) && cluster_.machine_allowed(job.spec, m) &&
        (!queue.near_ || image_near(cluster_, m, job.spec.image)))
        times = job.spec.demand.max_copies_in(m.room());
    if (times == 0 && queue.times_[machine] == 0) return;
    auto& zone = queue.zones_[m.zone];
    zone.room += times - queue.times_[machine];
    queue.times_[machine] = times;
    if (times > 0)
        zone.heap.push_back({fit(cluster_, job, machine, now_), machine, stamp_[machine]});
}

void FitQueues::build(FitQueue& queue, const Job& job) const {
    queue.zones_.clear();
    queue.times_.assign(cluster_.machines.size(), 0);
    queue.read_ = log_.size();
    for (auto i : open_) admit(queue, job, i);
    for (auto& [z, zone] : queue.zones_) {
        for (auto& e : zone.heap) zone.members.push_back(e.machine);
        std::ranges::make_heap(zone.heap, std::greater<>());
    }
}

void FitQueues::catch_up(FitQueue& queue, const Job& job) const {
    // Entries out of date stay until they come up: more of them than others, and the queue is made
    // anew.
    if (log_.size() - queue.read_ > open_.size()) return build(queue, job);
    for (; queue.read_ < log_.size(); ++queue.read_) {
        auto i = log_[queue.read_];
        if (stamp_[i] != queue.read_ + 1) continue;  // it comes again later
        auto& zone = queue.zones_[cluster_.machines[i]->zone];
        auto before = zone.heap.size();
        admit(queue, job, i);
        if (zone.heap.size() > before) std::ranges::push_heap(zone.heap, std::greater<>());
    }
    size_t entries = 0;
    for (auto& [z, zone] : queue.zones_) entries += zone.heap.size();
    if (entries > 2 * open_.size() + 64) build(queue, job);
}

void FitQueues::taken(Index machine) {
    log_.push_back(machine);
    stamp_[machine] = static_cast<uint32_t>(log_.size());
}

const FitQueue::Entry* FitQueues::top(FitQueue::Zone& zone) const {
    auto& heap = zone.heap;
    while (!heap.empty() && heap.front().stamp != stamp_[heap.front().machine]) {
        std::ranges::pop_heap(heap, std::greater<>());
        heap.pop_back();
    }
    return heap.empty() ? nullptr : &heap.front();
}

FitQueue::Entry FitQueues::pop(FitQueue::Zone& zone) const {
    top(zone);  // takes out entries out of date
    std::ranges::pop_heap(zone.heap, std::greater<>());
    auto entry = zone.heap.back();
    zone.heap.pop_back();
    return entry;
}

void FitQueues::put_back(FitQueue::Zone& zone, const FitQueue::Entry& entry) const {
    if (entry.stamp != stamp_[entry.machine]) return;
    zone.heap.push_back(entry);
    std::ranges::push_heap(zone.heap, std::greater<>());
}

}  // namespace weirmill
