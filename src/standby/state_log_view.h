// A view of what the leader's log tells of jobs, kept by a controller that does not lead: which are
// alive, how far they are, and whether they are cancelled. Owned by StateLogFollower; the leader's
// own state is ClusterState. Plain data, for one thread.
//
// It is read forward: segments only grow and are only dropped from the oldest on, so that each read
// continues at the newest known segment. A read that does not find that segment has missed some:
// the view starts over.
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

    // Starts over: what ends until the log has been read anew is not known.
    void clear();
    // After which key the next read begins; empty: at the first.
    std::string resume_after() const;
    // Applies one page of segments, in order; `first_page`: the first of a read. False: segments
    // are gone that were not read to their end, and the view must start over. Throws BadMessage.
    [[nodiscard]] bool apply_page(const KvPage& page, bool first_page);

    // Null: not alive.
    const Job* find(const std::string& id) const;
    // The job's cancellation is recorded, by its own entry or by that of a job that it depends on.
    // `id` is alive.
    bool cancelled(const std::string& id) const;
    // How many ends of jobs were read so far.
    uint64_t ends_read() const { return first_ended_ + ended_.size(); }
    // Whether the job's end was read since `ends_read()` was `since`, or that is not known any
    // more.
    bool may_have_ended(const std::string& id, uint64_t since) const;
    size_t jobs() const { return jobs_.size(); }
    size_t tasks() const { return tasks_; }

  private:
    void entry(const boost::json::array& e);
    void add_job(const boost::json::object& record, const boost::json::value& body);
    void add_rows(Job& job, const boost::json::array& e);
    void end(const std::string& id);
    // Makes `number` the newest segment. False: it does not follow on what was read.
    bool enter_segment(uint64_t number, size_t entries);

    std::unordered_map<std::string, Job> jobs_;
    JobRecordDecoder records_;
    size_t tasks_ = 0;
    uint64_t open_ = 0;              // the newest segment read; 0: none
    size_t open_read_ = 0;           // entries of it that were applied
    std::deque<std::string> ended_;  // the last ends read
    uint64_t first_ended_ = 0;       // number of the first of them
};

}  // namespace weirmill
