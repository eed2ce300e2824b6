// The cluster state's records in the key-value store: a write-ahead log of entries in segments,
// each one key.
//
// One transaction carries all changes since the last: new jobs, placements, outcomes, ends. The
// newest segment is rewritten until it is full; compaction (state/log_compaction.h) deletes the
// oldest ones. state/state_log_codec.h has the keys and records. docs/design.md has the argument
// why late or repeated copies of a transaction have no effect, and why a leader that reads the log
// knows which jobs still wait for others. Not thread-safe: owned by the leader.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "state/log_compaction.h"
#include "state/state_log_batch.h"
#include "state/state_log_loader.h"

namespace weirmill {

class StateLog {
  public:
    StateLog(ClusterState& cluster, uint64_t fencing_token, StateLogLimits limits);
    // Its parts refer to each other.
    StateLog(const StateLog&) = delete;
    StateLog& operator=(const StateLog&) = delete;
    StateLog(StateLog&&) = delete;
    StateLog& operator=(StateLog&&) = delete;
    ~StateLog() = default;

    // Queues the record of a new job. `pending_version`: the version of its pending record
    // (state/pending_records.h), which the job's record replaces; 0: there must be none.
    void new_job(Index job, uint64_t pending_version = 0);
    // Queues the deletion of a pending record that the log, or a final state, has replaced by now.
    // It is deleted with a transaction that has changes to spare.
    void forget(const std::string& key, uint64_t version) { forgets_.emplace_back(key, version); }
    // All controllers can read multi-part records.
    void allow_multi_part_records() { multi_part_allowed_ = true; }
    void cancel(Index job) { cancels_.push_back(job); }
    void finish(Index job) { finishes_.push_back(job); }
    // Queues the newest value of a single record, and takes in the version of one that was read.
    void note(const std::string& key, std::string record);
    void load_note(const std::string& key, uint64_t version) { notes_[key].version = version; }
    // A user waits for what is queued.
    bool urgent() const { return !new_jobs_.empty() || !cancels_.empty(); }
    // Something is queued, or compaction is active.
    bool waiting() const;
    size_t submissions() const { return new_jobs_.size(); }
    // Whether the job can be recorded at all. What it waits for does not count: that may be written
    // in a multi-part record.
    bool can_hold(Index index) const;
    // After the key-value store refused a transaction for its size: the next ones are smaller.
    // False: they are as small as they get.
    [[nodiscard]] bool shrink();

    // The next transaction of at most `max_changes` changes; every one is conditional on the
    // leadership.
    [[nodiscard]] StateLogBatch next(int max_changes);
    // It was applied at `revision`. Finished jobs are left in the cluster state for the caller to
    // remove.
    void committed(const StateLogBatch& batch, uint64_t revision);
    // It was not, and never will be: its entries are queued again. New jobs are not: their users
    // are answered to try again.
    void rejected(const StateLogBatch& batch);

    // Rebuilds the cluster state of a fresh leader: the head, all segments in order, then `loaded`.
    // Each throws BadMessage. `now`: steady clock, seconds.
    void clear();
    void load_head(const KvItem& item) { loader_.load_head(item); }
    void load_segment(const KvItem& item, double now) { loader_.load_segment(item, now); }
    void loaded(double now);

  private:
    struct Note {
        std::string record;  // empty: nothing to write
        uint64_t version = 0;
    };
    // A new job's multi-part record, as it was encoded when its first part was written.
    struct PartialRecord {
        std::vector<std::string> entries;
        size_t recorded = 0;         // of the entries
        uint64_t first_segment = 0;  // that holds them
    };

    bool multi_part_records() const;
    void add_cancels(StateLogBatchBuilder& builder);
    void add_new_jobs(StateLogBatchBuilder& builder);
    std::optional<uint64_t> write_new_record(StateLogBatchBuilder& builder, Index index);
    std::optional<uint64_t> continue_record(StateLogBatchBuilder& builder, Index index,
                                            PartialRecord& partial);
    void add_finishes(StateLogBatchBuilder& builder);
    void add_task_changes(StateLogBatchBuilder& builder);
    void add_notes(StateLogBatchBuilder& builder);
    void add_forgets(StateLogBatchBuilder& builder);
    bool partial_record_in_deleted() const;
    void apply_segments(const StateLogBatch& batch, uint64_t revision);
    void apply_entry(const StateLogEntry& entry, uint64_t revision);
    void apply_deletions(const StateLogBatch& batch, uint64_t revision);
    void requeue(const StateLogEntry& entry, const StateLogBatch& batch);

    ClusterState& cluster_;
    uint64_t fencing_token_;
    SegmentLimits limits_;
    bool multi_part_allowed_ = false;

    // What is queued.
    std::deque<Index> new_jobs_, cancels_, finishes_;
    std::map<Index, uint64_t> pending_versions_;  // of new jobs that a standby accepted
    std::map<Index, PartialRecord> partial_records_;
    std::deque<std::pair<std::string, uint64_t>> forgets_;  // key and version
    std::map<std::string, Note> notes_;

    LogExtent extent_;
    std::string open_;  // the text of its last segment; empty: a new one is to be opened
    LogCompaction compaction_;
    StateLogLoader loader_;
};

}  // namespace weirmill
