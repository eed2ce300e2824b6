// The state log: a write-ahead log in the key-value store that records the cluster state. Its
// entries are stored in segments, each the value of one key.
//
// One transaction records all changes since the previous one: new jobs, placements, outcomes and
// ends of jobs. The newest segment is rewritten until it is full; compaction
// (state/log_compaction.h) deletes the oldest ones. state/state_log_codec.h describes the keys and
// records. docs/design.md explains why late or repeated copies of a transaction have no effect, and
// how a leader that reads the log knows which jobs still wait for others. Not thread-safe: the
// leader owns it.
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
    // Not copyable or movable: its members refer to each other.
    StateLog(const StateLog&) = delete;
    StateLog& operator=(const StateLog&) = delete;
    StateLog(StateLog&&) = delete;
    StateLog& operator=(StateLog&&) = delete;
    ~StateLog() = default;

    // Queues the record of a new job. `pending_version`: the version of the job's pending record
    // (state/pending_records.h), which this record replaces; 0: there must be no pending record.
    void queue_new_job(Index job, uint64_t pending_version = 0);
    // Queues the deletion of a pending record that the log or a final state has replaced. It is
    // added to a transaction that has changes to spare.
    void queue_pending_deletion(const std::string& key, uint64_t version) {
        pending_deletions_.emplace_back(key, version);
    }
    // To be called once all controllers can read multi-part records.
    void allow_multi_part_records() { multi_part_allowed_ = true; }
    void queue_cancellation(Index job) { cancellations_.push_back(job); }
    void queue_job_end(Index job) { job_ends_.push_back(job); }
    // Queues a new value for a single record (kRoundKey, kTypesKey). It replaces a queued value.
    void queue_single_record(const std::string& key, std::string record);
    // Sets the version of a single record that was read from the key-value store.
    void load_single_record_version(const std::string& key, uint64_t version) {
        single_records_[key].version = version;
    }
    // Returns whether a user waits for queued entries.
    bool urgent() const { return !new_jobs_.empty() || !cancellations_.empty(); }
    // Returns whether anything is queued or compaction is active.
    bool has_work() const;
    size_t queued_new_jobs() const { return new_jobs_.size(); }
    // Returns whether the job's record fits the limits of the key-value store. Dependencies do not
    // count: a job with dependencies may have a multi-part record.
    bool can_record(Index index) const;
    // Halves the limits after the key-value store rejected a transaction as too large. Returns
    // false if they are at their minimum.
    [[nodiscard]] bool reduce_limits();

    // Builds the next transaction with at most `max_changes` changes. Each transaction is
    // conditional on the leadership.
    [[nodiscard]] StateLogBatch next_batch(int max_changes);
    // Applies the outcome of a transaction that was committed at `revision`. The caller removes the
    // jobs that ended from the cluster state.
    void committed(const StateLogBatch& batch, uint64_t revision);
    // Queues the entries of a transaction that was not applied and never will be. New jobs are not
    // queued again: their users are asked to retry.
    void rejected(const StateLogBatch& batch);

    // Rebuilds the cluster state of a new leader. Call `clear`, `load_head`, `load_segment` for all
    // segments in order, then `finish_loading`. The loading functions throw BadMessage. `now`:
    // steady clock in seconds.
    void clear();
    void load_head(const KvItem& item) { loader_.load_head(item); }
    void load_segment(const KvItem& item, double now) { loader_.load_segment(item, now); }
    void finish_loading(double now);

  private:
    struct SingleRecord {
        std::string queued_value;  // empty: nothing to write
        uint64_t version = 0;
    };
    // A new job's multi-part record, encoded when its first part was written.
    struct PartialRecord {
        std::vector<std::string> entries;
        size_t recorded = 0;         // number of entries that are recorded
        uint64_t first_segment = 0;  // segment that holds the first entry
    };

    bool may_write_multi_part_records() const;
    void add_cancellations(StateLogBatchBuilder& builder);
    void add_new_jobs(StateLogBatchBuilder& builder);
    std::optional<uint64_t> write_new_record(StateLogBatchBuilder& builder, Index index);
    std::optional<uint64_t> continue_record(StateLogBatchBuilder& builder, Index index,
                                            PartialRecord& partial);
    void add_job_ends(StateLogBatchBuilder& builder);
    void add_task_changes(StateLogBatchBuilder& builder);
    void add_single_records(StateLogBatchBuilder& builder);
    void add_pending_deletions(StateLogBatchBuilder& builder);
    bool partial_record_in_deleted_segments() const;
    void apply_segments(const StateLogBatch& batch, uint64_t revision);
    void apply_entry(const StateLogEntry& entry, uint64_t revision);
    void apply_deletions(const StateLogBatch& batch, uint64_t revision);
    void requeue(const StateLogEntry& entry, const StateLogBatch& batch);

    ClusterState& cluster_;
    uint64_t fencing_token_;
    SegmentLimits limits_;
    bool multi_part_allowed_ = false;

    // Queued entries.
    std::deque<Index> new_jobs_, cancellations_, job_ends_;
    std::map<Index, uint64_t> pending_versions_;  // for new jobs that a standby controller accepted
    std::map<Index, PartialRecord> partial_records_;
    std::deque<std::pair<std::string, uint64_t>> pending_deletions_;  // key and version
    std::map<std::string, SingleRecord> single_records_;

    LogExtent extent_;
    std::string open_segment_text_;  // text of the last segment; empty: a new one is to be started
    LogCompaction compaction_;
    StateLogLoader loader_;
};

}  // namespace weirmill
