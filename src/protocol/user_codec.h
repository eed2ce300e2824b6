// The users' interface: submissions in, job states out.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "protocol/json_read.h"
#include "protocol/types.h"

namespace weirmill {

inline constexpr uint32_t kMaxTasks = 100000;  // of one job

bool valid_job_id(std::string_view id);

// Reads a submission; throws BadMessage. Names are interned in `names`; an unknown team stays
// kNone.
JobSpec parse_submission(std::string_view body, Names& names);
JobSpec parse_submission(const boost::json::value& v, Names& names);
// The job that a submission names, however malformed the rest of it is; empty: none that could have
// been accepted.
std::string submission_id(std::string_view body);
// The same fields as parse_submission reads, for the state service.
boost::json::object submission_json(const JobSpec& spec, const Names& names);
// The same as text, appended without a value in between: traces write it by the million.
void append_submission(std::string& out, const JobSpec& spec, const Names& names);

enum class JobState : uint8_t { Queued, Running, Done, Cancelled };
std::string job_answer(std::string_view id, JobState state);
// What an answer about a job says of its state, as users read it; nothing: it says none.
std::optional<JobState> parse_job_state(std::string_view body);
std::string job_status(std::string_view id, JobState state, uint32_t done, uint32_t running);

}  // namespace weirmill
