#include "state/log_compaction.h"

#include <algorithm>

#include "state/job_record.h"

namespace weirmill {

namespace {

// Approximate limit of the bytes that one transaction rewrites.
constexpr size_t kMaxRewrittenBytes = 3 * size_t{1024};
constexpr size_t kMaxSegmentsPerCompaction = 3;
constexpr size_t kMinSegments = 4;
// Estimated sizes of the records of a live job.
constexpr size_t kJobBytes = 500;
constexpr size_t kPlacedTaskBytes = 40;
constexpr size_t kDoneTaskBytes = 14;

}  // namespace

void LogCompaction::clear() {
    delete_through_ = 0;
    min_segments_ = 0;
    cursor_ = {};
}

// Returns the number of segments that the log may have: twice what the records of live jobs need.
size_t LogCompaction::target_segments(const SegmentLimits& limits) const {
    size_t bytes = 0;
    for (const auto& job : cluster_.jobs) {
        if (!job) continue;
        bytes +=
            kJobBytes + kPlacedTaskBytes * size_t{job->placed} + kDoneTaskBytes * size_t{job->done};
    }
    return kMinSegments + 2 * bytes / limits.full_segment_bytes;
}

// Selects the oldest segments, never the open one. Selects as many as one transaction can delete
// together with the change of the log head: with small segments, one transaction for each deletion
// took a third of all changes.
void LogCompaction::start_if_due(const LogExtent& extent, const SegmentLimits& limits) {
    if (active()) return;
    size_t segment_count = std::clamp<size_t>(static_cast<size_t>(limits.max_changes) - 1, 1,
                                              kMaxSegmentsPerCompaction);
    if (extent.segments.size() <= std::max(min_segments_, target_segments(limits) + segment_count))
        return;
    delete_through_ = extent.segments[segment_count - 1].number;
    min_segments_ = 0;
    restart_current_job();
}

// Returns whether the job's record is in the segments that are to be deleted.
bool LogCompaction::needs_rewrite(Index index) const {
    const auto* job = cluster_.jobs[index].get();
    return job && job->record_revision != 0 && job->first_segment <= delete_through_ &&
           !job->ending;
}

// Returns whether the job may be rewritten now. Jobs are rewritten one after the other: none is
// started while the rewrite of another is incomplete.
bool LogCompaction::may_rewrite_next(Index index) {
    if (cursor_.job == kNone || cursor_.job == index) return true;
    if (needs_rewrite(cursor_.job)) return false;
    restart_current_job();
    return true;
}

// Starts the rewrite of a job. Returns false if its segment can't be deleted, which ends the
// compaction.
bool LogCompaction::begin_job(Index index, const SegmentLimits& limits, const LogExtent& extent,
                              bool multi_part) {
    auto entries =
        job_record_entries(*cluster_.jobs[index], index, cluster_, limits.max_segment_bytes);
    if (entries.size() > 1 && !multi_part) {
        // A version that wrote longer values has written this record, and that version can't read
        // multi-part records, so its segment must stay. The next compaction starts only once the
        // log has twice as many segments: nothing else waits for this record.
        delete_through_ = 0;
        min_segments_ = 2 * extent.segments.size();
        return false;
    }
    cursor_ = {};
    cursor_.job = index;
    cursor_.entries.assign(entries.begin(), entries.end());
    return true;
}

// Writes entries of the current job's record. Returns false if some are left for later
// transactions.
bool LogCompaction::write_record(StateLogBatchBuilder& builder, size_t max_bytes) {
    while (!cursor_.entries.empty()) {
        bool begun = cursor_.first_segment != 0;
        // The fields in the end of a multi-part record may have changed since its first part.
        if (begun && cursor_.entries.size() == 1)
            cursor_.entries.front() = multi_part_end(*cluster_.jobs[cursor_.job], cursor_.parts);
        bool limit_reached = begun && builder.bytes() >= max_bytes;
        if (limit_reached || !builder.append(cursor_.entries.front())) {
            if (!begun) restart_current_job();
            return false;
        }
        if (!begun) {
            cursor_.first_segment = builder.current_segment();
            cursor_.parts = cursor_.entries.size() - 1;
        }
        cursor_.entries.pop_front();
    }
    return true;
}

// Writes the task states of the current job. Returns false if some are left for later transactions.
bool LogCompaction::write_tasks(StateLogBatchBuilder& builder, size_t max_bytes,
                                const SegmentLimits& limits) {
    const auto& job = *cluster_.jobs[cursor_.job];
    auto end = static_cast<uint32_t>(job.tasks.size());
    while (cursor_.next_task < end && builder.bytes() < max_bytes) {
        std::string rows;
        uint32_t t = cursor_.next_task;
        while (t < end && rows.size() < limits.row_bytes) {
            const auto& task = job.tasks[t];
            // Without a row, readers assume this initial state.
            bool initial = task.state == TaskState::Pending && task.attempt == 0;
            t = initial ? t + 1 : append_task_row(rows, job, t, end, cluster_);
        }
        if (!rows.empty() && !builder.append(tasks_entry(job.spec.id, rows))) return false;
        cursor_.next_task = t;
    }
    return cursor_.next_task >= end;
}

void LogCompaction::rewrite_records(StateLogBatchBuilder& builder, const SegmentLimits& limits,
                                    const LogExtent& extent, bool multi_part) {
    if (!active()) return;
    const size_t max_bytes = builder.bytes() + kMaxRewrittenBytes;
    for (Index j = 0; j < cluster_.jobs.size() && builder.bytes() < max_bytes; ++j) {
        if (!needs_rewrite(j) || !may_rewrite_next(j) || builder.completes(j)) continue;
        if (cursor_.job == kNone && !begin_job(j, limits, extent, multi_part)) return;
        if (!write_record(builder, max_bytes)) return;
        if (!write_tasks(builder, max_bytes, limits)) return;
        builder.batch().records.push_back({j, cursor_.first_segment});
        restart_current_job();
    }
}

void LogCompaction::delete_segments(StateLogBatchBuilder& builder, const SegmentLimits& limits,
                                    const LogExtent& extent) const {
    if (!active() || builder.changes_left() < 2) return;
    for (const auto& job : cluster_.jobs)
        if (job && job->record_revision != 0 && job->first_segment <= delete_through_) return;
    // One change is needed for the log head.
    auto deletions_left = static_cast<size_t>(builder.changes_left()) - 1;
    const auto max_conditions = 4 * static_cast<size_t>(limits.max_changes);
    uint64_t first_segment = extent.first_segment;
    for (const auto& segment : extent.segments) {
        if (segment.number > delete_through_ || deletions_left-- == 0) break;
        if (builder.batch().txn.conditions.size() >= max_conditions) break;
        builder.add_condition(segment_key(segment.number), segment.version);
        builder.add_deletion(segment_key(segment.number));
        first_segment = segment.number + 1;
    }
    if (first_segment == extent.first_segment) return;
    builder.batch().first_segment = first_segment;
    builder.add_change(kLogKey, log_head_record(first_segment));
}

void LogCompaction::on_segments_deleted(const LogExtent& extent) {
    if (extent.segments.empty() || extent.segments.front().number > delete_through_)
        delete_through_ = 0;
}

}  // namespace weirmill
