// Builds a submission from a job of a trace. It applies the units, teams, urgencies and classes of
// the mapping, then the mapping's script, and then checks what the service requires of a
// submission.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/types.h"
#include "traces/assembler.h"
#include "traces/script.h"

namespace weirmill::traces {

// The mapping file is invalid; the message names the property.
struct MappingError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Maps a trace's units and names to the service's. It is read from a Java-style properties file;
// docs/traces.md lists the properties.
struct Mapping {
    double time_tolerance_s = 5;  // property time.back_s
    // Properties unit.*: the amount of the service's units in one unit of the trace.
    double cores_per_unit = 1, gpus_per_unit = 1, mem_gb_per_unit = 1;
    double default_cores = 1, default_mem_gb = 1;  // used where the trace has none
    double default_run_s = kUnknown;               // NaN: jobs without a run time are rejected
    double min_run_s = 1;
    double max_task_cores = 0;   // of a task made of processors; 0: those of the largest machine
    double deadline_factor = 0;  // the deadline is this factor times the run time; 0: none
    double checkpoint_interval_s = 0, checkpoint_duration_s = 0, image_gb = 1;
    bool spot = false;
    std::string script;  // path; the property is relative to the folder of the mapping file
    enum class Source : uint8_t { User, Group, Queue, Class, Priority };
    // How a name is chosen: by the value of one attribute of the job.
    struct NameRule {
        Source source;
        std::unordered_map<std::string, std::string> by_value;
        std::string default_name;
    };
    NameRule team{Source::User, {}, "trace"}, urgency{Source::Priority, {}, "normal"},
        job_class{Source::Class, {}, "trace"};
    // Properties urgency.at.N: the urgency of jobs whose priority in the trace is at least N and
    // below the next threshold.
    std::vector<std::pair<int64_t, std::string>> urgency_thresholds;
};
Mapping load_mapping(const std::string& path);  // throws MappingError

class SubmissionBuilder {
  public:
    // Throws ScriptError.
    SubmissionBuilder(Mapping mapping, std::vector<MachineType> types);
    // Fills in the submission except for its id and its dependencies. The reason of the result is
    // None if the service can accept it.
    Rejection build(const TraceJob& job, JobSpec& spec);
    Names& names() { return names_; }

  private:
    std::string mapped_name(const Mapping::NameRule& rule, const JobDraft& draft) const;

    Mapping mapping_;
    std::vector<MachineType> types_;
    double max_machine_cores_ = 0;  // cores of the largest machine type
    Names names_;
    std::optional<Script> script_;
};

}  // namespace weirmill::traces
