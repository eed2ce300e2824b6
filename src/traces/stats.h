// Statistics of a workload: distributions of arrival times, cores per job, run times and, if the
// trace was played, waiting times. They are computed for each class and written as JSON and as one
// self-contained HTML page.
//
// Owns: counts. Their size grows with the number of classes but not with the number of jobs; the
// buckets of the arrival histogram become wider as it covers more time.
#pragma once
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "protocol/types.h"

namespace weirmill::traces {

// A histogram with logarithmic bins for values from 1e-3 to 1e7, with twenty bins per decade.
// Values outside that range count in the first or the last bin.
class LogHistogram {
  public:
    LogHistogram();
    void add(double value);
    uint64_t count() const { return count_; }
    // Returns the upper edge of the bin that contains the quantile `q` (0 to 1), or 0 if the
    // histogram is empty.
    double quantile(double q) const;
    struct Bin {
        double from, to;
        uint64_t count;
    };
    // Returns at most `max_bins` bins of equal width on the logarithmic scale between the smallest
    // and the largest value.
    std::vector<Bin> bins(size_t max_bins) const;

  private:
    boost::histogram::histogram<
        std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>>>
        histogram_;
    uint64_t count_ = 0;
    double min_ = 0, max_ = 0;
};

// Counts jobs by arrival time in at most kMaxBuckets buckets. When the buckets no longer cover all
// times, each pair of them is merged into one.
class ArrivalHistogram {
  public:
    static constexpr size_t kMaxBuckets = 96;
    void add(double time_s);
    double bucket_s() const { return bucket_s_; }
    double begin_s() const { return begin_s_; }
    const std::vector<uint64_t>& counts() const { return counts_; }

  private:
    void merge_pairs();
    double begin_s_ = 0, bucket_s_ = 1;
    std::vector<uint64_t> counts_;
};

struct ClassStats {
    uint64_t jobs = 0, gangs = 0, tasks = 0;
    double core_hours = 0, gpu_hours = 0;  // computed from the estimated run times
    LogHistogram job_cores;                // cores of all tasks of a job
    LogHistogram run_s;                    // estimated run time of a task
    LogHistogram waiting_s;                // from the submission of a job to its first start
};

class LoadStats {
  public:
    void add_job(double submitted_s, const JobSpec& spec, const std::string& job_class);
    // Adds the waiting time of a job that was played.
    void add_waiting_time(const std::string& job_class, double waiting_s);
    std::string json() const;
    // Returns the HTML page. The title is escaped.
    std::string html(const std::string& title) const;

  private:
    ArrivalHistogram arrivals_;
    std::map<std::string, ClassStats> classes_;
    ClassStats all_;
};

// Reads the output of an import and, unless `times` is empty, the CSV table of a play. Throws
// FileError.
LoadStats read_stats(const std::string& jobs, const std::string& times);

}  // namespace weirmill::traces
