// Readers of the formats whose records are JSON: Google ClusterData 2019 (JSON lines) and Microsoft
// Philly (one array).
#include <simdjson.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <map>

#include "traces/fields.h"

namespace weirmill::traces {
namespace {

namespace dom = simdjson::dom;

// Parses a record as a JSON object, which is valid until the parser is used again.
Rejection parse_object(dom::parser& parser, std::string_view text, dom::object& out) {
    dom::element document;
    if (auto error = parser.parse(text.data(), text.size()).get(document))
        return {RejectReason::BadJson,
                std::string("invalid JSON: ") + simdjson::error_message(error)};
    if (document.get(out)) return {RejectReason::BadJson, "not a JSON object"};
    return {};
}

// Returns a field as text, because exports of the trace write 64-bit numbers as strings. A field
// that is missing or null is an empty text; "?" stands for a value that is neither a number nor a
// string.
std::string field_text(const dom::object& object, const char* name) {
    dom::element value;
    if (object[name].get(value) || value.is_null()) return {};
    if (value.is_string()) return std::string(std::string_view(value));
    if (value.is_array() || value.is_object() || value.is_bool()) return "?";
    return simdjson::minify(value);
}

// Google ClusterData 2019: collection_events, instance_events and machine_events as JSON lines.
class Google2019 : public Reader {
  public:
    bool ordered_by_time() const override { return true; }
    bool numeric_keys() const override { return true; }
    bool is_comment(std::string_view text, uint64_t) const override {
        return text.find_first_not_of(" \t") == std::string_view::npos;
    }
    double record_time(std::string_view text) override {
        dom::object object;
        if (parse_object(parser_, text, object).reason != RejectReason::None) return kUnknown;
        Rejection rejection;
        return FieldParser(rejection).non_negative(field_text(object, "time"), "") / 1e6;
    }
    Rejection parse_record(std::string_view text, Event& event) override {
        dom::object object;
        auto rejection = parse_object(parser_, text, object);
        if (rejection.reason != RejectReason::None) return rejection;
        FieldParser fields(rejection);
        event.time_s = fields.non_negative(field_text(object, "time"), "time", true) / 1e6;
        auto instance = field_text(object, "instance_index"),
             collection = field_text(object, "collection_id");
        auto type = field_text(object, "type");
        event.machine = field_text(object, "machine_id");
        if (collection.empty() && instance.empty()) {
            fields.key(event.machine, "machine_id");
            if (!fields.ok()) return rejection;
            if (type == "1" || type == "ADD")
                event.kind = EventKind::MachineAdd;
            else if (type == "2" || type == "REMOVE")
                event.kind = EventKind::MachineRemove;
            else if (type == "3" || type == "UPDATE")
                event.kind = EventKind::MachineUpdate;
            else
                return {RejectReason::BadEvent, "machine event " + type};
            return rejection;
        }
        event.job = fields.numeric_key(collection, "collection_id");
        auto& attributes = event.attributes;
        attributes.priority = fields.integer(field_text(object, "priority"), "priority");
        bool is_job_event = instance.empty();
        if (is_job_event) {
            attributes.user = field_text(object, "user");
            attributes.job_class = field_text(object, "scheduling_class");
            attributes.submitted_s = event.time_s;
            auto kind = field_text(object, "collection_type");
            attributes.reservation = kind == "1" || kind == "ALLOC_SET";
            dom::array predecessors;
            if (!object["start_after_collection_ids"].get(predecessors))
                for (auto id : predecessors) {
                    std::string_view id_text;
                    attributes.dependencies.push_back(fields.numeric_key(
                        id.get(id_text) ? simdjson::minify(id) : std::string(id_text),
                        "start_after"));
                }
        } else {
            event.task = fields.integer(instance, "instance_index", true);
            dom::object requested;
            if (!object["resource_request"].get(requested)) {
                attributes.cpu = fields.non_negative(field_text(requested, "cpus"), "cpus");
                attributes.mem = fields.non_negative(field_text(requested, "memory"), "memory");
            }
        }
        if (!fields.ok()) return rejection;
        static const char* const kEventTypes[] = {
            "SUBMIT", "QUEUE", "ENABLE", "SCHEDULE",       "EVICT",         "FAIL",
            "FINISH", "KILL",  "LOST",   "UPDATE_PENDING", "UPDATE_RUNNING"};
        size_t type_index = 0;
        while (type_index < std::size(kEventTypes) && type != kEventTypes[type_index] &&
               type != std::to_string(type_index))
            ++type_index;
        if (type_index == std::size(kEventTypes))
            return {RejectReason::BadEvent, "event type " + type};
        if (event.time_s > 9e12)
            event.kind = EventKind::Update;  // a time after the end of the trace
        else if (type_index == 0)
            event.kind = is_job_event ? EventKind::JobDeclare : EventKind::TaskSubmit;
        else if (type_index == 3)
            event.kind = is_job_event ? EventKind::Update : EventKind::TaskStart;
        else if (type_index >= 4 && type_index <= 8)
            event.kind = is_job_event ? EventKind::JobEnd : EventKind::TaskEnd;
        else
            event.kind = EventKind::Update;
        return rejection;
    }

