// Compaction of the state log: its oldest segments are deleted once the records of all jobs that
// they hold and that are still alive have been written again further on, some with each
// transaction.
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

    // Segments are to be deleted.
    bool active() const { return through_ != 0; }
    // Segments up to this one are to be deleted; 0: none.
    uint64_t through() const { return through_; }
    // Begins where the log has more segments than the jobs alive should need.
    void start_if_due(const LogExtent& extent, const SegmentLimits& limits);
    // Adds rewritten records of jobs whose own are in those segments. `multi_part`: records in
    // several entries may be written.
    void rewrite_records(StateLogBatchBuilder& builder, const SegmentLimits& limits,
                         const LogExtent& extent, bool multi_part);
    // Deletes segments that no job alive needs. To be called once all else of the batch is in it.
    void delete_segments(StateLogBatchBuilder& builder, const SegmentLimits& limits,
                         const LogExtent& extent) const;
    // After segments were deleted.
    void deleted(const LogExtent& extent);
    // What was written of a job that is not complete yet is not counted on: it begins anew.
    void restart_job() { cursor_.job = kNone; }
    void clear();

  private:
    // The job whose record is being rewritten, over as many transactions as it takes.
    struct Cursor {
        Index job = kNone;
        std::deque<std::string> entries;  // of its record, still to be written
        size_t parts = 0;                 // of a multi-part record
        uint64_t first_segment = 0;       // 0: nothing of the job is written yet
        uint32_t next_task = 0;
    };
    bool needs_rewrite(Index index) const;
    bool in_turn(Index index);
    bool begin_job(Index index, const SegmentLimits& limits, const LogExtent& extent,
                   bool multi_part);
    bool write_record(StateLogBatchBuilder& builder, size_t max_bytes);
    bool write_tasks(StateLogBatchBuilder& builder, size_t max_bytes, const SegmentLimits& limits);
    size_t wanted_segments(const SegmentLimits& limits) const;

    const ClusterState& cluster_;
    uint64_t through_ = 0;
    size_t min_segments_ = 0;  // not before the log has more segments than this
    Cursor cursor_;
};

}  // namespace weirmill
