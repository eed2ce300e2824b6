#include "metrics/metrics.h"

#include <spdlog/fmt/fmt.h>

#include <vector>

namespace weirmill {

namespace {
// Seconds.
const std::vector<double> kBucketBounds{0, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};
}  // namespace

Metrics::RequestStats::RequestStats()
    : latency_s(boost::histogram::make_histogram(Axis(kBucketBounds))) {}

void Metrics::record_request(const std::string& kind, int status, double latency_s) {
    auto& stats = requests_[kind];
    stats.latency_s(latency_s);
    stats.latency_sum_s += latency_s;
    ++stats.count_by_status[status];
}

std::string Metrics::to_prometheus_text(const std::map<std::string, double>& gauges) const {
    std::string out;
    auto to = std::back_inserter(out);
    out += "# TYPE weirmill_requests_total counter\n";
    for (auto& [kind, stats] : requests_)
        for (auto& [status, n] : stats.count_by_status)
            fmt::format_to(to, "weirmill_requests_total{{kind=\"{}\",status=\"{}\"}} {}\n", kind,
                           status, n);
    out += "# TYPE weirmill_request_seconds histogram\n";
    for (auto& [kind, stats] : requests_) {
        double cumulative = 0;
        for (size_t i = 0; i + 1 < kBucketBounds.size(); ++i) {
            cumulative += static_cast<double>(stats.latency_s.at(static_cast<int>(i)));
            fmt::format_to(to, "weirmill_request_seconds_bucket{{kind=\"{}\",le=\"{}\"}} {}\n",
                           kind, kBucketBounds[i + 1], cumulative);
        }
        double total =
            cumulative +
            static_cast<double>(stats.latency_s.at(static_cast<int>(kBucketBounds.size()) - 1));
        fmt::format_to(to, "weirmill_request_seconds_bucket{{kind=\"{}\",le=\"+Inf\"}} {}\n", kind,
                       total);
        fmt::format_to(to, "weirmill_request_seconds_sum{{kind=\"{}\"}} {}\n", kind,
                       stats.latency_sum_s);
        fmt::format_to(to, "weirmill_request_seconds_count{{kind=\"{}\"}} {}\n", kind, total);
    }
    for (auto& [name, n] : counters_)
        fmt::format_to(to, "# TYPE weirmill_{0} counter\nweirmill_{0} {1}\n", name, n);
    std::string_view previous_family;
    for (auto& [name, value] : gauges) {
        // Gauges that differ only in labels share one TYPE line.
        auto family = std::string_view(name).substr(0, name.find('{'));
        if (family != previous_family) fmt::format_to(to, "# TYPE weirmill_{} gauge\n", family);
        previous_family = family;
        fmt::format_to(to, "weirmill_{} {}\n", name, value);
    }
    return out;
}

}  // namespace weirmill
