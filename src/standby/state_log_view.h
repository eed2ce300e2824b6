// A copy of what the leader's log tells of jobs, kept by a controller that does not lead: which are
// alive, how far they are, and whether they are cancelled. Owned by the door; the leader's own
// tables are bookkeeping/tables.h.
//
// It is read forward: segments only grow and are only dropped from the oldest on, so that each pass
// reads from the newest known segment. A pass that does not find that segment has missed some: the
// view starts over.
#pragma once
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "protocol/kv_codec.h"
#include "state/job_record.h"

namespace weirmill {

class StateLogView {
  public:
    struct Job {
        uint32_t done = 0, placed = 0;
        bool cancelled = false;  // by an entry of its own; see cancelled()
        std::vector<std::string> awaits;
        std::vector<uint8_t> tasks;  // TaskState of each
    };

    void clear();
    // From which key on the next pass reads (exclusive); empty: from the first.
    std::string after() const;
    // One page of segments, in order; `begins`: the first of a pass. False: segments are gone that
    // were not read to their end; start over. Throws BadMessage.
    bool take(const KvPage& page, bool begins);

    const Job* find(const std::string& id) const;
    // The job's cancellation is recorded, by its own entry or by that of a job that it needs. `id`
    // is alive.
    bool cancelled(const std::string& id) const;
    // Whether the job's end was read since `moment()` was `since`, or that can't be told any more.
    uint64_t moment() const { return first_ended_ + ended_.size(); }
    bool may_have_ended(const std::string& id, uint64_t since) const;
    size_t jobs() const { return jobs_.size(); }
    size_t tasks() const { return tasks_; }

  private:
    void entry(const boost::json::array& e);
    void add_job(const boost::json::object& record, const boost::json::value& body);
    void add_rows(Job& job, const boost::json::array& e);
    void end(const std::string& id);

    std::unordered_map<std::string, Job> jobs_;
    JobRecordDecoder records_;
    size_t tasks_ = 0;
    uint64_t open_ = 0;              // the newest segment read; 0: none
    size_t open_read_ = 0;           // entries of it that were taken
    std::deque<std::string> ended_;  // the last ends read; the first of them has this number
    uint64_t first_ended_ = 0;
};

}  // namespace weirmill
