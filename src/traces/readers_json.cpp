// The formats whose records are JSON: Google ClusterData 2019 (a line each), Microsoft Philly (one
// array).
#include <simdjson.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <map>

#include "traces/fields.h"

namespace weirmill::traces {
namespace {

namespace dom = simdjson::dom;

// A record as an object; valid until the parser is used again.
Refusal parse_object(dom::parser& parser, std::string_view text, dom::object& out) {
    dom::element doc;
    if (auto error = parser.parse(text.data(), text.size()).get(doc))
        return {Reason::BadJson,
                std::string("not JSON that can be used: ") + simdjson::error_message(error)};
    if (doc.get(out)) return {Reason::BadJson, "not an object"};
    return {};
}

// A field as the text of a number: exports write 64-bit numbers as strings.
std::string as_text(const dom::object& o, const char* name) {
    dom::element v;
    if (o[name].get(v) || v.is_null()) return {};
    if (v.is_string()) return std::string(std::string_view(v));
    if (v.is_array() || v.is_object() || v.is_bool()) return "?";
    return simdjson::minify(v);
}

// Google ClusterData 2019: collection_events, instance_events and machine_events as JSON lines.
class Google2019 : public Reader {
  public:
    bool timed() const override { return true; }
    bool numeric_keys() const override { return true; }
    bool comment(std::string_view text, uint64_t) const override {
        return text.find_first_not_of(" \t") == std::string_view::npos;
    }
    double time(std::string_view text) override {
        dom::object o;
        if (parse_object(parser_, text, o).reason != Reason::None) return kNoTime;
        Refusal none;
        return Fields(none).amount(as_text(o, "time"), "") / 1e6;
    }
    Refusal read(std::string_view text, Event& e) override {
        dom::object o;
        auto r = parse_object(parser_, text, o);
        if (r.reason != Reason::None) return r;
        Fields f(r);
        e.at_s = f.amount(as_text(o, "time"), "time", true) / 1e6;
        auto instance = as_text(o, "instance_index"), collection = as_text(o, "collection_id");
        auto type = as_text(o, "type");
        e.machine = as_text(o, "machine_id");
        if (collection.empty() && instance.empty()) {
            f.key(e.machine, "machine_id");
            if (!f.ok()) return r;
            if (type == "1" || type == "ADD")
                e.kind = EventKind::MachineAdd;
            else if (type == "2" || type == "REMOVE")
                e.kind = EventKind::MachineRemove;
            else if (type == "3" || type == "UPDATE")
                e.kind = EventKind::MachineUpdate;
            else
                return {Reason::BadEvent, "machine event " + type};
            return r;
        }
        e.job = f.numeric_key(collection, "collection_id");
        auto& facts = e.facts;
        facts.priority = f.integer(as_text(o, "priority"), "priority");
        bool job = instance.empty();
        if (job) {
            facts.user = as_text(o, "user");
            facts.job_class = as_text(o, "scheduling_class");
            facts.submitted_s = e.at_s;
            auto kind = as_text(o, "collection_type");
            facts.reservation = kind == "1" || kind == "ALLOC_SET";
            dom::array before;
            if (!o["start_after_collection_ids"].get(before))
                for (auto id : before) {
                    std::string_view s;
                    facts.awaits.push_back(f.numeric_key(
                        id.get(s) ? simdjson::minify(id) : std::string(s), "start_after"));
                }
        } else {
            e.task = f.integer(instance, "instance_index", true);
            dom::object asked;
            if (!o["resource_request"].get(asked)) {
                facts.cpu = f.amount(as_text(asked, "cpus"), "cpus");
                facts.mem = f.amount(as_text(asked, "memory"), "memory");
            }
        }
        if (!f.ok()) return r;
        static const char* const kTypes[] = {
            "SUBMIT", "QUEUE", "ENABLE", "SCHEDULE",       "EVICT",         "FAIL",
            "FINISH", "KILL",  "LOST",   "UPDATE_PENDING", "UPDATE_RUNNING"};
        size_t t = 0;
        while (t < std::size(kTypes) && type != kTypes[t] && type != std::to_string(t)) ++t;
        if (t == std::size(kTypes)) return {Reason::BadEvent, "event type " + type};
        if (e.at_s > 9e12)
            e.kind = EventKind::Update;  // "after the trace"
        else if (t == 0)
            e.kind = job ? EventKind::Declare : EventKind::TaskSubmit;
        else if (t == 3)
            e.kind = job ? EventKind::Update : EventKind::TaskStart;
        else if (t >= 4 && t <= 8)
            e.kind = job ? EventKind::JobEnd : EventKind::TaskEnd;
        else
            e.kind = EventKind::Update;
        return r;
    }

