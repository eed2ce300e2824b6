// Keys and record encodings of the state log. No other file depends on their textual form.
//
// Keys: `leader` holds the leadership, `log` the number of the first segment, `w/<number>` a
// segment, `f/<id>` the final state of a job. A segment is a JSON array of entries:
//   ["j", {job, at, ready, cancelled}]              the record of a job
//   ["c", id]                                       the cancellation of a job
//   ["e", id, when]                                 the end of a job
//   ["t", id, row...]                               states of tasks of a job
// Rows: [task, attempt] pending, [task, attempt, agent epoch, machine] placed, [first, last, "d"]
// done. A job record that is too long for one entry takes several (a multi-part record):
//   ["p", id, number, text]                         a part of the text of `job`
//   ["j", {id, pieces, at, ready, cancelled}]       its end; `pieces` is the number of parts
// `ready`, `when` and parts are written only if pipelines are in use, as versions without pipelines
// can't read them. Pure functions; the parsers throw BadMessage.
#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/user_codec.h"
#include "state/cluster_state.h"

namespace weirmill {

inline const std::string kLeaderKey = "leader";
inline const std::string kLogKey = "log";
inline const std::string kSegmentPrefix = "w/";
// Single records, of which only the newest value matters.
inline const std::string kRoundKey = "round";  // the last preemption round
inline const std::string kTypesKey = "types";  // the machine types that the cloud last offered

std::string segment_key(uint64_t number);         // keys sort in the order of the numbers
uint64_t segment_number(const std::string& key);  // throws BadMessage
std::string final_key(const std::string& id);

// Returns the value of kLogKey, which holds the number of the log's first segment.
std::string log_head_record(uint64_t first_segment);
uint64_t parse_log_head(const boost::json::value& v);

// The final state of a job.
struct FinalState {
    JobState state = JobState::Done;
    uint32_t done_tasks = 0;
};
std::string final_record(JobState state, uint32_t done_tasks);
FinalState parse_final(const boost::json::value& v);

// A row of a tasks entry: the state of tasks `first` to `last` of a job.
struct TaskRow {
    uint32_t first = 0, last = 0;
    TaskState state = TaskState::Pending;
    uint32_t attempt = 0;      // only Pending and Placed
    uint32_t agent_epoch = 0;  // only Placed
    std::string machine;       // only Placed
};
// `task_count`: the number of tasks of the job.
TaskRow parse_task_row(const boost::json::value& v, size_t task_count);
// Appends a comma and a row that starts with task `task` and ends before task `end`. The row holds
// one task, or several consecutive tasks that are done. Returns the index of the first task that is
// not in the row.
uint32_t append_task_row(std::string& rows, const Job& job, uint32_t task, uint32_t end,
                         const ClusterState& cluster);

// The functions below return the text of an entry. `rows`: as append_task_row writes them.
std::string job_entry(boost::json::object record);
std::string cancel_entry(const std::string& id);
std::string end_entry(const Job& job, bool has_dependants);
std::string tasks_entry(const std::string& id, const std::string& rows);
std::string part_entry(const std::string& id, size_t number, const std::string& text);

enum class EntryType : uint8_t { Job, JobPart, Cancel, End, Tasks, Unknown };
// Checks the structure that all entries share.
const boost::json::array& parse_entry(const boost::json::value& v);
EntryType entry_type(const boost::json::array& entry);
// Returns the id of the job that the entry belongs to. Not for EntryType::Job, whose record holds
// the id.
std::string entry_job_id(const boost::json::array& entry);
// The content of an EntryType::JobPart entry. The text refers to the entry.
struct RecordPart {
    uint64_t number = 0;
    std::string_view text;
};
RecordPart parse_part(const boost::json::array& entry);
// Returns the end time of an EntryType::End entry, time of day in seconds. Present only if other
// jobs waited for the job.
std::optional<double> parse_end_time(const boost::json::array& entry);

}  // namespace weirmill
