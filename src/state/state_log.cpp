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
// Approximate limit of the bytes of one multi-part record that one transaction writes.
constexpr size_t kMaxPartialBytes = 3 * size_t{1024};
}  // namespace

StateLog::StateLog(ClusterState& cluster, uint64_t fencing_token, StateLogLimits limits)
    : cluster_(cluster),
      fencing_token_(fencing_token),
      limits_(limits.txn_ops, static_cast<size_t>(limits.value_kb * kBytesPerKb)),
      compaction_(cluster),
      loader_(cluster, extent_) {}

bool StateLog::reduce_limits() {
    auto smaller = limits_.halved();
    if (!smaller) return false;
    limits_ = *smaller;
    // Multi-part records that were split for the larger limits are split again and written from
    // their first part.
    partial_records_.clear();
    compaction_.restart_current_job();
    return true;
}

void StateLog::queue_new_job(Index job, uint64_t pending_version) {
    new_jobs_.push_back(job);
    if (pending_version != 0) pending_versions_[job] = pending_version;
}

void StateLog::queue_single_record(const std::string& key, std::string record) {
    if (record.size() > limits_.max_segment_bytes) {
        // The key-value store would reject every transaction with this record.
        spdlog::error("state: record of {} bytes for key {} exceeds the value limit, not written",
                      record.size(), key);
        return;
    }
    single_records_[key].queued_value = std::move(record);
}

// Returns false while a controller that can't read multi-part records may still become the leader.
// Once the log holds pipelines, no such controller can read it anyway.
bool StateLog::may_write_multi_part_records() const {
    return multi_part_allowed_ || loader_.extended_format() ||
           cluster_.dependencies().waiting_count() > 0;
}

bool StateLog::can_record(Index index) const {
    return single_record_bytes(*cluster_.jobs[index], cluster_) <= limits_.max_segment_bytes ||
           may_write_multi_part_records();
}

bool StateLog::has_work() const {
    return !new_jobs_.empty() || !cancellations_.empty() || !job_ends_.empty() ||
           !cluster_.task_changes.empty() || !pending_deletions_.empty() || compaction_.active() ||
           std::ranges::any_of(single_records_,
                               [](const auto& item) { return !item.second.queued_value.empty(); });
}

StateLogBatch StateLog::next_batch(int max_changes) {
    StateLogBatchBuilder builder(limits_, extent_, open_segment_text_,
                                 std::min(max_changes, limits_.max_changes));
    builder.batch().recorded_through = cluster_.recorded_through;
    builder.batch().first_segment = extent_.first_segment;
    builder.add_condition(kLeaderKey, fencing_token_);
    // Every deletion of segments changes the head, so that a late copy of an earlier transaction
    // can't restore a deleted segment.
    builder.add_condition(kLogKey, extent_.head_version);
    add_cancellations(builder);
    add_new_jobs(builder);
    add_job_ends(builder);
    add_task_changes(builder);
    compaction_.rewrite_records(builder, limits_, extent_, may_write_multi_part_records());
    add_single_records(builder);
    add_pending_deletions(builder);
    builder.finish_segments();
    if (!partial_record_in_deleted_segments())
        compaction_.delete_segments(builder, limits_, extent_);
    return builder.take_batch();
}

void StateLog::add_cancellations(StateLogBatchBuilder& builder) {
    while (!cancellations_.empty()) {
        auto index = cancellations_.front();
        if (!builder.append(cancel_entry(cluster_.jobs[index]->spec.id))) return;
        cancellations_.pop_front();
        builder.batch().entries.push_back({EntryKind::Cancellation, index, {}});
        builder.batch().urgent = true;
    }
}

// A multi-part record takes several transactions; the jobs queued after it do not wait for it.
void StateLog::add_new_jobs(StateLogBatchBuilder& builder) {
    auto& batch = builder.batch();
    for (auto it = new_jobs_.begin(); it != new_jobs_.end();) {
        // A transaction may have four conditions for each change that it may have. One for each
        // change, one for the leadership and one for the head are set aside. Each new job takes
        // two of the rest.
        if (2 * batch.records.size() + 4 > 3 * static_cast<size_t>(limits_.max_changes)) return;
        Index index = *it;
        auto first_segment = write_new_record(builder, index);
        if (!first_segment) {
            if (!partial_records_.contains(index)) return;  // no space for a single entry
            ++it;
            continue;
        }
        it = new_jobs_.erase(it);
        const auto& job = *cluster_.jobs[index];
        builder.add_condition(final_key(job.spec.id), 0);
        // Fails the transaction if a standby controller has accepted or cancelled the job without
        // this leader's knowledge.
        auto pending = pending_versions_.find(index);
        builder.add_condition(pending_key(job.spec.id),
                              pending == pending_versions_.end() ? 0 : pending->second);
        batch.entries.push_back({EntryKind::NewJob, index, {}, job.cancel_durable});
        batch.records.push_back({index, *first_segment});
        batch.urgent = true;
    }
}

