#include "state/state_log_codec.h"

#include <fmt/format.h>

#include <charconv>
#include <iterator>
#include <utility>

namespace weirmill {

namespace json = boost::json;

namespace {

constexpr const char* kJobTag = "j";
constexpr const char* kPartTag = "p";
constexpr const char* kCancelTag = "c";
constexpr const char* kEndTag = "e";
constexpr const char* kTasksTag = "t";
constexpr const char* kDoneMark = "d";

std::string quoted(const std::string& s) { return json::serialize(json::string(s)); }

std::string short_entry(const char* tag, const std::string& id) {
    return fmt::format("[\"{}\",{}]", tag, quoted(id));
}

uint32_t row_number(const json::array& row, size_t column) {
    if (column >= row.size()) read::throw_invalid("row");
    boost::system::error_code error;
    auto number = row[column].to_number<uint32_t>(error);
    if (error) read::throw_invalid("row");
    return number;
}

}  // namespace

std::string segment_key(uint64_t number) { return fmt::format("{}{:016}", kSegmentPrefix, number); }

uint64_t segment_number(const std::string& key) {
    if (key.size() <= kSegmentPrefix.size()) read::throw_invalid("key");
    uint64_t number = 0;
    const auto* last = key.data() + key.size();
    auto [end, ec] = std::from_chars(key.data() + kSegmentPrefix.size(), last, number);
    if (ec != std::errc() || end != last) read::throw_invalid("key");
    return number;
}

std::string final_key(const std::string& id) { return "f/" + id; }

std::string log_head_record(uint64_t first_segment) {
    return json::serialize(json::object{{"first", first_segment}});
}

uint64_t parse_log_head(const json::value& v) { return read::count(read::object(v), "first"); }

std::string final_record(JobState state, uint32_t done_tasks) {
    return json::serialize(
        json::object{{"cancelled", state == JobState::Cancelled}, {"done", done_tasks}});
}

FinalState parse_final(const json::value& v) {
    const auto& o = read::object(v);
    return {read::flag(o, "cancelled") ? JobState::Cancelled : JobState::Done,
            static_cast<uint32_t>(read::count(o, "done"))};
}

TaskRow parse_task_row(const json::value& v, size_t task_count) {
    if (!v.is_array()) read::throw_invalid("row");
    const auto& row = v.get_array();
    TaskRow out;
    out.first = out.last = row_number(row, 0);
    if (row.size() == 3 && row[2].is_string()) {
        out.state = TaskState::Done;
        out.last = row_number(row, 1);
    } else if (row.size() == 4 && row[3].is_string()) {
        out.state = TaskState::Placed;
        out.attempt = row_number(row, 1);
        out.agent_epoch = row_number(row, 2);
        out.machine = std::string(row[3].get_string());
    } else if (row.size() == 2) {
        out.attempt = row_number(row, 1);
    } else {
        read::throw_invalid("row");
    }
    if (out.last < out.first || out.last >= task_count) read::throw_invalid("row");
    return out;
}

uint32_t append_task_row(std::string& rows, const Job& job, uint32_t task, uint32_t end,
                         const ClusterState& cluster) {
    const auto& t = job.tasks[task];
    auto out = std::back_inserter(rows);
    switch (t.state) {
        case TaskState::Done: {
            uint32_t last = task;
            while (last + 1 < end && job.tasks[last + 1].state == TaskState::Done) ++last;
            fmt::format_to(out, ",[{},{},\"{}\"]", task, last, kDoneMark);
            return last + 1;
        }
        case TaskState::Placed:
            fmt::format_to(out, ",[{},{},{},{}]", task, t.attempt, t.agent_epoch,
                           quoted(cluster.machines[t.machine]->name));
            break;
        case TaskState::Pending:
            fmt::format_to(out, ",[{},{}]", task, t.attempt);
            break;
    }
    return task + 1;
}

std::string job_entry(json::object record) {
    return json::serialize(json::array{kJobTag, std::move(record)});
}

std::string cancel_entry(const std::string& id) { return short_entry(kCancelTag, id); }

// The end time is written only if other jobs waited for this one, as their waiting times count from
// it.
std::string end_entry(const Job& job, bool has_dependants) {
    if (!has_dependants) return short_entry(kEndTag, job.spec.id);
    return json::serialize(json::array{kEndTag, job.spec.id, job.ended_wall});
}

std::string tasks_entry(const std::string& id, const std::string& rows) {
    return fmt::format("[\"{}\",{}{}]", kTasksTag, quoted(id), rows);
}

std::string part_entry(const std::string& id, size_t number, const std::string& text) {
    return fmt::format("[\"{}\",{},{},{}]", kPartTag, quoted(id), number, quoted(text));
}

const json::array& parse_entry(const json::value& v) {
    if (!v.is_array() || v.get_array().size() < 2) read::throw_invalid("entry");
    const auto& entry = v.get_array();
    if (!entry[0].is_string()) read::throw_invalid("entry");
    return entry;
}

EntryType entry_type(const json::array& entry) {
    std::string_view tag = entry[0].get_string();
    if (tag == kJobTag) return EntryType::Job;
    if (tag == kPartTag) return EntryType::JobPart;
    if (tag == kCancelTag) return EntryType::Cancel;
    if (tag == kEndTag) return EntryType::End;
    if (tag == kTasksTag) return EntryType::Tasks;
    return EntryType::Unknown;
}

std::string entry_job_id(const json::array& entry) {
    if (!entry[1].is_string()) read::throw_invalid("entry");
    return std::string(entry[1].get_string());
}

RecordPart parse_part(const json::array& entry) {
    if (entry.size() < 4 || !entry[3].is_string()) read::throw_invalid("piece");
    boost::system::error_code error;
    auto number = entry[2].to_number<uint64_t>(error);
    if (error) read::throw_invalid("piece");
    return {number, entry[3].get_string()};
}

std::optional<double> parse_end_time(const json::array& entry) {
    if (entry.size() <= 2) return {};
    if (!entry[2].is_number()) read::throw_invalid("when");
    return entry[2].to_number<double>();
}

}  // namespace weirmill
