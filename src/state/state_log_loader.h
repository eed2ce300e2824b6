// Replays the state log into the cluster state of a new leader after a failover.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "state/job_record.h"
#include "state/state_log_batch.h"

namespace weirmill {

class StateLogLoader {
  public:
    // The loader fills `cluster` and `extent`, which must outlive it.
    StateLogLoader(ClusterState& cluster, LogExtent& extent) : cluster_(cluster), extent_(extent) {}

    void clear();
    // Call load_head first, then load_segment for all segments by number, then `finish`. Each
    // throws BadMessage. `now`: steady clock in seconds.
    void load_head(const KvItem& item);
    void load_segment(const KvItem& item, double now);
    // Derives what the log does not hold. Returns the jobs whose cancellation follows from that of
    // a job they depend on and still needs a log entry of its own.
    [[nodiscard]] std::vector<Index> finish(double now);
    // Returns whether the log holds entries that versions without pipelines can't read.
    bool extended_format() const { return extended_format_; }

  private:
    void load_entry(const boost::json::array& entry, uint64_t segment, double now);
    void load_record(const DecodedJobRecord& record, double now);
    void load_end(Index index, double now);
    void load_rows(Index index, const boost::json::array& entry);
    void restore_dependencies(Index index, double now);
    std::vector<Index> propagate_cancellations();
    void restore_placements(double now);

    ClusterState& cluster_;
    LogExtent& extent_;
    bool extended_format_ = false;
    JobRecordDecoder records_;
    // Machine names by task, for each job; empty: the task is not placed.
    std::map<Index, std::vector<std::string>> machine_names_;
    // End times of jobs that other jobs waited for, by job id; time of day in seconds.
    std::map<std::string, double> end_times_;
};

}  // namespace weirmill
