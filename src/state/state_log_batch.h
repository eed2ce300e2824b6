// One transaction of the state log: what it carries, and the builder that packs entries into
// segments within the limits of the key-value store.
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

// What the key-value store takes.
struct StateLogLimits {
    int txn_ops = 12;  // changes of a transaction
    double value_kb = 4;
};

// The limits as the log's writer uses them.
struct SegmentLimits {
    SegmentLimits(int max_changes, size_t max_value_bytes);
    // Half of them; nothing: they are as small as they get.
    std::optional<SegmentLimits> halved() const;

    int txn_ops;        // changes of a transaction
    size_t hard_bytes;  // of a segment, at the most
    size_t soft_bytes;  // of a segment: it is full from here on
    size_t row_bytes;   // of the rows in one entry, about
};

enum class EntryKind : uint8_t {
    NewJob,
    Cancel,
    Finish,
    Note,    // a single record
    Forget,  // the deletion of a pending record
};

// What a transaction records, for whoever acts on its outcome.
struct StateLogEntry {
    EntryKind kind = EntryKind::Note;
    Index job = kNone;
    std::string key;         // Note, Forget (empty: not to be tried again)
    bool cancelled = false;  // NewJob: recorded as cancelled
    uint64_t version = 0;    // Forget: of the pending record
    FinalState ended{};      // Finish: as it is written, and so to be reported to users
};

// A segment of the log as it stands in the key-value store.
struct LogSegment {
    uint64_t number = 0, version = 0;
};

// How far the log reaches in the key-value store, as this leader last read or wrote it.
struct LogExtent {
    std::deque<LogSegment> segments;
    uint64_t first = 0;         // the number of the first segment, as the head has it
    uint64_t head_version = 0;  // of kLogKey
    uint64_t next_number = 1;   // of the next segment
};

struct StateLogBatch {
    struct WrittenSegment {
        uint64_t number = 0;
        std::string text;  // a JSON array without its closing bracket
    };
    // Where the record of a job begins once this is applied.
    struct RecordPosition {
        Index job = kNone;
        uint64_t first_segment = 0;
    };
    // So many entries of a new job's multi-part record are recorded once this is applied.
    struct PartialRecord {
        Index job = kNone;
        size_t entries = 0;
        uint64_t first_segment = 0;
    };

    CasTransaction txn;
    std::vector<StateLogEntry> entries;
    std::vector<TaskChange> tasks;         // whose changes it carries
    uint64_t through = 0;                  // every change up to this one is recorded with it
    std::vector<WrittenSegment> segments;  // the last one stays open
    std::vector<RecordPosition> records;   // that are complete with it
    std::vector<PartialRecord> partial_records;
    uint64_t first = 0;   // the log's first segment after this
    bool urgent = false;  // a user waits for it
    bool empty() const { return txn.changes.empty(); }
};

// Builds a batch. Entries go to the open segment as long as that has room, and to new segments
// after it; the transaction stays within the number of changes and the bytes that it may have.
class StateLogBatchBuilder {
  public:
    // `max_changes`: of this transaction. `open`: the text of the last segment of `extent`; empty:
    // entries go to a new one.
    StateLogBatchBuilder(const SegmentLimits& limits, const LogExtent& extent, std::string open,
                         int max_changes);

    // False, and nothing is changed: there is no room for the entry.
    [[nodiscard]] bool append(const std::string& entry);
    // The segment that the last entry went to.
    uint64_t current_segment() const { return segments_.back().number; }
    void add_condition(std::string key, uint64_t version);
    // The caller has set changes aside for these.
    void add_change(std::string key, std::string value);
    void add_deletion(const std::string& key);
    // A change beside those of the segments is set aside, or given back.
    void reserve_change() { --changes_left_; }
    void release_change() { ++changes_left_; }
    int changes_left() const { return changes_left_; }
    bool has_bytes_for(size_t bytes) const;
    size_t bytes() const { return bytes_; }
    bool completes(Index job) const;  // the job's record

    // Adds the changed segments to the transaction, before its other changes.
    void finish_segments();
    StateLogBatch& batch() { return batch_; }
    StateLogBatch take() { return std::move(batch_); }

  private:
    bool appends_to_open() const { return segments_.size() == 1 && open_untouched_; }

    StateLogBatch batch_;
    const SegmentLimits& limits_;
    const LogExtent& extent_;
    std::vector<StateLogBatch::WrittenSegment> segments_;
    bool has_open_;
    bool open_untouched_;  // the first of them is the open one, as it stands
    size_t bytes_ = 0;
    int changes_left_;
    uint64_t next_number_;
};

}  // namespace weirmill
