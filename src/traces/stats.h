// What a load looks like: distributions of arrival, width, length and (after a play) waiting, by
// class, as text and as one self-contained HTML page.
//
// Owns: counts, whose size grows with classes and not with jobs; arrivals widen their buckets as
// time goes on.
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

// A distribution over decades: amounts from 1e-3 to 1e7, twenty steps a decade; larger and smaller
// ones count at the ends.
class Spread {
  public:
    Spread();
    void add(double v);
    uint64_t count() const { return count_; }
    // The upper edge of the step in which the share lies; 0: nothing was counted.
    double at(double share) const;
    // Counts in `bins` equal steps (on the logarithm) between the smallest and the largest amount
    // seen.
    struct Bin {
        double from, to;
        uint64_t n;
    };
    std::vector<Bin> bins(size_t bins) const;

  private:
    boost::histogram::histogram<
        std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>>>
        steps_;
    uint64_t count_ = 0;
    double least_ = 0, most_ = 0;
};

// Jobs over time, in at most kBuckets buckets: when time runs beyond the last, two become one.
class Arrivals {
  public:
    static constexpr size_t kBuckets = 96;
    void add(double at_s);
    double bucket_s() const { return width_s_; }
    double begin_s() const { return begin_s_; }
    const std::vector<uint64_t>& counts() const { return counts_; }

  private:
    void widen();
    double begin_s_ = 0, width_s_ = 1;
    std::vector<uint64_t> counts_;
};

struct ClassStats {
    uint64_t jobs = 0, gangs = 0, tasks = 0;
    double core_hours = 0, gpu_hours = 0;  // as estimated
    Spread width, length,
        waiting;  // cores of a job; s of a task; s from submission to the first start
};

class LoadStats {
  public:
    void add(double at_s, const JobSpec& spec, const std::string& job_class);
    // From a play's table of times.
    void waited(const std::string& job_class, double wait_s);
    std::string json() const;
    // `title` is shown as it is, escaped.
    std::string html(const std::string& title) const;

  private:
    Arrivals arrivals_;
    std::map<std::string, ClassStats> classes_;
    ClassStats all_;
};

// Reads an import's output, and a play's times unless `times` is empty. Throws Unreadable.
LoadStats read_stats(const std::string& jobs, const std::string& times);

}  // namespace weirmill::traces
