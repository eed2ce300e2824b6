#include "traces/stats.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "protocol/json_write.h"
#include "protocol/user_codec.h"
#include "traces/fields.h"
#include "traces/line_source.h"
#include "traces/play.h"

namespace weirmill::traces {

namespace hist = boost::histogram;

namespace {

constexpr double kMinValue = 1e-3, kMaxValue = 1e7;
constexpr unsigned kBins = 200;  // twenty for each decade

std::string escape_html(std::string_view text) {
    std::string out;
    for (char c : text) {
        if (c == '<')
            out += "&lt;";
        else if (c == '>')
            out += "&gt;";
        else if (c == '&')
            out += "&amp;";
        else if (c == '"')
            out += "&quot;";
        else
            out += c;
    }
    return out;
}

std::string format_number(double value) {
    char buffer[32];
    std::snprintf(buffer, sizeof buffer,
                  value >= 100 || value == std::floor(value) ? "%.0f" : "%.3g", value);
    return buffer;
}

std::string format_seconds(double seconds) {
    if (seconds >= 172800) return format_number(std::round(seconds / 8640) / 10) + " d";
    if (seconds >= 7200) return format_number(std::round(seconds / 360) / 10) + " h";
    if (seconds >= 120) return format_number(std::round(seconds / 6) / 10) + " min";
    return format_number(seconds) + " s";
}

// A bar of a chart. The label is shown as a tooltip and read by screen readers.
struct Bar {
    uint64_t count;
    std::string label;
};
// Returns a bar chart as HTML with an inline SVG. The labels stand below the ends of the axis.
std::string chart(const std::string& title, const std::vector<Bar>& bars,
                  const std::string& left_label, const std::string& right_label) {
    constexpr double kWidth = 600, kHeight = 120;
    uint64_t max_count = 1;
    for (auto& bar : bars) max_count = std::max(max_count, bar.count);
    std::string out =
        "<figure><figcaption>" + escape_html(title) +
        " <small>(highest bar: " + std::to_string(max_count) +
        ")</small></figcaption><svg viewBox=\"0 0 600 140\" role=\"img\" aria-label=\"" +
        escape_html(title) + "\">";
    double step = kWidth / static_cast<double>(std::max<size_t>(bars.size(), 1));
    for (size_t i = 0; i < bars.size(); ++i) {
        if (bars[i].count == 0) continue;
        double height = std::max(
            1.0, kHeight * static_cast<double>(bars[i].count) / static_cast<double>(max_count));
        char rect[160];
        std::snprintf(
            rect, sizeof rect, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\">",
            step * static_cast<double>(i), kHeight - height, std::max(0.5, step - 1), height);
        out += rect;
        out += "<title>" + escape_html(bars[i].label) + ": " + std::to_string(bars[i].count) +
               "</title></rect>";
    }
    return out + "<text x=\"0\" y=\"136\">" + escape_html(left_label) +
           "</text><text x=\"600\" y=\"136\" text-anchor=\"end\">" + escape_html(right_label) +
           "</text></svg></figure>\n";
}

std::string chart(const std::string& title, const LogHistogram& histogram,
                  std::string (*format)(double)) {
    std::vector<Bar> bars;
    auto bins = histogram.bins(40);
    for (auto& bin : bins) bars.push_back({bin.count, format(bin.from) + " to " + format(bin.to)});
    return bins.empty() ? ""
                        : chart(title, bars, format(bins.front().from), format(bins.back().to));
}

}  // namespace

LogHistogram::LogHistogram()
    : histogram_(hist::make_histogram(
          hist::axis::regular<double, hist::axis::transform::log>(kBins, kMinValue, kMaxValue))) {}

void LogHistogram::add(double value) {
    value = std::clamp(value, kMinValue, kMaxValue * 0.999999);
    min_ = count_ ? std::min(min_, value) : value;
    max_ = std::max(max_, value);
    ++count_;
    histogram_(value);
}

double LogHistogram::quantile(double q) const {
    double cumulative = 0, target = q * static_cast<double>(count_);
    if (count_ == 0) return 0;
    for (auto&& bin : hist::indexed(histogram_)) {
        cumulative += *bin;
        if (cumulative >= target) return std::min(bin.bin().upper(), max_);
    }
    return max_;
}

std::vector<LogHistogram::Bin> LogHistogram::bins(size_t max_bins) const {
    std::vector<Bin> out;
    if (count_ == 0) return out;
    int first = histogram_.axis().index(min_), last = histogram_.axis().index(max_);
    int merged_bins =
        std::max(1, (last - first + static_cast<int>(max_bins)) / static_cast<int>(max_bins));
    for (int i = first; i <= last; i += merged_bins) {
        Bin bin{histogram_.axis().bin(i).lower(), 0, 0};
        for (int k = i; k < i + merged_bins && k <= last; ++k) {
            bin.count += static_cast<uint64_t>(double{histogram_.at(k)});
            bin.to = histogram_.axis().bin(k).upper();
        }
        out.push_back(bin);
    }
    return out;
}

void ArrivalHistogram::merge_pairs() {
    for (size_t i = 0; i < counts_.size(); ++i) {
        auto count = counts_[i];
        counts_[i] = 0;
        counts_[i / 2] += count;
    }
    counts_.resize((counts_.size() + 1) / 2);
    bucket_s_ *= 2;
}

void ArrivalHistogram::add(double time_s) {
    if (counts_.empty()) begin_s_ = time_s;
    // For a job that arrived before the first bucket, empty buckets are inserted at the front.
    while (time_s < begin_s_) {
        auto added_buckets =
            static_cast<size_t>(std::min(1e15, std::ceil((begin_s_ - time_s) / bucket_s_)));
        if (counts_.size() + added_buckets <= kMaxBuckets) {
            counts_.insert(counts_.begin(), added_buckets, 0);
            begin_s_ -= static_cast<double>(added_buckets) * bucket_s_;
        } else {
            merge_pairs();
        }
    }
    while ((time_s - begin_s_) / bucket_s_ >= static_cast<double>(kMaxBuckets)) merge_pairs();
    auto i = static_cast<size_t>((time_s - begin_s_) / bucket_s_);
    if (counts_.size() <= i) counts_.resize(i + 1);
    ++counts_[i];
}

void LoadStats::add_job(double submitted_s, const JobSpec& spec, const std::string& job_class) {
    arrivals_.add(submitted_s);
    double tasks = spec.tasks, cores = static_cast<double>(spec.demand.cpu) / 1000;
    double gpus = static_cast<double>(spec.demand.gpu) / 1000,
           task_hours = tasks * spec.estimate_s / 3600;
    for (auto* stats : {&all_, &classes_[job_class]}) {
        ++stats->jobs;
        stats->gangs += spec.kind == JobKind::Gang;
        stats->tasks += spec.tasks;
        stats->core_hours += cores * task_hours;
        stats->gpu_hours += gpus * task_hours;
        stats->job_cores.add(cores * tasks);
        stats->run_s.add(spec.estimate_s);
    }
}

void LoadStats::add_waiting_time(const std::string& job_class, double waiting_s) {
    all_.waiting_s.add(waiting_s);
    classes_[job_class].waiting_s.add(waiting_s);
}

std::string LoadStats::json() const {
    auto class_json = [](const ClassStats& stats) {
        std::string out = "{\"jobs\":" + std::to_string(stats.jobs) +
                          ",\"gangs\":" + std::to_string(stats.gangs) +
                          ",\"tasks\":" + std::to_string(stats.tasks);
        auto append_number = [&](const std::string& name, double value) {
            out += ",\"" + name + "\":";
            write::number(out, std::round(value * 1000) / 1000);
        };
        append_number("core_hours", stats.core_hours);
        append_number("gpu_hours", stats.gpu_hours);
        for (auto [name, histogram] : {std::pair{"width_cores", &stats.job_cores},
                                       {"length_s", &stats.run_s},
                                       {"waiting_s", &stats.waiting_s}}) {
            if (histogram->count() == 0) continue;
            for (auto [percentile, q] : {std::pair{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}})
                append_number(std::string(name) + "_" + percentile, histogram->quantile(q));
        }
        return out + "}";
    };
    std::string out = "{\"all\":" + class_json(all_) + ",\"classes\":{";
    bool first = true;
    for (auto& [name, stats] : classes_) {
        if (!std::exchange(first, false)) out += ',';
        write::text(out, name);
        out += ":" + class_json(stats);
    }
    return out + "}}";
}

std::string LoadStats::html(const std::string& title) const {
    std::string out =
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><meta name=\"viewport\" "
        "content=\"width=device-width, initial-scale=1\"><title>" +
        escape_html(title) +
        "</title><style>\n"
        "body{font:16px/1.4 system-ui,sans-serif;margin:0 "
        "auto;max-width:60rem;padding:1rem;color:#222;background:#fff}\n"
        "table{border-collapse:collapse;width:100%;display:block;overflow-x:auto}th,td{padding:."
        "3rem "
        ".6rem;text-align:right;"
        "border-bottom:1px solid "
        "#ccc;white-space:nowrap}th:first-child,td:first-child{text-align:left}\n"
        "figure{margin:1rem "
        "0}svg{width:100%;height:auto}rect{fill:#2a6f97}text{font-size:12px;fill:#444}small{color:#"
        "555}\n"
        "@media "
        "print{body{max-width:none;font-size:11pt}figure,tr{break-inside:avoid}table{display:table}"
        "}\n"
        "</style></head><body>\n<h1>" +
        escape_html(title) + "</h1>\n<p>" + std::to_string(all_.jobs) + " jobs, " +
        std::to_string(all_.tasks) + " tasks, " + format_number(all_.core_hours) +
        " core hours and " + format_number(all_.gpu_hours) +
        " GPU hours, from estimated run times.</p>\n<table><tr>"
        "<th>class</th><th>jobs</th><th>gangs</th><th>tasks</th><th>core hours</th><th>GPU "
        "hours</th><th>cores per job, median</th>"
        "<th>95%</th><th>run time, median</th><th>95%</th><th>waiting time, "
        "median</th><th>95%</th></tr>\n";
    auto append_row = [&](const std::string& name, const ClassStats& stats) {
        auto has_waiting_times = stats.waiting_s.count() > 0;
        out += "<tr><td>" + escape_html(name) + "</td>";
        for (auto& cell :
             {std::to_string(stats.jobs), std::to_string(stats.gangs), std::to_string(stats.tasks),
              format_number(stats.core_hours), format_number(stats.gpu_hours),
              format_number(stats.job_cores.quantile(0.5)) + " cores",
              format_number(stats.job_cores.quantile(0.95)),
              format_seconds(stats.run_s.quantile(0.5)), format_seconds(stats.run_s.quantile(0.95)),
              has_waiting_times ? format_seconds(stats.waiting_s.quantile(0.5)) : "\xe2\x80\x93",
              has_waiting_times ? format_seconds(stats.waiting_s.quantile(0.95)) : "\xe2\x80\x93"})
            out += "<td>" + cell + "</td>";
        out += "</tr>\n";
    };
    append_row("all", all_);
    for (auto& [name, stats] : classes_) append_row(name, stats);
    out += "</table>\n";
    std::vector<Bar> bars;
    auto& counts = arrivals_.counts();
    for (size_t i = 0; i < counts.size(); ++i)
        bars.push_back(
            {counts[i], "from " + format_seconds(static_cast<double>(i) * arrivals_.bucket_s())});
    if (!bars.empty())
        out += chart("Jobs submitted in each " + format_seconds(arrivals_.bucket_s()), bars, "0 s",
                     format_seconds(static_cast<double>(counts.size()) * arrivals_.bucket_s()));
    auto append_charts = [&](const std::string& title_suffix, const ClassStats& stats) {
        out += chart("Cores per job" + title_suffix, stats.job_cores, format_number);
        out += chart("Estimated run time" + title_suffix, stats.run_s, format_seconds);
        out += chart("Waiting time until the first start" + title_suffix, stats.waiting_s,
                     format_seconds);
    };
    append_charts("", all_);
    if (classes_.size() > 1)
        for (auto& [name, stats] : classes_) {
            out += "<h2>" + escape_html(name) + "</h2>\n";
            append_charts(", " + name, stats);
        }
    return out + "</body></html>\n";
}

LoadStats read_stats(const std::string& jobs, const std::string& times) {
    LoadStats stats;
    std::unordered_map<std::string, std::string>
        class_by_job;  // by job id; only filled if waiting times are read
    JobFile::for_each(jobs, [&](double submitted_s, const JobSpec& spec, const Names& names) {
        auto& name = names.classes.name(spec.job_class);
        stats.add_job(submitted_s, spec, name);
        if (!times.empty()) class_by_job.emplace(spec.id, name);
    });
    if (times.empty()) return stats;
    LineSource lines(times);
    CsvRow row;
    for (Line line; lines.next(line);) {
        if (line.number == 1) continue;
        Rejection rejection;
        FieldParser fields(rejection);
        constexpr size_t kSentColumn = 3, kStartedColumn = 5, kColumns = 10;
        if (!row.parse(line.text) || row.size() != kColumns)
            throw FileError(times + ":" + std::to_string(line.number) +
                            ": not a row of the table that trace play --csv writes");
        double waiting_s = fields.non_negative(row[kStartedColumn], "") -
                           fields.non_negative(row[kSentColumn], "");
        if (auto it = class_by_job.find(std::string(row[0]));
            it != class_by_job.end() && waiting_s >= 0)
            stats.add_waiting_time(it->second, waiting_s);
    }
    if (!lines.error().empty()) throw FileError(lines.error());
    return stats;
}

}  // namespace weirmill::traces
