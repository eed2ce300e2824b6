// Keys and record encodings of the state log: the only place that knows their spellings.
//
// Keys: `leader` the leadership, `log` the number of the first segment, `w/<number>` a segment,
// `f/<id>` the final state of a job. A segment is a JSON array of entries:
//   ["j", {job, at, ready, cancelled}]              a job
//   ["c", id]                                       its cancellation
//   ["e", id, when]                                 its end
//   ["t", id, row...]                               states of its tasks
// Rows: [task, attempt] pending, [task, attempt, agent epoch, machine] placed, [first, last, "d"]
// done. A job record too long for one entry takes several (a multi-part record):
//   ["p", id, number, text]                         a part of the text of `job`
//   ["j", {id, pieces, at, ready, cancelled}]       its end; `pieces` is the number of parts
// `ready`, `when` and parts are written only with pipelines in use: versions without pipelines can
// read the rest. Pure functions; the parsers throw BadMessage.
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
// Single records of which only the newest value matters.
inline const std::string kRoundKey = "round";  // the last round of preemption
inline const std::string kTypesKey = "types";  // the machine types last offered

std::string segment_key(uint64_t number);         // keys sort by number
uint64_t segment_number(const std::string& key);  // throws BadMessage
std::string final_key(const std::string& id);

// The value of kLogKey: the number of the log's first segment.
std::string log_head_record(uint64_t first_segment);
uint64_t parse_log_head(const boost::json::value& v);

// The final state of a job.
struct FinalState {
    JobState state = JobState::Done;
    uint32_t done = 0;  // tasks
};
std::string final_record(JobState state, uint32_t done);
FinalState parse_final(const boost::json::value& v);

// What one row states of tasks `first` to `last` of a job.
struct TaskRow {
    uint32_t first = 0, last = 0;
    TaskState state = TaskState::Pending;
    uint32_t attempt = 0, agent_epoch = 0;  // Pending: the attempt; Placed: both
    std::string machine;                    // Placed
};
// `tasks`: how many the job has.
TaskRow parse_row(const boost::json::value& v, size_t tasks);
// Appends one row with a comma before it, for the tasks from `task` to `end` (exclusive) that it
// can hold: one, or a run of done ones. Returns the task after them.
uint32_t append_row(std::string& rows, const Job& job, uint32_t task, uint32_t end,
                    const ClusterState& cluster);

// Entries, as text. `rows`: as append_row writes them.
std::string job_entry(boost::json::object record);
std::string cancel_entry(const std::string& id);
std::string end_entry(const Job& job, bool has_dependants);
std::string tasks_entry(const std::string& id, const std::string& rows);
std::string part_entry(const std::string& id, size_t number, const std::string& text);

enum class EntryType : uint8_t { Job, JobPart, Cancel, End, Tasks, Unknown };
// Checks what all entries have in common.
const boost::json::array& parse_entry(const boost::json::value& v);
EntryType entry_type(const boost::json::array& entry);
// Of which job the entry is; not for EntryType::Job, whose record names it.
std::string entry_job_id(const boost::json::array& entry);
// EntryType::JobPart. The text refers to the entry.
struct RecordPart {
    uint64_t number = 0;
    std::string_view text;
};
RecordPart parse_part(const boost::json::array& entry);
// EntryType::End: when the job ended, time of day in seconds; written where other jobs waited.
std::optional<double> parse_end_time(const boost::json::array& entry);

}  // namespace weirmill
