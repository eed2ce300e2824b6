#include "state/log_compaction.h"

#include <algorithm>

#include "state/job_record.h"

namespace weirmill {

namespace {

constexpr size_t kMaxRewrittenBytes = 3 * size_t{1024};  // by one transaction, about
constexpr size_t kMaxDeletedAtOnce = 3;                  // segments
constexpr size_t kMinSegments = 4;
// What a job alive takes in the log, about.
constexpr size_t kJobBytes = 500;
constexpr size_t kPlacedTaskBytes = 40;
constexpr size_t kDoneTaskBytes = 14;

}  // namespace

void LogCompaction::clear() {
    through_ = 0;
    min_segments_ = 0;
    cursor_ = {};
}

// Segments that what is alive should take, with as much again for what is not.
size_t LogCompaction::wanted_segments(const SegmentLimits& limits) const {
    size_t bytes = 0;
    for (const auto& job : cluster_.jobs) {
        if (!job) continue;
        bytes +=
            kJobBytes + kPlacedTaskBytes * size_t{job->placed} + kDoneTaskBytes * size_t{job->done};
    }
    return kMinSegments + 2 * bytes / limits.soft_bytes;
}

// The oldest segments, and never the open one. As many at once as one transaction can delete beside
// the new head: where values are short, a transaction for each took a third of all changes.
void LogCompaction::start_if_due(const LogExtent& extent, const SegmentLimits& limits) {
    if (active()) return;
    size_t at_once =
        std::clamp<size_t>(static_cast<size_t>(limits.txn_ops) - 1, 1, kMaxDeletedAtOnce);
    if (extent.segments.size() <= std::max(min_segments_, wanted_segments(limits) + at_once))
        return;
    through_ = extent.segments[at_once - 1].number;
    min_segments_ = 0;
    restart_job();
}

// The job's record is in the segments that are to be deleted.
bool LogCompaction::needs_rewrite(Index index) const {
    const auto* job = cluster_.jobs[index].get();
    return job && job->version != 0 && job->first_segment <= through_ && !job->ending;
}

// Jobs are rewritten one after the other: none is begun while another is incomplete.
bool LogCompaction::in_turn(Index index) {
    if (cursor_.job == kNone || cursor_.job == index) return true;
    if (needs_rewrite(cursor_.job)) return false;
    restart_job();
    return true;
}

// False: its segment can't be deleted, and compaction ends.
bool LogCompaction::begin_job(Index index, const SegmentLimits& limits, const LogExtent& extent,
                              bool multi_part) {
    auto entries = job_record_entries(*cluster_.jobs[index], index, cluster_, limits.hard_bytes);
    if (entries.size() > 1 && !multi_part) {
        // The record is of a version that wrote longer values, and that version could not read it
        // in several entries: its segment stays. Nothing else has to wait for that.
        through_ = 0;
        min_segments_ = 2 * extent.segments.size();
        return false;
    }
    cursor_ = {};
    cursor_.job = index;
    cursor_.entries.assign(entries.begin(), entries.end());
    return true;
}

// False: the rest is for later transactions.
bool LogCompaction::write_record(StateLogBatchBuilder& builder, size_t max_bytes) {
    while (!cursor_.entries.empty()) {
        bool begun = cursor_.first_segment != 0;
        // The end of a multi-part record states what may have changed since its first part.
        if (begun && cursor_.entries.size() == 1)
            cursor_.entries.front() = multi_part_end(*cluster_.jobs[cursor_.job], cursor_.parts);
        bool enough = begun && builder.bytes() >= max_bytes;
        if (enough || !builder.append(cursor_.entries.front())) {
            if (!begun) restart_job();
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

// False: the rest is for later transactions.
bool LogCompaction::write_tasks(StateLogBatchBuilder& builder, size_t max_bytes,
                                const SegmentLimits& limits) {
    const auto& job = *cluster_.jobs[cursor_.job];
    auto end = static_cast<uint32_t>(job.tasks.size());
    while (cursor_.next_task < end && builder.bytes() < max_bytes) {
        std::string rows;
        uint32_t t = cursor_.next_task;
        while (t < end && rows.size() < limits.row_bytes) {
            const auto& task = job.tasks[t];
            // As a reader takes every task to be.
            bool initial = task.state == TaskState::Pending && task.attempt == 0;
            t = initial ? t + 1 : append_row(rows, job, t, end, cluster_);
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
        if (!needs_rewrite(j) || !in_turn(j) || builder.completes(j)) continue;
        if (cursor_.job == kNone && !begin_job(j, limits, extent, multi_part)) return;
        if (!write_record(builder, max_bytes)) return;
        if (!write_tasks(builder, max_bytes, limits)) return;
        builder.batch().records.push_back({j, cursor_.first_segment});
        restart_job();
    }
}

void LogCompaction::delete_segments(StateLogBatchBuilder& builder, const SegmentLimits& limits,
                                    const LogExtent& extent) const {
    if (!active() || builder.changes_left() < 2) return;
    for (const auto& job : cluster_.jobs)
        if (job && job->version != 0 && job->first_segment <= through_) return;
    auto room = static_cast<size_t>(builder.changes_left()) - 1;  // one is for the head
    const auto max_conditions = 4 * static_cast<size_t>(limits.txn_ops);
    uint64_t first = extent.first;
    for (const auto& segment : extent.segments) {
        if (segment.number > through_ || room-- == 0) break;
        if (builder.batch().txn.conditions.size() >= max_conditions) break;
        builder.add_condition(segment_key(segment.number), segment.version);
        builder.add_deletion(segment_key(segment.number));
        first = segment.number + 1;
    }
    if (first == extent.first) return;
    builder.batch().first = first;
    builder.add_change(kLogKey, log_head_record(first));
}

void LogCompaction::deleted(const LogExtent& extent) {
    if (extent.segments.empty() || extent.segments.front().number > through_) through_ = 0;
}

}  // namespace weirmill
