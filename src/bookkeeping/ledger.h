// The tables' records in the state service, write-ahead: what is to be recorded, in which transactions,
// and what has been. Keys: `j/<id>` a job, `t/<id>/<chunk>` its tasks, `f/<id>` a final state.
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bookkeeping/tables.h"
#include "protocol/state_codec.h"
#include "protocol/user_codec.h"

namespace weirmill {

inline const std::string kLeaderKey = "leader";
// Single records that only the newest value of matters.
inline const std::string kRoundKey = "round";  // the last round of preemption
inline const std::string kTypesKey = "types";  // the machine types last offered

std::string job_key(const std::string& id);
std::string chunk_key(const std::string& id, uint32_t chunk);
std::string final_key(const std::string& id);

std::string job_record(const Job& job, const Names& names, bool cancelled);
std::string chunk_record(const Job& job, uint32_t chunk, const Tables& tables);
std::string final_record(JobState state, uint32_t done);
struct FinalState {
    JobState state = JobState::Done;
    uint32_t done = 0;
};
FinalState parse_final(const boost::json::value& v);

enum class EntryKind : uint8_t { NewJob, Cancel, Finish, Chunk, Sweep, Note };
struct LedgerEntry {
    EntryKind kind = EntryKind::Chunk;
    Index job = kNone;
    uint32_t chunk = 0;
    uint32_t change = 0;
    std::string key;  // Sweep, Note
};
struct LedgerBatch {
    StateTxn txn;
    std::vector<LedgerEntry> entries;
    bool empty() const { return entries.empty(); }
    bool urgent = false;  // a user waits for it
};

class Ledger {
  public:
    Ledger(Tables& tables, uint64_t token, int txn_ops) : tables_(tables), token_(token), txn_ops_(txn_ops) {}

    void new_job(Index job) { new_jobs_.push_back(job); }
    void cancel(Index job) { cancels_.push_back(job); }
    void finish(Index job) { finishes_.push_back(job); }
    void sweep(std::string key, uint64_t version) { sweeps_.push_back({std::move(key), version}); }
    void note(const std::string& key, std::string record) { notes_[key].record = std::move(record); }
    void load_note(const std::string& key, uint64_t version) { notes_[key].version = version; }
    bool urgent() const { return !new_jobs_.empty() || !cancels_.empty(); }
    bool waiting() const;
    size_t submissions() const { return new_jobs_.size(); }

    // The next transaction of at most `ops` changes; every one is conditional on the leadership.
    LedgerBatch next(int ops);
    // It was applied at `revision`. Finished jobs are left in the tables for the caller to remove.
    void committed(const LedgerBatch& batch, uint64_t revision);
    // It was not, and never will be: its entries wait again. New jobs do not: their users are told to return.
    void rejected(const LedgerBatch& batch);

    // Rebuilding the tables of a fresh leader; the loads throw BadMessage.
    void clear();
    void load_job(const StateItem& item, double now);
    void load_chunk(const StateItem& item, double now);

  private:
    Tables& tables_;
    uint64_t token_;
    int txn_ops_;
    std::deque<Index> new_jobs_, cancels_, finishes_;
    std::deque<StateCondition> sweeps_;
    struct Note {
        std::string record;  // empty: nothing to write
        uint64_t version = 0;
    };
    std::map<std::string, Note> notes_;
};

}  // namespace weirmill
