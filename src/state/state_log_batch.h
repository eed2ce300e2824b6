// A transaction of the state log, and the builder that packs log entries into segments within the
// limits of the key-value store.
#pragma once
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "protocol/kv_codec.h"
#include "state/state_log_codec.h"

namespace weirmill {

// Limits of the key-value store.
struct StateLogLimits {
    int txn_ops = 12;  // changes in a transaction
    double value_kb = 4;
};

// The limits that the state log derives from those of the key-value store.
struct SegmentLimits {
    SegmentLimits(int max_txn_changes, size_t max_value_bytes);
    // Returns limits of half the size, or nothing if they are at their minimum.
    std::optional<SegmentLimits> halved() const;

    int max_changes;            // maximum number of changes in a transaction
    size_t max_segment_bytes;   // hard limit of the size of a segment
    size_t full_segment_bytes;  // size from which a segment takes no further entries
    size_t row_bytes;           // approximate limit of the rows in one entry
};

enum class EntryKind : uint8_t {
    NewJob,
    Cancellation,
    JobEnd,
    SingleRecord,
    PendingDeletion,  // deletion of a pending record
};

// An item that a transaction records, for the components that act on its outcome.
struct StateLogEntry {
    EntryKind kind = EntryKind::SingleRecord;
    Index job = kNone;
    // SingleRecord and PendingDeletion: the key. If empty, the deletion is not retried.
    std::string key;
    bool cancelled = false;    // NewJob: the record states that the job is cancelled
    uint64_t version = 0;      // PendingDeletion: version of the pending record
    FinalState final_state{};  // JobEnd: the state that is written and may be reported to users
};

// A segment of the log as it is stored in the key-value store.
struct LogSegment {
    uint64_t number = 0, version = 0;
};

// The extent of the log in the key-value store, as this leader last read or wrote it.
struct LogExtent {
    std::deque<LogSegment> segments;
    uint64_t first_segment = 0;  // number of the first segment according to the log head
    uint64_t head_version = 0;   // version of kLogKey
    uint64_t next_number = 1;    // number of the next new segment
};

struct StateLogBatch {
    struct WrittenSegment {
        uint64_t number = 0;
        std::string text;  // a JSON array without its closing bracket
    };
    // The segment in which the record of a job begins once this transaction is applied.
    struct RecordPosition {
        Index job = kNone;
        uint64_t first_segment = 0;
    };
    // The progress of a new job's multi-part record once this transaction is applied.
    struct PartialRecord {
        Index job = kNone;
        size_t recorded = 0;  // number of entries that are recorded
        uint64_t first_segment = 0;
    };

    CasTransaction txn;
    std::vector<StateLogEntry> entries;
    std::vector<TaskChange> task_changes;  // task changes that it records
    uint64_t recorded_through = 0;         // number up to which all task changes are then recorded
    std::vector<WrittenSegment> segments;  // the last one stays open
    std::vector<RecordPosition> records;   // job records that are complete with this transaction
    std::vector<PartialRecord> partial_records;
    uint64_t first_segment = 0;  // number of the log's first segment after this transaction
    bool urgent = false;         // a user waits for this transaction
    bool empty() const { return txn.changes.empty(); }
};

// Builds a batch. Appends entries to the open segment while that has space, then to new segments.
// Keeps the transaction within its limits of changes and bytes.
class StateLogBatchBuilder {
  public:
    // `max_changes`: limit for this transaction. `open_text`: text of the last segment of `extent`;
    // empty: entries go to a new segment.
    StateLogBatchBuilder(const SegmentLimits& limits, const LogExtent& extent,
                         std::string open_text, int max_changes);

    // Appends an entry. Returns false and changes nothing if there is no space for it.
    [[nodiscard]] bool append(const std::string& entry);
    // Returns the number of the segment that holds the last entry.
    uint64_t current_segment() const { return segments_.back().number; }
    void add_condition(std::string key, uint64_t version);
    // Adds a change or a deletion for which the caller has reserved a change.
    void add_change(std::string key, std::string value);
    void add_deletion(const std::string& key);
    // Reserves or releases a change other than those that write segments.
    void reserve_change() { --changes_left_; }
    void release_change() { ++changes_left_; }
    int changes_left() const { return changes_left_; }
    bool has_bytes_for(size_t bytes) const;
    size_t bytes() const { return bytes_; }
    // Returns whether the batch completes the record of the job.
    bool completes(Index job) const;

    // Adds the changed segments to the transaction, in front of its other changes.
    void finish_segments();
    StateLogBatch& batch() { return batch_; }
    StateLogBatch take_batch() { return std::move(batch_); }

  private:
    bool appends_to_open() const { return segments_.size() == 1 && open_unchanged_; }

    StateLogBatch batch_;
    const SegmentLimits& limits_;
    const LogExtent& extent_;
    std::vector<StateLogBatch::WrittenSegment> segments_;
    bool has_open_;
    bool open_unchanged_;  // segments_ starts with the open segment, which has no new entries yet
    size_t bytes_ = 0;
    int changes_left_;
    uint64_t next_number_;
};

}  // namespace weirmill
