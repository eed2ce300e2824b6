// Replays the state log into the cluster state of a fresh leader, at failover.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "state/job_record.h"
#include "state/state_log_batch.h"

namespace weirmill {

class StateLogLoader {
  public:
    // Fills in both.
    StateLogLoader(ClusterState& cluster, LogExtent& extent) : cluster_(cluster), extent_(extent) {}

    void clear();
    // In this order: the head, all segments by number, then `finish`. Each throws BadMessage.
    // `now`: steady clock, seconds.
    void load_head(const KvItem& item);
    void load_segment(const KvItem& item, double now);
    // Derives what the log does not hold. Returns the jobs whose cancellation has to be recorded by
    // an entry of their own: it follows from that of a job that they need.
    [[nodiscard]] std::vector<Index> finish(double now);
    // The log holds what versions without pipelines can't read.
    bool extended_format() const { return extended_format_; }

  private:
    void load_entry(const boost::json::array& entry, uint64_t segment, double now);
    void load_record(const DecodedJobRecord& record, double now);
    void load_end(Index index, double now);
    void load_rows(Index index, const boost::json::array& entry);
    void restore_dependencies(Index index, double now);
    std::vector<Index> spread_cancellations();
    void restore_placements(double now);

    ClusterState& cluster_;
    LogExtent& extent_;
    bool extended_format_ = false;
    JobRecordDecoder records_;
    std::map<Index, std::vector<std::string>> machine_names_;  // by task; empty: on no machine
    std::map<std::string, double> end_times_;  // of jobs that others waited for; time of day
};

}  // namespace weirmill
