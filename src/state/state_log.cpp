#include "state/state_log.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstddef>
#include <ranges>

#include "state/job_record.h"
#include "state/pending_records.h"

namespace weirmill {

namespace {
constexpr double kBytesPerKb = 1024;
// Of one job's multi-part record by one transaction, about.
constexpr size_t kMaxPartialBytes = 3 * size_t{1024};
}  // namespace

StateLog::StateLog(ClusterState& cluster, uint64_t fencing_token, StateLogLimits limits)
    : cluster_(cluster),
      fencing_token_(fencing_token),
      limits_(limits.txn_ops, static_cast<size_t>(limits.value_kb * kBytesPerKb)),
      compaction_(cluster),
      loader_(cluster, extent_) {}

bool StateLog::shrink() {
    auto smaller = limits_.halved();
    if (!smaller) return false;
    limits_ = *smaller;
    // What was split for the larger limits is split anew. Parts already recorded are written again
    // from the first.
    partial_records_.clear();
    compaction_.restart_job();
    return true;
}

void StateLog::new_job(Index job, uint64_t pending_version) {
    new_jobs_.push_back(job);
    if (pending_version != 0) pending_versions_[job] = pending_version;
}

void StateLog::note(const std::string& key, std::string record) {
    if (record.size() > limits_.hard_bytes) {
        // It would never be taken, and all else in its transaction with it.
        spdlog::error("state: a record of {} bytes for {} is too long, not written", record.size(),
                      key);
        return;
    }
    notes_[key].record = std::move(record);
}

// Multi-part records are not written while a version that can't read them may still lead; with
// pipelines in the log none can.
bool StateLog::multi_part_records() const {
    return multi_part_allowed_ || loader_.extended_format() ||
           cluster_.dependencies().waiting() > 0;
}

bool StateLog::can_hold(Index index) const {
    return single_record_bytes(*cluster_.jobs[index], cluster_) <= limits_.hard_bytes ||
           multi_part_records();
}

bool StateLog::waiting() const {
    return !new_jobs_.empty() || !cancels_.empty() || !finishes_.empty() ||
           !cluster_.changes.empty() || !forgets_.empty() || compaction_.active() ||
           std::ranges::any_of(notes_, [](const auto& n) { return !n.second.record.empty(); });
}

StateLogBatch StateLog::next(int max_changes) {
    StateLogBatchBuilder builder(limits_, extent_, open_, std::min(max_changes, limits_.txn_ops));
    builder.batch().through = cluster_.recorded_through;
    builder.batch().first = extent_.first;
    builder.add_condition(kLeaderKey, fencing_token_);
    // With every deletion the head changes: a late copy of a transaction can't restore a deleted
    // segment.
    builder.add_condition(kLogKey, extent_.head_version);
    add_cancels(builder);
    add_new_jobs(builder);
    add_finishes(builder);
    add_task_changes(builder);
    compaction_.rewrite_records(builder, limits_, extent_, multi_part_records());
    add_notes(builder);
    add_forgets(builder);
    builder.finish_segments();
    if (!partial_record_in_deleted()) compaction_.delete_segments(builder, limits_, extent_);
    return builder.take();
}

void StateLog::add_cancels(StateLogBatchBuilder& builder) {
    while (!cancels_.empty()) {
        auto index = cancels_.front();
        if (!builder.append(cancel_entry(cluster_.jobs[index]->spec.id))) return;
        cancels_.pop_front();
        builder.batch().entries.push_back({EntryKind::Cancel, index, {}});
        builder.batch().urgent = true;
    }
}

// A multi-part record lets the jobs behind it go first: it takes a few transactions.
void StateLog::add_new_jobs(StateLogBatchBuilder& builder) {
    auto& batch = builder.batch();
    for (auto it = new_jobs_.begin(); it != new_jobs_.end();) {
        // A condition for each change, for the leadership and for the head; the rest is for new
        // jobs, two each.
        if (2 * batch.records.size() + 4 > 3 * static_cast<size_t>(limits_.txn_ops)) return;
        Index index = *it;
        auto first_segment = write_new_record(builder, index);
        if (!first_segment) {
            if (!partial_records_.contains(index)) return;  // no room for a single entry
            ++it;
            continue;
        }
        it = new_jobs_.erase(it);
        const auto& job = *cluster_.jobs[index];
        builder.add_condition(final_key(job.spec.id), 0);
        // Nor was it accepted by a standby, and maybe cancelled there, without this leader's
        // knowledge.
        auto pending = pending_versions_.find(index);
        builder.add_condition(pending_key(job.spec.id),
                              pending == pending_versions_.end() ? 0 : pending->second);
        batch.entries.push_back({EntryKind::NewJob, index, {}, job.cancel_recorded});
        batch.records.push_back({index, *first_segment});
        batch.urgent = true;
    }
}

// The segment with the beginning of the record; nothing: it is not complete yet.
std::optional<uint64_t> StateLog::write_new_record(StateLogBatchBuilder& builder, Index index) {
    auto partial = partial_records_.find(index);
    if (partial == partial_records_.end()) {
        auto entries =
            job_record_entries(*cluster_.jobs[index], index, cluster_, limits_.hard_bytes);
        if (entries.size() == 1) {
            if (!builder.append(entries[0])) return {};
            return builder.current_segment();
        }
        partial = partial_records_.emplace(index, PartialRecord{std::move(entries)}).first;
    }
    return continue_record(builder, index, partial->second);
}

std::optional<uint64_t> StateLog::continue_record(StateLogBatchBuilder& builder, Index index,
                                                  PartialRecord& partial) {
    const size_t parts = partial.entries.size() - 1;
    const size_t max_bytes = builder.bytes() + kMaxPartialBytes;
    size_t written = partial.recorded;
    uint64_t first_segment = partial.first_segment;
    while (written < parts && builder.bytes() < max_bytes &&
           builder.append(partial.entries[written])) {
        if (written == 0) first_segment = builder.current_segment();
        ++written;
    }
    if (written > partial.recorded)
        builder.batch().partial_records.push_back({index, written, first_segment});
    if (written < parts) return {};
    // The end of the record states what may have changed since its first part.
    if (!builder.append(multi_part_end(*cluster_.jobs[index], parts))) return {};
    return first_segment;
}

void StateLog::add_finishes(StateLogBatchBuilder& builder) {
    while (!finishes_.empty() && builder.changes_left() >= 1) {
        auto index = finishes_.front();
        const auto& job = *cluster_.jobs[index];
        bool has_dependants = !cluster_.dependencies().dependants(index).empty();
        // Its final state takes a change of its own, which the log must leave.
        builder.reserve_change();
        if (!builder.append(end_entry(job, has_dependants))) {
            builder.release_change();
            return;
        }
        finishes_.pop_front();
        builder.add_condition(final_key(job.spec.id), 0);
        FinalState ended{job.cancelled ? JobState::Cancelled : JobState::Done, job.done};
        builder.add_change(final_key(job.spec.id), final_record(ended.state, ended.done));
        builder.batch().entries.push_back({EntryKind::Finish, index, {}, false, 0, ended});
    }
}

// Changes of tasks, in order, as far as they fit; of several to one task only the newest.
void StateLog::add_task_changes(StateLogBatchBuilder& builder) {
    auto& queue = cluster_.changes;
    auto& batch = builder.batch();
    while (!queue.empty()) {
        Index index = queue.front().ref.job;
        std::string rows;
        std::vector<TaskChange> included;
        size_t n = 0;
        uint64_t through = batch.through;
        for (; n < queue.size() && rows.size() < limits_.row_bytes; ++n) {
            const auto& c = queue[n];
            if (c.ref.job != index) break;
            through = c.change;
            // The end of a job replaces all of this.
            if (!cluster_.current(c) || cluster_.jobs[index]->ending) continue;
            append_row(rows, *cluster_.jobs[index], c.ref.task, c.ref.task + 1, cluster_);
            included.push_back(c);
        }
        if (!rows.empty() && !builder.append(tasks_entry(cluster_.jobs[index]->spec.id, rows)))
            return;
        batch.tasks.insert(batch.tasks.end(), included.begin(), included.end());
        batch.through = through;
        queue.erase(queue.begin(), queue.begin() + static_cast<std::ptrdiff_t>(n));
    }
}

void StateLog::add_notes(StateLogBatchBuilder& builder) {
    for (auto& [key, note] : notes_) {
        if (note.record.empty() || builder.changes_left() < 1) continue;
        if (!builder.has_bytes_for(note.record.size())) continue;
        builder.reserve_change();
        builder.add_condition(key, note.version);
        builder.add_change(key, std::move(note.record));
        note.record.clear();
        builder.batch().entries.push_back({EntryKind::Note, kNone, key});
    }
}

// Half of what a transaction may have is left for users who come next; but one goes with each that
// has room, as on a busy day there is never more.
void StateLog::add_forgets(StateLogBatchBuilder& builder) {
    int n = std::max(1, builder.changes_left() - limits_.txn_ops / 2);
    for (; n > 0 && builder.changes_left() > 0 && !forgets_.empty(); --n) {
        builder.reserve_change();
        const auto& [key, version] = forgets_.front();
        builder.add_condition(key, version);
        builder.add_deletion(key);
        builder.batch().entries.push_back({EntryKind::Forget, kNone, key, false, version});
        forgets_.pop_front();
    }
}

// Compaction can't delete segments that hold the first parts of a record.
bool StateLog::partial_record_in_deleted() const {
    return std::ranges::any_of(partial_records_, [&](const auto& p) {
        return p.second.recorded > 0 && p.second.first_segment <= compaction_.through();
    });
}

void StateLog::committed(const StateLogBatch& batch, uint64_t revision) {
    cluster_.recorded_through = std::max(cluster_.recorded_through, batch.through);
    apply_segments(batch, revision);
    for (const auto& record : batch.records)
        if (auto& job = cluster_.jobs[record.job]) job->first_segment = record.first_segment;
    for (const auto& p : batch.partial_records) {
        auto it = partial_records_.find(p.job);
        if (it == partial_records_.end()) continue;
        it->second.recorded = p.entries;
        it->second.first_segment = p.first_segment;
    }
    for (const auto& entry : batch.entries) apply_entry(entry, revision);
    apply_deletions(batch, revision);
    compaction_.start_if_due(extent_, limits_);
}

void StateLog::apply_segments(const StateLogBatch& batch, uint64_t revision) {
    auto& segments = extent_.segments;
    for (const auto& written : batch.segments) {
        if (!segments.empty() && segments.back().number == written.number)
            segments.back().version = revision;
        else
            segments.push_back({written.number, revision});
        open_ = written.text;
        extent_.next_number = std::max(extent_.next_number, written.number + 1);
    }
}

void StateLog::apply_entry(const StateLogEntry& entry, uint64_t revision) {
    auto* job = entry.job == kNone ? nullptr : cluster_.jobs[entry.job].get();
    switch (entry.kind) {
        case EntryKind::Cancel:
            job->cancel_recorded = job->cancel_logged = true;
            return;
        case EntryKind::NewJob:
            job->version = revision;
            job->cancel_logged = entry.cancelled;
            partial_records_.erase(entry.job);
            pending_versions_.erase(entry.job);
            return;
        case EntryKind::Note:
            notes_[entry.key].version = revision;
            return;
        case EntryKind::Finish:
        case EntryKind::Forget:
            return;
    }
}

void StateLog::apply_deletions(const StateLogBatch& batch, uint64_t revision) {
    if (batch.first == extent_.first) return;
    auto& segments = extent_.segments;
    while (!segments.empty() && segments.front().number < batch.first) segments.pop_front();
    extent_.first = batch.first;
    extent_.head_version = revision;
    compaction_.deleted(extent_);
    if (segments.empty()) open_.clear();
}

void StateLog::rejected(const StateLogBatch& batch) {
    // In reverse, so that the first ends up at the front of its queue.
    for (const auto& change : batch.tasks | std::views::reverse)
        if (cluster_.current(change)) cluster_.changes.push_front(change);
    compaction_.restart_job();
    for (const auto& entry : batch.entries | std::views::reverse) requeue(entry, batch);
}

void StateLog::requeue(const StateLogEntry& entry, const StateLogBatch& batch) {
    switch (entry.kind) {
        case EntryKind::Cancel:
            cancels_.push_front(entry.job);
            return;
        case EntryKind::Finish:
            finishes_.push_front(entry.job);
            return;
        case EntryKind::NewJob:
            partial_records_.erase(entry.job);
            pending_versions_.erase(entry.job);
            return;
        case EntryKind::Forget:
            if (!entry.key.empty()) forgets_.emplace_front(entry.key, entry.version);
            return;
        case EntryKind::Note:
            // A newer value may have been queued meanwhile.
            if (!notes_[entry.key].record.empty()) return;
            for (const auto& c : batch.txn.changes)
                if (c.key == entry.key) note(entry.key, c.value);
            return;
    }
}

void StateLog::clear() {
    new_jobs_.clear();
    cancels_.clear();
    finishes_.clear();
    forgets_.clear();
    pending_versions_.clear();
    partial_records_.clear();
    notes_.clear();
    extent_ = {};
    open_.clear();
    multi_part_allowed_ = false;
    compaction_.clear();
    loader_.clear();
}

void StateLog::loaded(double now) {
    for (auto job : loader_.finish(now)) cancels_.push_back(job);
}

}  // namespace weirmill
