#include "metrics/metrics.h"

#include <spdlog/fmt/fmt.h>

#include <vector>

namespace weirmill {

namespace {
const std::vector<double> kBounds{0, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};
}

Metrics::Kind::Kind() : seconds(boost::histogram::make_histogram(Axis(kBounds))) {}

void Metrics::request(const std::string& kind, int status, double seconds) {
    auto& k = requests_[kind];
    k.seconds(seconds);
    k.sum += seconds;
    ++k.by_status[status];
}

std::string Metrics::text(const std::map<std::string, double>& gauges) const {
    std::string out;
    auto to = std::back_inserter(out);
    out += "# TYPE weirmill_requests_total counter\n";
    for (auto& [kind, k] : requests_)
        for (auto& [status, n] : k.by_status)
            fmt::format_to(to, "weirmill_requests_total{{kind=\"{}\",status=\"{}\"}} {}\n", kind,
                           status, n);
    out += "# TYPE weirmill_request_seconds histogram\n";
    for (auto& [kind, k] : requests_) {
        double below = 0;
        for (size_t i = 0; i + 1 < kBounds.size(); ++i) {
            below += static_cast<double>(k.seconds.at(static_cast<int>(i)));
            fmt::format_to(to, "weirmill_request_seconds_bucket{{kind=\"{}\",le=\"{}\"}} {}\n",
                           kind, kBounds[i + 1], below);
        }
        double all =
            below + static_cast<double>(k.seconds.at(static_cast<int>(kBounds.size()) - 1));
        fmt::format_to(to, "weirmill_request_seconds_bucket{{kind=\"{}\",le=\"+Inf\"}} {}\n", kind,
                       all);
        fmt::format_to(to, "weirmill_request_seconds_sum{{kind=\"{}\"}} {}\n", kind, k.sum);
        fmt::format_to(to, "weirmill_request_seconds_count{{kind=\"{}\"}} {}\n", kind, all);
    }
    for (auto& [name, n] : counts_)
        fmt::format_to(to, "# TYPE weirmill_{0} counter\nweirmill_{0} {1}\n", name, n);
    std::string_view family;
    for (auto& [name, v] : gauges) {
        // One line of type for all of a name's labels.
        auto of = std::string_view(name).substr(0, name.find('{'));
        if (of != family) fmt::format_to(to, "# TYPE weirmill_{} gauge\n", of);
        family = of;
        fmt::format_to(to, "weirmill_{} {}\n", name, v);
    }
    return out;
}

}  // namespace weirmill
