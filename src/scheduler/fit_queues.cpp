#include "scheduler/fit_queues.h"

#include <algorithm>
#include <functional>

#include "scheduler/eligibility.h"

namespace weirmill {

namespace {
// Limits the memory of the cache. If more task shapes wait, the least recently used queues are
// built again when they are next needed.
constexpr size_t kMaxCachedQueues = 64;

// Such a gang loses the work of all its tasks if it loses one machine, so it prefers machines that
// are not spot instances, and other jobs prefer spot instances.
bool is_multi_task_gang(const JobSpec& spec) {
    return spec.kind == JobKind::Gang && spec.tasks > 1;
}
}  // namespace

FitScore fit_score(const ClusterState& cluster, const Job& job, Index machine_index, double now) {
    auto& m = *cluster.machines[machine_index];
    auto left = m.free_resources() - job.spec.demand;
    bool wasted_gpus = job.spec.demand.gpu == 0 && m.size.gpu > 0;
    int64_t main_resource_left = job.spec.demand.gpu > 0 ? left.gpu : left.cpu;
    bool multi_task_gang = is_multi_task_gang(job.spec);
    return {wasted_gpus,
            !job.failed_machines.empty() && job.failed_machines.contains(machine_index),
            m.tasks.empty(),
            main_resource_left,
            multi_task_gang && m.spot,
            !m.has_image(job.spec.image),
            !multi_task_gang && !m.spot,
            left.cpu,
            left.mem,
            cluster.next_heartbeat_in_s(m, now)};
}

int64_t FitQueue::free_slots(Index zone) const {
    auto it = zones_.find(zone);
    return it == zones_.end() ? 0 : it->second.free_slots;
}

int64_t FitQueue::free_slots() const {
    int64_t sum = 0;
    for (auto& [zone, z] : zones_) sum += z.free_slots;
    return sum;
}

FitQueues::FitQueues(const ClusterState& cluster, std::vector<Index> open_machines,
                     const std::vector<Index>& waiting, double now)
    : cluster_(cluster),
      now_(now),
      open_machines_(std::move(open_machines)),
      versions_(cluster.machines.size(), 0),
      shape_of_job_(cluster.jobs.size(), 0) {
    std::map<TaskShape, uint32_t> shapes;
    for (auto j : waiting) {
        auto [it, added] = shapes.emplace(task_shape(cluster.jobs[j]->spec),
                                          static_cast<uint32_t>(jobs_of_shape_.size()));
        if (added) jobs_of_shape_.push_back(0);
        shape_of_job_[j] = it->second;
        ++jobs_of_shape_[it->second];
    }
}

FitQueues::TaskShape FitQueues::task_shape(const JobSpec& s) {
    return {s.demand.cpu, s.demand.gpu,          s.demand.mem, s.zone,
            s.spot,       is_multi_task_gang(s), s.image,      s.types};
}

FitQueue& FitQueues::queue_for(Index job_index, bool image_machines_only) {
    auto& job = *cluster_.jobs[job_index];
    auto shape = shape_of_job_[job_index];
    // Machines on which the job has failed score worse for this job only, so it can't share a
    // queue.
    if (jobs_of_shape_[shape] < 2 || !job.failed_machines.empty()) {
        uncached_ = {};
        uncached_.image_machines_only_ = image_machines_only;
        build(uncached_, job);
        return uncached_;
    }
    auto it = std::ranges::find_if(cached_, [&](auto& k) {
        return k.shape == shape && k.queue.image_machines_only_ == image_machines_only;
    });
    if (it == cached_.end()) {
        if (cached_.size() == kMaxCachedQueues) cached_.pop_back();
        cached_.push_front({shape, {}});
        cached_.front().queue.image_machines_only_ = image_machines_only;
        build(cached_.front().queue, job);
    } else {
        cached_.splice(cached_.begin(), cached_, it);
        apply_log(cached_.front().queue, job);
    }
    return cached_.front().queue;
}

void FitQueues::update_machine(FitQueue& queue, const Job& job, Index machine) const {
    auto& m = *cluster_.machines[machine];
    int64_t slots = 0;
    if (job.spec.demand.fits_in(m.free_resources()) && cluster_.machine_allowed(job.spec, m) &&
        (!queue.image_machines_only_ || has_or_fetches_image(cluster_, m, job.spec.image)))
        slots = job.spec.demand.max_copies_in(m.free_resources());
    if (slots == 0 && queue.slots_[machine] == 0) return;
    auto& zone = queue.zones_[m.zone];
    zone.free_slots += slots - queue.slots_[machine];
    queue.slots_[machine] = slots;
    if (slots > 0)
        zone.heap.push_back({fit_score(cluster_, job, machine, now_), machine, versions_[machine]});
}

void FitQueues::build(FitQueue& queue, const Job& job) const {
    queue.zones_.clear();
    queue.slots_.assign(cluster_.machines.size(), 0);
    queue.log_position_ = log_.size();
    for (auto i : open_machines_) update_machine(queue, job, i);
    for (auto& [z, zone] : queue.zones_) {
        for (auto& e : zone.heap) zone.machines.push_back(e.machine);
        std::ranges::make_heap(zone.heap, std::greater<>());
    }
}

void FitQueues::apply_log(FitQueue& queue, const Job& job) const {
    // Applying more log entries than there are machines costs more than building the queue again.
    if (log_.size() - queue.log_position_ > open_machines_.size()) return build(queue, job);
    for (; queue.log_position_ < log_.size(); ++queue.log_position_) {
        auto i = log_[queue.log_position_];
        if (versions_[i] != queue.log_position_ + 1)
            continue;  // a later entry of this machine follows
        auto& zone = queue.zones_[cluster_.machines[i]->zone];
        auto old_size = zone.heap.size();
        update_machine(queue, job, i);
        if (zone.heap.size() > old_size) std::ranges::push_heap(zone.heap, std::greater<>());
    }
    // Stale entries are removed only when they reach the top of a heap, so the queue is rebuilt
    // when there are more of them than others.
    size_t entries = 0;
    for (auto& [z, zone] : queue.zones_) entries += zone.heap.size();
    if (entries > 2 * open_machines_.size() + 64) build(queue, job);
}

void FitQueues::record_capacity_taken(Index machine) {
    log_.push_back(machine);
    versions_[machine] = static_cast<uint32_t>(log_.size());
}

const FitQueue::Entry* FitQueues::top(FitQueue::ZoneQueue& zone) const {
    auto& heap = zone.heap;
    while (!heap.empty() && heap.front().version != versions_[heap.front().machine]) {
        std::ranges::pop_heap(heap, std::greater<>());
        heap.pop_back();
    }
    return heap.empty() ? nullptr : &heap.front();
}

FitQueue::Entry FitQueues::pop(FitQueue::ZoneQueue& zone) const {
    top(zone);  // removes stale entries
    std::ranges::pop_heap(zone.heap, std::greater<>());
    auto entry = zone.heap.back();
    zone.heap.pop_back();
    return entry;
}

void FitQueues::put_back(FitQueue::ZoneQueue& zone, const FitQueue::Entry& entry) const {
    if (entry.version != versions_[entry.machine]) return;
    zone.heap.push_back(entry);
    std::ranges::push_heap(zone.heap, std::greater<>());
}

}  // namespace weirmill
