// The tables' records in the state service, write-ahead: a log of events in segments, each one key.
//
// One change to the state service carries all events since the last: new jobs, placements,
// outcomes, ends. The newest segment is rewritten until it is full. The oldest is dropped once
// whatever it told of jobs that still run has been told anew further on. Keys: `w/<number>` a
// segment, `log` its first number, `f/<id>` the final state of a job. docs/design.md has the
// argument why late or repeated copies of a write do nothing, and why a leader that reads the log
// knows which jobs still wait for others.
#pragma once
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "protocol/kv_codec.h"
#include "protocol/user_codec.h"
#include "state/cluster_state.h"

namespace weirmill {

inline const std::string kLeaderKey = "leader";
inline const std::string kLogKey = "log";
inline const std::string kSegmentPrefix = "w/";
// Single records that only the newest value of matters.
inline const std::string kRoundKey = "round";  // the last round of preemption
inline const std::string kTypesKey = "types";  // the machine types last offered

std::string segment_key(uint64_t number);         // in the order of numbers
uint64_t segment_number(const std::string& key);  // throws BadMessage

// What one row of the log tells of tasks `first` to `last` of a job.
struct TaskRow {
    uint32_t first = 0, last = 0;
    TaskState state = TaskState::Pending;
    uint32_t attempt = 0, agent_epoch = 0;  // Pending: the attempt; Placed: both
    std::string machine;                    // Placed
};
TaskRow parse_row(const boost::json::value& v, size_t tasks);  // throws BadMessage
std::string final_key(const std::string& id);

std::string job_record(const Job& job, Index index, const ClusterState& cluster);
std::string final_record(JobState state, uint32_t done);
struct FinalState {
    JobState state = JobState::Done;
    uint32_t done = 0;
};
FinalState parse_final(const boost::json::value& v);

struct StateLogLimits {
    int txn_ops = 12;
    double value_kb = 4;
};

enum class EntryKind : uint8_t { NewJob, Cancel, Finish, Note, Forget };
struct StateLogEntry {
    EntryKind kind = EntryKind::Note;
    Index job = kNone;
    std::string key;         // Note, Forget (empty: not to be tried again)
    bool cancelled = false;  // NewJob: recorded as cancelled
    uint64_t version = 0;    // Forget: of the door record
    FinalState ended{};      // Finish: as it is written, and so to be told
};
struct StateLogBatch {
    CasTransaction txn;
    std::vector<StateLogEntry> entries;
    std::vector<TaskChange> tasks;  // whose changes it carries
    uint64_t through = 0;           // every change up to this one is recorded with it
    struct Written {
        uint64_t number;
        std::string text;
    };
    std::vector<Written> segments;                  // the last one stays open
    std::vector<std::pair<Index, uint64_t>> bases;  // jobs told anew, from which segment on
    struct Told {
        Index job;
        size_t pieces;
        uint64_t base;
    };
    std::vector<Told>
        adoption_recorded;  // new jobs of whose records so many pieces are recorded with it
    uint64_t first = 0;     // the log's first segment after this
    bool empty() const { return txn.changes.empty(); }
    bool urgent = false;  // a user waits for it
};

class StateLog {
  public:
    StateLog(ClusterState& cluster, uint64_t fencing_token, StateLogLimits limits);

    // `door`: the version of its door record (doors/records.h), which it replaces; 0: there must be
    // none.
    void new_job(Index job, uint64_t standby = 0) {
        new_jobs_.push_back(job);
        if (standby != 0) pending_versions_[job] = standby;
    }
    // A door record that the log, or a final state, stands for by now: deleted when there are
    // changes to spare.
    void forget(const std::string& key, uint64_t version) { forgets_.emplace_back(key, version); }
    // All controllers can read records in pieces.
    void allow_pieces() { pipelines_ = true; }
    void cancel(Index job) { cancels_.push_back(job); }
    void finish(Index job) { finishes_.push_back(job); }
    void note(const std::string& key, std::string record);
    void load_note(const std::string& key, uint64_t version) { notes_[key].version = version; }
    bool urgent() const { return !new_jobs_.empty() || !cancels_.empty(); }
    bool waiting() const;
    size_t submissions() const { return new_jobs_.size(); }
    // Whether the job can be recorded at all. What it waits for does not count: that may be told in
    // pieces.
    bool can_hold(Index job) const;
    // The state service does not take a transaction of this size: the next ones are smaller. False:
    // they are as small as they get.
    bool shrink();

