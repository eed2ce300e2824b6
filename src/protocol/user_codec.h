// Codec of the users' API: parses submissions and writes job states.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "protocol/json_read.h"
#include "protocol/types.h"

namespace weirmill {

inline constexpr uint32_t kMaxTasksPerJob = 100000;

bool valid_job_id(std::string_view id);

// Parses a submission; throws BadMessage. Interns its names in `names`, except for the team: an
// unknown team is read as kNone.
JobSpec parse_submission(std::string_view body, Names& names);
JobSpec parse_submission(const boost::json::value& value, Names& names);
// Returns the job id in a submission, even if the rest of the submission is malformed. Returns an
// empty string if there is no valid job id, so that no such job can have been accepted.
std::string parse_submission_id(std::string_view body);
// Returns the fields that parse_submission reads, for storage in the key-value store.
boost::json::object submission_json(const JobSpec& spec, const Names& names);
// Appends the same fields as JSON text without building a document: trace files have millions of
// submissions, for which building a document is too slow.
void append_submission(std::string& out, const JobSpec& spec, const Names& names);

// The state of a job as users see it.
enum class JobState : uint8_t { Queued, Running, Done, Cancelled };
// Response body with the id and the state of a job.
std::string job_state_json(std::string_view id, JobState state);
// Returns the job state that a response body contains; nullopt if it contains none.
std::optional<JobState> parse_job_state(std::string_view body);
// Response body with the state of a job and the numbers of its done and running tasks.
std::string job_status_json(std::string_view id, JobState state, uint32_t done, uint32_t running);

}  // namespace weirmill