  private:
    dom::parser parser_;
};

// "2017-10-09 07:01:54" in seconds since 1970; NaN: not told ("None", null).
double clock_time(const std::string& text, Fields& f, const char* name) {
    if (text.empty() || text == "None") return kNoTime;
    int n[6];
    static constexpr const char kForm[] = "dddd-dd-dd dd:dd:dd";
    bool sound = text.size() == sizeof kForm - 1;
    for (size_t i = 0; sound && i < text.size(); ++i)
        sound = kForm[i] == 'd' ? std::isdigit(static_cast<unsigned char>(text[i])) != 0
                                : text[i] == kForm[i];
    static constexpr int kFrom[] = {0, 5, 8, 11, 14, 17}, kTo[] = {4, 7, 10, 13, 16, 19};
    for (int i = 0; sound && i < 6; ++i)
        std::from_chars(text.data() + kFrom[i], text.data() + kTo[i], n[i]);
    using namespace std::chrono;
    if (sound) {
        year_month_day day{year(n[0]), month(static_cast<unsigned>(n[1])),
                           std::chrono::day(static_cast<unsigned>(n[2]))};
        if (day.ok() && n[3] < 24 && n[4] < 60 && n[5] < 61)
            return static_cast<double>(sys_days(day).time_since_epoch().count()) * 86400.0 +
                   n[3] * 3600 + n[4] * 60 + n[5];
    }
    f.refuse(Reason::BadNumber, std::string(name) + " is not a time");
    return kNoTime;
}

// Philly: cluster_job_log. GPUs are those of the last attempt that ran; each machine's share is a
// task, or each GPU where shares differ.
class Philly : public Reader {
  public:
    Cut cut() const override { return Cut::JsonArray; }
    bool comment(std::string_view, uint64_t) const override { return false; }
    Refusal read(std::string_view text, Event& e) override {
        dom::object o;
        auto r = parse_object(parser_, text, o);
        if (r.reason != Reason::None) return r;
        Fields f(r);
        auto& facts = e.facts;
        e.kind = EventKind::Job;
        e.job = f.key(as_text(o, "jobid"), "jobid");
        facts.user = as_text(o, "user");
        facts.queue = as_text(o, "vc");
        facts.submitted_s = clock_time(as_text(o, "submitted_time"), f, "submitted_time");
        facts.tasks = 0;
        facts.gang = true;
        dom::array attempts;
        if (o["attempts"].get(attempts)) return r;
        for (auto a : attempts) {
            dom::object attempt;
            if (a.get(attempt)) return {Reason::BadJson, "an attempt that is not an object"};
            auto start = clock_time(as_text(attempt, "start_time"), f, "start_time");
            auto end = clock_time(as_text(attempt, "end_time"), f, "end_time");
            if (!std::isnan(start)) facts.started_s = start, facts.ended_s = end;
            dom::array detail;
            if (attempt["detail"].get(detail)) continue;
            std::map<size_t, size_t> shares;  // GPUs -> machines
            size_t total = 0, machines = 0;
            for (auto d : detail) {
                dom::array gpus;
                if (d["gpus"].get(gpus)) continue;
                ++shares[gpus.size()];
                total += gpus.size();
                ++machines;
            }
            if (total == 0) continue;
            bool even = shares.size() == 1;
            facts.tasks = static_cast<double>(even ? machines : total);
            facts.gpu = even ? static_cast<double>(shares.begin()->first) : 1;
        }
        return r;
    }

  private:
    dom::parser parser_;
};

}  // namespace

std::unique_ptr<Reader> make_google_2019() { return std::make_unique<Google2019>(); }
std::unique_ptr<Reader> make_philly() { return std::make_unique<Philly>(); }

}  // namespace weirmill::traces