// Returns the segment with the beginning of the record, or nothing if the record is not complete.
std::optional<uint64_t> StateLog::write_new_record(StateLogBatchBuilder& builder, Index index) {
    auto partial = partial_records_.find(index);
    if (partial == partial_records_.end()) {
        auto entries =
            job_record_entries(*cluster_.jobs[index], index, cluster_, limits_.max_segment_bytes);
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
    // The fields in the end of the record may have changed since its first part.
    if (!builder.append(multi_part_end(*cluster_.jobs[index], parts))) return {};
    return first_segment;
}

void StateLog::add_job_ends(StateLogBatchBuilder& builder) {
    while (!job_ends_.empty() && builder.changes_left() >= 1) {
        auto index = job_ends_.front();
        const auto& job = *cluster_.jobs[index];
        bool has_dependants = !cluster_.dependencies().dependants_of(index).empty();
        // The final state is a change of its own, which the segments must not use up.
        builder.reserve_change();
        if (!builder.append(end_entry(job, has_dependants))) {
            builder.release_change();
            return;
        }
        job_ends_.pop_front();
        builder.add_condition(final_key(job.spec.id), 0);
        FinalState final_state{job.cancelled ? JobState::Cancelled : JobState::Done, job.done};
        builder.add_change(final_key(job.spec.id),
                           final_record(final_state.state, final_state.done_tasks));
        builder.batch().entries.push_back({EntryKind::JobEnd, index, {}, false, 0, final_state});
    }
}

// Adds task changes in order until the batch is full. If a task has changed several times, adds
// only the newest change.
void StateLog::add_task_changes(StateLogBatchBuilder& builder) {
    auto& queue = cluster_.task_changes;
    auto& batch = builder.batch();
    while (!queue.empty()) {
        Index index = queue.front().ref.job;
        std::string rows;
        std::vector<TaskChange> included;
        size_t count = 0;
        uint64_t recorded_through = batch.recorded_through;
        for (; count < queue.size() && rows.size() < limits_.row_bytes; ++count) {
            const auto& c = queue[count];
            if (c.ref.job != index) break;
            recorded_through = c.number;
            // The end of a job replaces the states of its tasks.
            if (!cluster_.is_latest_change(c) || cluster_.jobs[index]->ending) continue;
            append_task_row(rows, *cluster_.jobs[index], c.ref.task, c.ref.task + 1, cluster_);
            included.push_back(c);
        }
        if (!rows.empty() && !builder.append(tasks_entry(cluster_.jobs[index]->spec.id, rows)))
            return;
        batch.task_changes.insert(batch.task_changes.end(), included.begin(), included.end());
        batch.recorded_through = recorded_through;
        queue.erase(queue.begin(), queue.begin() + static_cast<std::ptrdiff_t>(count));
    }
}

void StateLog::add_single_records(StateLogBatchBuilder& builder) {
    for (auto& [key, record] : single_records_) {
        if (record.queued_value.empty() || builder.changes_left() < 1) continue;
        if (!builder.has_bytes_for(record.queued_value.size())) continue;
        builder.reserve_change();
        builder.add_condition(key, record.version);
        builder.add_change(key, std::move(record.queued_value));
        record.queued_value.clear();
        builder.batch().entries.push_back({EntryKind::SingleRecord, kNone, key});
    }
}

// Keeps half of the changes of a transaction free for user requests that arrive next. Adds at least
// one deletion to each transaction with a change to spare, as otherwise none would be added under
// sustained load.
void StateLog::add_pending_deletions(StateLogBatchBuilder& builder) {
    int deletions = std::max(1, builder.changes_left() - limits_.max_changes / 2);
    for (; deletions > 0 && builder.changes_left() > 0 && !pending_deletions_.empty();
         --deletions) {
        builder.reserve_change();
        const auto& [key, version] = pending_deletions_.front();
        builder.add_condition(key, version);
        builder.add_deletion(key);
        builder.batch().entries.push_back({EntryKind::PendingDeletion, kNone, key, false, version});
        pending_deletions_.pop_front();
    }
}

// Returns whether compaction would delete segments that hold parts of an incomplete record. It must
// not delete these.
bool StateLog::partial_record_in_deleted_segments() const {
    return std::ranges::any_of(partial_records_, [&](const auto& p) {
        return p.second.recorded > 0 && p.second.first_segment <= compaction_.delete_through();
    });
}

void StateLog::committed(const StateLogBatch& batch, uint64_t revision) {
    cluster_.recorded_through = std::max(cluster_.recorded_through, batch.recorded_through);
    apply_segments(batch, revision);
    for (const auto& record : batch.records)
        if (auto& job = cluster_.jobs[record.job]) job->first_segment = record.first_segment;
    for (const auto& p : batch.partial_records) {
        auto it = partial_records_.find(p.job);
        if (it == partial_records_.end()) continue;
        it->second.recorded = p.recorded;
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
        open_segment_text_ = written.text;
        extent_.next_number = std::max(extent_.next_number, written.number + 1);
    }
}

void StateLog::apply_entry(const StateLogEntry& entry, uint64_t revision) {
    auto* job = entry.job == kNone ? nullptr : cluster_.jobs[entry.job].get();
    switch (entry.kind) {
        case EntryKind::Cancellation:
            job->cancel_durable = job->cancel_logged = true;
            return;
        case EntryKind::NewJob:
            job->record_revision = revision;
            job->cancel_logged = entry.cancelled;
            partial_records_.erase(entry.job);
            pending_versions_.erase(entry.job);
            return;
        case EntryKind::SingleRecord:
            single_records_[entry.key].version = revision;
            return;
        case EntryKind::JobEnd:
        case EntryKind::PendingDeletion:
            return;
    }
}

void StateLog::apply_deletions(const StateLogBatch& batch, uint64_t revision) {
    if (batch.first_segment == extent_.first_segment) return;
    auto& segments = extent_.segments;
    while (!segments.empty() && segments.front().number < batch.first_segment) segments.pop_front();
    extent_.first_segment = batch.first_segment;
    extent_.head_version = revision;
    compaction_.on_segments_deleted(extent_);
    if (segments.empty()) open_segment_text_.clear();
}

void StateLog::rejected(const StateLogBatch& batch) {
    // Reversed, so that each queue keeps its order.
    for (const auto& change : batch.task_changes | std::views::reverse)
        if (cluster_.is_latest_change(change)) cluster_.task_changes.push_front(change);
    compaction_.restart_current_job();
    for (const auto& entry : batch.entries | std::views::reverse) requeue(entry, batch);
}

void StateLog::requeue(const StateLogEntry& entry, const StateLogBatch& batch) {
    switch (entry.kind) {
        case EntryKind::Cancellation:
            cancellations_.push_front(entry.job);
            return;
        case EntryKind::JobEnd:
            job_ends_.push_front(entry.job);
            return;
        case EntryKind::NewJob:
            partial_records_.erase(entry.job);
            pending_versions_.erase(entry.job);
            return;
        case EntryKind::PendingDeletion:
            if (!entry.key.empty()) pending_deletions_.emplace_front(entry.key, entry.version);
            return;
        case EntryKind::SingleRecord:
            // A newer value may have been queued in the meantime.
            if (!single_records_[entry.key].queued_value.empty()) return;
            for (const auto& c : batch.txn.changes)
                if (c.key == entry.key) queue_single_record(entry.key, c.value);
            return;
    }
}

void StateLog::clear() {
    new_jobs_.clear();
    cancellations_.clear();
    job_ends_.clear();
    pending_deletions_.clear();
    pending_versions_.clear();
    partial_records_.clear();
    single_records_.clear();
    extent_ = {};
    open_segment_text_.clear();
    multi_part_allowed_ = false;
    compaction_.clear();
    loader_.clear();
}

void StateLog::finish_loading(double now) {
    for (auto job : loader_.finish(now)) cancellations_.push_back(job);
}

}  // namespace weirmill
