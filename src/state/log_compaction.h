// Compaction of the state log. The records of live jobs in the oldest segments are rewritten to the
// end of the log, some with each transaction; then these segments are deleted.
#pragma once
#include <cstdint>
#include <deque>
#include <string>
#include <utility>

#include "state/state_log_batch.h"

namespace weirmill {

class LogCompaction {
  public:
    explicit LogCompaction(const ClusterState& cluster) : cluster_(cluster) {}

    // Returns whether segments remain to be deleted.
    bool active() const { return delete_through_ != 0; }
    // The number of the last segment to be deleted; 0: none.
    uint64_t delete_through() const { return delete_through_; }
    // Starts a compaction if the log has more segments than the live jobs should need.
    void start_if_due(const LogExtent& extent, const SegmentLimits& limits);
    // Adds the rewritten records of jobs whose records are in the segments to be deleted.
    // `multi_part`: multi-part records may be written.
    void rewrite_records(StateLogBatchBuilder& builder, const SegmentLimits& limits,
                         const LogExtent& extent, bool multi_part);
    // Adds the deletions of segments that no live job needs. Must be called after everything else
    // was added to the batch.
    void delete_segments(StateLogBatchBuilder& builder, const SegmentLimits& limits,
                         const LogExtent& extent) const;
    // Ends the compaction if all its segments were deleted.
    void on_segments_deleted(const LogExtent& extent);
    // Starts the record that is being rewritten again from its first entry.
    void restart_current_job() { cursor_.job = kNone; }
    void clear();

  private:
    // The job whose record is being rewritten; this may take several transactions.
    struct RewriteCursor {
        Index job = kNone;
        std::deque<std::string> entries;  // entries of its record that are still to be written
        size_t parts = 0;                 // number of parts if the record is a multi-part record
        uint64_t first_segment = 0;       // 0: nothing of the job is written yet
        uint32_t next_task = 0;
    };
    bool needs_rewrite(Index index) const;
    bool may_rewrite_next(Index index);
    bool begin_job(Index index, const SegmentLimits& limits, const LogExtent& extent,
                   bool multi_part);
    bool write_record(StateLogBatchBuilder& builder, size_t max_bytes);
    bool write_tasks(StateLogBatchBuilder& builder, size_t max_bytes, const SegmentLimits& limits);
    size_t target_segments(const SegmentLimits& limits) const;

    const ClusterState& cluster_;
    uint64_t delete_through_ = 0;
    size_t min_segments_ = 0;  // No compaction starts unless the log has more segments than this.
    RewriteCursor cursor_;
};

}  // namespace weirmill
