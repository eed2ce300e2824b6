#include "traces/stats.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "protocol/json_write.h"
#include "protocol/user_codec.h"
#include "traces/fields.h"
#include "traces/input.h"
#include "traces/play.h"

namespace weirmill::traces {

namespace hist = boost::histogram;

namespace {

constexpr double kLeast = 1e-3, kMost = 1e7;
constexpr unsigned kSteps = 200;

std::string escaped(std::string_view text) {
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

std::string shown(double v) {
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, v >= 100 || v == std::floor(v) ? "%.0f" : "%.3g", v);
    return buffer;
}

std::string shown_s(double s) {
    if (s >= 172800) return shown(std::round(s / 8640) / 10) + " d";
    if (s >= 7200) return shown(std::round(s / 360) / 10) + " h";
    if (s >= 120) return shown(std::round(s / 6) / 10) + " min";
    return shown(s) + " s";
}

// Bars of one chart, each with its text for those who point at it or have it read to them.
struct Bar {
    uint64_t n;
    std::string label;
};
std::string chart(const std::string& title, const std::vector<Bar>& bars, const std::string& left,
                  const std::string& right) {
    constexpr double kWidth = 600, kHeight = 120;
    uint64_t most = 1;
    for (auto& b : bars) most = std::max(most, b.n);
    std::string out =
        "<figure><figcaption>" + escaped(title) + " <small>(highest bar: " + std::to_string(most) +
        ")</small></figcaption><svg viewBox=\"0 0 600 140\" role=\"img\" aria-label=\"" +
        escaped(title) + "\">";
    double step = kWidth / static_cast<double>(std::max<size_t>(bars.size(), 1));
    for (size_t i = 0; i < bars.size(); ++i) {
        if (bars[i].n == 0) continue;
        double h =
            std::max(1.0, kHeight * static_cast<double>(bars[i].n) / static_cast<double>(most));
        char rect[160];
        std::snprintf(rect, sizeof rect,
                      "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\">",
                      step * static_cast<double>(i), kHeight - h, std::max(0.5, step - 1), h);
        out += rect;
        out += "<title>" + escaped(bars[i].label) + ": " + std::to_string(bars[i].n) +
               "</title></rect>";
    }
    return out + "<text x=\"0\" y=\"136\">" + escaped(left) +
           "</text><text x=\"600\" y=\"136\" text-anchor=\"end\">" + escaped(right) +
           "</text></svg></figure>\n";
}

std::string chart(const std::string& title, const Spread& spread, std::string (*unit)(double)) {
    std::vector<Bar> bars;
    auto bins = spread.bins(40);
    for (auto& b : bins) bars.push_back({b.n, unit(b.from) + " to " + unit(b.to)});
    return bins.empty() ? "" : chart(title, bars, unit(bins.front().from), unit(bins.back().to));
}

}  // namespace

Spread::Spread()
    : steps_(hist::make_histogram(
          hist::axis::regular<double, hist::axis::transform::log>(kSteps, kLeast, kMost))) {}

void Spread::add(double v) {
    v = std::clamp(v, kLeast, kMost * 0.999999);
    least_ = count_ ? std::min(least_, v) : v;
    most_ = std::max(most_, v);
    ++count_;
    steps_(v);
}

double Spread::at(double share) const {
    double below = 0, wanted = share * static_cast<double>(count_);
    if (count_ == 0) return 0;
    for (auto&& x : hist::indexed(steps_)) {
        below += *x;
        if (below >= wanted) return std::min(x.bin().upper(), most_);
    }
    return most_;
}

std::vector<Spread::Bin> Spread::bins(size_t bins) const {
    std::vector<Bin> out;
    if (count_ == 0) return out;
    int first = steps_.axis().index(least_), last = steps_.axis().index(most_);
    int each = std::max(1, (last - first + static_cast<int>(bins)) / static_cast<int>(bins));
    for (int i = first; i <= last; i += each) {
        Bin b{steps_.axis().bin(i).lower(), 0, 0};
        for (int k = i; k < i + each && k <= last; ++k) {
            b.n += static_cast<uint64_t>(double{steps_.at(k)});
            b.to = steps_.axis().bin(k).upper();
        }
        out.push_back(b);
    }
    return out;
}

void Arrivals::widen() {
    for (size_t i = 0; i < counts_.size(); ++i) {
        auto n = counts_[i];
        counts_[i] = 0;
        counts_[i / 2] += n;
    }
    counts_.resize((counts_.size() + 1) / 2);
    width_s_ *= 2;
}

void Arrivals::add(double at_s) {
    if (counts_.empty()) begin_s_ = at_s;
    // An earlier job than the first: what was counted moves up by whole buckets.
    while (at_s < begin_s_) {
        auto more = static_cast<size_t>(std::min(1e15, std::ceil((begin_s_ - at_s) / width_s_)));
        if (counts_.size() + more <= kBuckets) {
            counts_.insert(counts_.begin(), more, 0);
            begin_s_ -= static_cast<double>(more) * width_s_;
        } else {
            widen();
        }
    }
    while ((at_s - begin_s_) / width_s_ >= static_cast<double>(kBuckets)) widen();
    auto i = static_cast<size_t>((at_s - begin_s_) / width_s_);
    if (counts_.size() <= i) counts_.resize(i + 1);
    ++counts_[i];
}

void LoadStats::add(double at_s, const JobSpec& spec, const std::string& job_class) {
    arrivals_.add(at_s);
    double tasks = spec.tasks, cores = static_cast<double>(spec.demand.cpu) / 1000;
    double gpus = static_cast<double>(spec.demand.gpu) / 1000,
           hours = tasks * spec.estimate_s / 3600;
    for (auto* c : {&all_, &classes_[job_class]}) {
        ++c->jobs;
        c->gangs += spec.kind == JobKind::Gang;
        c->tasks += spec.tasks;
        c->core_hours += cores * hours;
        c->gpu_hours += gpus * hours;
        c->width.add(cores * tasks);
        c->length.add(spec.estimate_s);
    }
}

void LoadStats::waited(const std::string& job_class, double wait_s) {
    all_.waiting.add(wait_s);
    classes_[job_class].waiting.add(wait_s);
}

std::string LoadStats::json() const {
    auto one = [](const ClassStats& c) {
        std::string out = "{\"jobs\":" + std::to_string(c.jobs) +
                          ",\"gangs\":" + std::to_string(c.gangs) +
                          ",\"tasks\":" + std::to_string(c.tasks);
        auto number = [&](const std::string& name, double v) {
            out += ",\"" + name + "\":";
            write::number(out, std::round(v * 1000) / 1000);
        };
        number("core_hours", c.core_hours);
        number("gpu_hours", c.gpu_hours);
        for (auto [name, spread] : {std::pair{"width_cores", &c.width},
                                    {"length_s", &c.length},
                                    {"waiting_s", &c.waiting}}) {
            if (spread->count() == 0) continue;
            for (auto [q, share] : {std::pair{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}})
                number(std::string(name) + "_" + q, spread->at(share));
        }
        return out + "}";
    };
    std::string out = "{\"all\":" + one(all_) + ",\"classes\":{";
    bool first = true;
    for (auto& [name, c] : classes_) {
        if (!std::exchange(first, false)) out += ',';
        write::text(out, name);
        out += ":" + one(c);
    }
    return out + "}}";
}

std::string LoadStats::html(const std::string& title) const {
    std::string out =
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><meta name=\"viewport\" "
        "content=\"width=device-width, initial-scale=1\"><title>" +
        escaped(title) +
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
        escaped(title) + "</h1>\n<p>" + std::to_string(all_.jobs) + " jobs, " +
        std::to_string(all_.tasks) + " tasks, " + shown(all_.core_hours) + " core hours and " +
        shown(all_.gpu_hours) +
        " GPU hours as estimated.</p>\n<table><tr>"
        "<th>class</th><th>jobs</th><th>gangs</th><th>tasks</th><th>core hours</th><th>GPU "
        "hours</th><th>width, median</th>"
        "<th>95%</th><th>length, median</th><th>95%</th><th>waiting, "
        "median</th><th>95%</th></tr>\n";
    auto row = [&](const std::string& name, const ClassStats& c) {
        auto waits = c.waiting.count() > 0;
        out += "<tr><td>" + escaped(name) + "</td>";
        for (auto& cell :
             {std::to_string(c.jobs), std::to_string(c.gangs), std::to_string(c.tasks),
              shown(c.core_hours), shown(c.gpu_hours), shown(c.width.at(0.5)) + " cores",
              shown(c.width.at(0.95)), shown_s(c.length.at(0.5)), shown_s(c.length.at(0.95)),
              waits ? shown_s(c.waiting.at(0.5)) : "\xe2\x80\x93",
              waits ? shown_s(c.waiting.at(0.95)) : "\xe2\x80\x93"})
            out += "<td>" + cell + "</td>";
        out += "</tr>\n";
    };
    row("all", all_);
    for (auto& [name, c] : classes_) row(name, c);
    out += "</table>\n";
    std::vector<Bar> bars;
    auto& counts = arrivals_.counts();
    for (size_t i = 0; i < counts.size(); ++i)
        bars.push_back(
            {counts[i], "from " + shown_s(static_cast<double>(i) * arrivals_.bucket_s())});
    if (!bars.empty())
        out += chart("Jobs that arrive in each " + shown_s(arrivals_.bucket_s()), bars, "0 s",
                     shown_s(static_cast<double>(counts.size()) * arrivals_.bucket_s()));
    auto charts = [&](const std::string& of, const ClassStats& c) {
        out += chart("Width, cores of a job" + of, c.width, shown);
        out += chart("Length of a task" + of, c.length, shown_s);
        out += chart("Waiting for the first start" + of, c.waiting, shown_s);
    };
    charts("", all_);
    if (classes_.size() > 1)
        for (auto& [name, c] : classes_) {
            out += "<h2>" + escaped(name) + "</h2>\n";
            charts(", " + name, c);
        }
    return out + "</body></html>\n";
}

LoadStats read_stats(const std::string& jobs, const std::string& times) {
    LoadStats stats;
    std::unordered_map<std::string, std::string>
        class_of;  // by id, only if a play's times are to be told by class
    JobFile::each(jobs, [&](double at_s, const JobSpec& spec, const Names& names) {
        auto& name = names.classes.name(spec.job_class);
        stats.add(at_s, spec, name);
        if (!times.empty()) class_of.emplace(spec.id, name);
    });
    if (times.empty()) return stats;
    LineSource lines(times);
    CsvRow row;
    for (Line line; lines.next(line);) {
        if (line.number == 1) continue;
        Refusal none;
        Fields f(none);
        constexpr size_t kSent = 3, kStarted = 5, kColumns = 10;
        if (!row.parse(line.text) || row.size() != kColumns)
            throw Unreadable(times + ":" + std::to_string(line.number) +
                             ": not a row of a play's times");
        double wait = f.amount(row[kStarted], "") - f.amount(row[kSent], "");
        if (auto it = class_of.find(std::string(row[0])); it != class_of.end() && wait >= 0)
            stats.waited(it->second, wait);
    }
    if (!lines.broken().empty()) throw Unreadable(lines.broken());
    return stats;
}

}  // namespace weirmill::traces
