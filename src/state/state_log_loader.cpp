#include "state/state_log_loader.h"

#include <algorithm>
#include <utility>

namespace weirmill {

namespace json = boost::json;

namespace {
constexpr double kMaxTime_s = 1e12;  // latest valid time of day
}

void StateLogLoader::clear() {
    extended_format_ = false;
    records_.clear();
    machine_names_.clear();
    end_times_.clear();
}

void StateLogLoader::load_head(const KvItem& item) {
    extent_.first_segment = parse_log_head(item.value);
    extent_.head_version = item.version;
    extent_.next_number = std::max(extent_.next_number, extent_.first_segment);
}

void StateLogLoader::load_segment(const KvItem& item, double now) {
    uint64_t number = segment_number(item.key);
    if (number < extent_.next_number) read::throw_invalid("key");
    if (!item.value.is_array()) read::throw_invalid("segment");
    for (const auto& v : item.value.get_array()) load_entry(parse_entry(v), number, now);
    extent_.segments.push_back({number, item.version});
    extent_.next_number = number + 1;
}

void StateLogLoader::load_entry(const json::array& entry, uint64_t segment, double now) {
    auto type = entry_type(entry);
    if (type == EntryType::Job) {
        if (JobRecordDecoder::ends_multi_part(entry)) extended_format_ = true;
        if (auto record = records_.decode(entry, segment)) load_record(*record, now);
        return;
    }
    auto id = entry_job_id(entry);
    if (type == EntryType::JobPart) {
        records_.add_part(entry, segment);
        extended_format_ = true;
        return;
    }
    if (type == EntryType::End) {
        if (auto ended = parse_end_time(entry)) {
            extended_format_ = true;
            end_times_[id] = *ended;
        }
    }
    // If the job is not found, compaction has deleted the segment with its record: either the job
    // has ended or its rewritten record follows.
    auto it = cluster_.job_index.find(id);
    if (it == cluster_.job_index.end()) return;
    auto& job = *cluster_.jobs[it->second];
    switch (type) {
        case EntryType::Cancel:
            job.cancelled = job.cancel_durable = job.cancel_logged = true;
            return;
        case EntryType::End:
            return load_end(it->second, now);
        case EntryType::Tasks:
            return load_rows(it->second, entry);
        default:
            read::throw_invalid("entry");
    }
}

void StateLogLoader::load_end(Index index, double now) {
    machine_names_.erase(index);
    // No task is on a machine yet: placements are restored after the whole log is read.
    for (auto& task : cluster_.jobs[index]->tasks) task.state = TaskState::Pending;
    cluster_.remove_job(index, now);
}

void StateLogLoader::load_rows(Index index, const json::array& entry) {
    auto& job = *cluster_.jobs[index];
    auto& names = machine_names_[index];
    names.resize(job.tasks.size());
    for (size_t i = 2; i < entry.size(); ++i) {
        auto row = parse_task_row(entry[i], job.tasks.size());
        for (uint32_t t = row.first; t <= row.last; ++t) {
            auto& task = job.tasks[t];
            task.state = row.state;
            names[t] = row.machine;
            if (row.state == TaskState::Done) continue;
            task.attempt = row.attempt;
            if (row.state == TaskState::Placed) task.agent_epoch = row.agent_epoch;
        }
    }
}

void StateLogLoader::load_record(const DecodedJobRecord& record, double now) {
    auto spec = parse_submission(record.body(), cluster_.names);
    if (spec.team == kNone) read::throw_invalid("job.team");
    bool cancelled = read::flag(*record.header, "cancelled", false);
    double ready_wall = read::number(*record.header, "ready", 0, kMaxTime_s);
    extended_format_ = extended_format_ || ready_wall > 0 || !spec.dependencies.empty();
    Index index = kNone;
    if (auto it = cluster_.job_index.find(spec.id); it != cluster_.job_index.end()) {
        // This is a rewritten record. Entries that were read before remain valid, and the entries
        // that follow repeat them. Only the list of dependencies may have become shorter.
        index = it->second;
        cluster_.jobs[index]->spec.dependencies = std::move(spec.dependencies);
    } else {
        double submitted_wall = read::number(*record.header, "at", {}, kMaxTime_s);
        index = cluster_.add_job(std::move(spec), submitted_wall, now);
    }
    auto& job = *cluster_.jobs[index];
    if (job.record_revision == 0) {
        job.record_revision = 1;
        job.first_segment = record.first_segment;
    }
    job.ready_wall = std::max(job.ready_wall, ready_wall);
    if (cancelled) job.cancelled = job.cancel_durable = job.cancel_logged = true;
}

// A dependency that is missing after the whole log is read has ended as done: dependants are
// accepted after their dependencies, and a cancelled job leaves the log only after the
// cancellations of all its dependants are logged.
void StateLogLoader::restore_dependencies(Index index, double now) {
    auto* job = cluster_.jobs[index].get();
    if (!job || !job->waits_for_dependencies) return;
    std::vector<Index> live_dependencies;
    for (const auto& id : job->spec.dependencies) {
        if (auto it = cluster_.job_index.find(id); it != cluster_.job_index.end())
            live_dependencies.push_back(it->second);
        else if (auto ended = end_times_.find(id); ended != end_times_.end())
            job->ready_wall = std::max(job->ready_wall, ended->second);
    }
    if (job->cancelled) live_dependencies.clear();
    cluster_.set_dependencies(index, live_dependencies, now);
}

// The recorded cancellation of a job implies those of all its dependants. Returns the dependants
// whose cancellation the log does not hold.
std::vector<Index> StateLogLoader::propagate_cancellations() {
    std::vector<Index> unlogged;
    for (Index j = 0; j < cluster_.jobs.size(); ++j) {
        if (!cluster_.jobs[j] || !cluster_.jobs[j]->cancel_logged) continue;
        for (auto d : cluster_.cancel_dependants(j)) unlogged.push_back(d);
    }
    return unlogged;
}

void StateLogLoader::restore_placements(double now) {
    for (const auto& [j, names] : machine_names_) {
        for (uint32_t t = 0; t < names.size(); ++t) {
            if (names[t].empty()) continue;
            auto& task = cluster_.jobs[j]->tasks[t];
            auto machine = cluster_.add_machine(names[t], now);
            cluster_.restore_placement(j, t, machine, task.attempt, task.agent_epoch);
        }
    }
}

std::vector<Index> StateLogLoader::finish(double now) {
    for (Index j = 0; j < cluster_.jobs.size(); ++j) restore_dependencies(j, now);
    auto unlogged = propagate_cancellations();
    for (Index j = 0; j < cluster_.jobs.size(); ++j)
        if (cluster_.jobs[j]) cluster_.restore_task_counts(j);
    for (auto& job : cluster_.jobs)
        if (job && !job->waits_for_dependencies) cluster_.mark_guaranteed(*job);
    restore_placements(now);
    records_.clear();
    end_times_.clear();
    machine_names_.clear();
    return unlogged;
}

}  // namespace weirmill