    // The next transaction of at most `ops` changes; every one is conditional on the leadership.
    StateLogBatch next(int ops);
    // It was applied at `revision`. Finished jobs are left in the tables for the caller to remove.
    void committed(const StateLogBatch& batch, uint64_t revision);
    // It was not, and never will be: its entries wait again. New jobs do not: their users are told
    // to return.
    void rejected(const StateLogBatch& batch);

    // Rebuilding the tables of a fresh leader: the head, all segments in order, then `loaded`. Each
    // throws BadMessage.
    void clear();
    void load_head(const KvItem& item);
    void load_segment(const KvItem& item, double now);
    void loaded(double now);

  private:
    struct Segment {
        uint64_t number, version;
    };
    struct Staged;
    void set_limits(int txn_ops, size_t value_bytes);
    bool fits(const std::string& record) const { return record.size() + 8 <= hard_limit_; }
    bool pipelines_used() const { return pipelines_ || cluster_.dependencies().waiting() > 0; }
    std::vector<std::string> record_entries(Index job) const;
    void tell_new_jobs(Staged& s, StateLogBatch& b);
    void retell(Staged& s, StateLogBatch& b);
    void drop(StateLogBatch& b, int ops);
    void tell_tasks(Staged& s, StateLogBatch& b);
    void tell_forgets(Staged& s, StateLogBatch& b);
    size_t wanted_segments() const;
    void load_entry(const boost::json::array& entry, double now);
    void load_job(const boost::json::object& record, const boost::json::value& body, uint64_t base,
                  double now);
    void load_dependencies(double now);

    ClusterState& cluster_;
    uint64_t fencing_token_;
    int txn_ops_;
    size_t soft_limit_, hard_limit_;  // bytes of a segment: when it is full, and at the most
    size_t entry_limit_;              // bytes of one entry's rows, about
    bool pipelines_ = false;          // the log holds what versions without pipelines can't read
    std::deque<Index> new_jobs_, cancels_, finishes_;
    std::map<Index, uint64_t>
        pending_versions_;  // of new jobs that doors accepted: the versions of their records
    std::deque<std::pair<std::string, uint64_t>> forgets_;
    struct Note {
        std::string record;  // empty: nothing to write
        uint64_t version = 0;
    };
    std::map<std::string, Note> notes_;

    std::deque<Segment> segments_;  // as they stand in the state service
    std::string open_;              // the text of the last one; empty: a new one is to be opened
    uint64_t next_number_ = 1;
    uint64_t head_version_ = 0, first_ = 0;
    uint64_t retelling_ = 0;  // segments up to this one are to be dropped; 0: none
    Index cursor_job_ = kNone;
    uint32_t cursor_task_ = 0;
    uint64_t cursor_base_ = 0;  // 0: nothing of the job is told yet
    size_t cursor_pieces_ = 0;
    std::deque<std::string> cursor_record_;  // the entries of its record that are still to be told
    size_t retell_above_ = 0;                // not before the log has more segments than this
    // New jobs whose records take several entries, as they stood when the first was told.
    struct Telling {
        std::vector<std::string> entries;
        size_t adoption_recorded = 0;  // are recorded
        uint64_t base = 0;             // from this segment on
    };
    std::map<Index, Telling> telling_;
    // While loading: machine names by task; pieces of records, and in which segment the first is;
    // when jobs that others waited for ended.
    std::map<Index, std::vector<std::string>> loading_;
    struct LoadedPieces {
        std::string body;
        uint64_t next = 0, base = 0;
    };
    std::map<std::string, LoadedPieces> loading_pieces_;
    std::map<std::string, double> loading_ended_;
};

}  // namespace weirmill
