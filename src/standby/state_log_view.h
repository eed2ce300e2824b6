// A read-only view of the jobs in the leader's log, kept by a controller that does not lead: which
// jobs have not ended, their progress, and whether they are cancelled. StateLogFollower owns the
// view; the leader keeps its own state in ClusterState. Not thread-safe.
//
// The log is read forward. Segments only grow, and only the oldest ones are deleted, so each read
// continues at the newest segment that the view has read. If a read does not find that segment, the
// view has missed entries and has to be cleared.
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
        uint32_t done = 0, placed = 0;  // number of tasks
        bool cancelled = false;         // by its own entry only; see is_cancelled()
        std::vector<std::string> dependencies;
        std::vector<uint8_t> task_states;  // a TaskState for each task
    };

    // Empties the view. It can't tell which jobs end until the log has been read again.
    void clear();
    // Returns the key after which the next read starts; empty for the start of the log.
    std::string resume_after() const;
    // Applies a page of segments, in log order. `first_page` marks the first page of a read.
    // Returns false if segments were deleted before they were read completely; the view then has to
    // be cleared. Throws BadMessage.
    [[nodiscard]] bool apply_page(const KvPage& page, bool first_page);

    // Returns null if the view does not hold the job. The pointer is valid until the next
    // apply_page() or clear().
    const Job* find(const std::string& id) const;
    // Returns whether a cancellation is recorded for the job or for a job that it depends on,
    // directly or indirectly. The view has to hold the job.
    bool is_cancelled(const std::string& id) const;
    // Returns a sequence number that each job end read, and each clear(), advances by one.
    uint64_t job_ends_read() const { return first_recent_end_ + recent_ends_.size(); }
    // Returns whether the job's end was read after job_ends_read() returned `since`, or may have
    // been missed.
    bool may_have_ended(const std::string& id, uint64_t since) const;
    size_t job_count() const { return jobs_.size(); }
    size_t task_count() const { return task_count_; }

  private:
    void apply_entry(const boost::json::array& entry);
    void add_job(const boost::json::object& record, const boost::json::value& body);
    void apply_task_rows(Job& job, const boost::json::array& entry);
    void apply_end(const std::string& id);
    // Makes segment `number`, which holds `entry_count` entries, the newest one. Returns false if
    // entries between it and the last one read are missing.
    bool advance_to_segment(uint64_t number, size_t entry_count);

    std::unordered_map<std::string, Job> jobs_;
    JobRecordDecoder record_decoder_;
    size_t task_count_ = 0;
    uint64_t newest_segment_ = 0;          // the newest segment read; 0: none
    size_t newest_segment_entries_ = 0;    // number of its entries that were applied
    std::deque<std::string> recent_ends_;  // ids of the last jobs whose ends were read
    uint64_t first_recent_end_ = 0;        // sequence number of the first of recent_ends_
};

}  // namespace weirmill