  private:
    dom::parser parser_;
};

// Parses a time such as "2017-10-09 07:01:54" into seconds since 1970. Returns NaN for a
// missing time ("None" or null).
double parse_date_time(const std::string& text, FieldParser& fields, const char* name) {
    if (text.empty() || text == "None") return kUnknown;
    int parts[6];
    static constexpr const char kPattern[] = "dddd-dd-dd dd:dd:dd";
    bool valid = text.size() == sizeof kPattern - 1;
    for (size_t i = 0; valid && i < text.size(); ++i)
        valid = kPattern[i] == 'd' ? std::isdigit(static_cast<unsigned char>(text[i])) != 0
                                   : text[i] == kPattern[i];
    static constexpr int kPartBegin[] = {0, 5, 8, 11, 14, 17}, kPartEnd[] = {4, 7, 10, 13, 16, 19};
    for (int i = 0; valid && i < 6; ++i)
        std::from_chars(text.data() + kPartBegin[i], text.data() + kPartEnd[i], parts[i]);
    using namespace std::chrono;
    if (valid) {
        year_month_day day{year(parts[0]), month(static_cast<unsigned>(parts[1])),
                           std::chrono::day(static_cast<unsigned>(parts[2]))};
        if (day.ok() && parts[3] < 24 && parts[4] < 60 && parts[5] < 61)
            return static_cast<double>(sys_days(day).time_since_epoch().count()) * 86400.0 +
                   parts[3] * 3600 + parts[4] * 60 + parts[5];
    }
    fields.reject(RejectReason::BadNumber, std::string(name) + " is not a date and time");
    return kUnknown;
}

// Microsoft Philly: cluster_job_log. The GPUs of a job are those of its last attempt that ran. If
// all machines of that attempt have the same number of GPUs, each machine is one task; otherwise
// each GPU is one task.
class Philly : public Reader {
  public:
    RecordFraming framing() const override { return RecordFraming::JsonArray; }
    bool is_comment(std::string_view, uint64_t) const override { return false; }
    Rejection parse_record(std::string_view text, Event& event) override {
        dom::object object;
        auto rejection = parse_object(parser_, text, object);
        if (rejection.reason != RejectReason::None) return rejection;
        FieldParser fields(rejection);
        auto& attributes = event.attributes;
        event.kind = EventKind::CompleteJob;
        event.job = fields.key(field_text(object, "jobid"), "jobid");
        attributes.user = field_text(object, "user");
        attributes.queue = field_text(object, "vc");
        attributes.submitted_s =
            parse_date_time(field_text(object, "submitted_time"), fields, "submitted_time");
        attributes.tasks = 0;
        attributes.gang = true;
        dom::array attempts;
        if (object["attempts"].get(attempts)) return rejection;
        for (auto attempt_element : attempts) {
            dom::object attempt;
            if (attempt_element.get(attempt))
                return {RejectReason::BadJson, "an attempt is not a JSON object"};
            auto start = parse_date_time(field_text(attempt, "start_time"), fields, "start_time");
            auto end = parse_date_time(field_text(attempt, "end_time"), fields, "end_time");
            if (!std::isnan(start)) attributes.started_s = start, attributes.ended_s = end;
            dom::array machine_details;
            if (attempt["detail"].get(machine_details)) continue;
            std::map<size_t, size_t>
                machines_by_gpus;  // number of machines by their number of GPUs
            size_t total_gpus = 0, machines = 0;
            for (auto machine : machine_details) {
                dom::array gpus;
                if (machine["gpus"].get(gpus)) continue;
                ++machines_by_gpus[gpus.size()];
                total_gpus += gpus.size();
                ++machines;
            }
            if (total_gpus == 0) continue;
            bool same_gpus = machines_by_gpus.size() == 1;
            attributes.tasks = static_cast<double>(same_gpus ? machines : total_gpus);
            attributes.gpu = same_gpus ? static_cast<double>(machines_by_gpus.begin()->first) : 1;
        }
        return rejection;
    }

  private:
    dom::parser parser_;
};

}  // namespace

std::unique_ptr<Reader> make_google_2019() { return std::make_unique<Google2019>(); }
std::unique_ptr<Reader> make_philly() { return std::make_unique<Philly>(); }

}  // namespace weirmill::traces
