// What a job of a trace becomes here: the map's units, teams, urgencies and classes, then the
// script, then what a submission must be to be taken.
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

// A map that can't be used; the message names the property.
struct MapError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The map (Java-style properties); docs/traces.md lists them.
struct Map {
    double back_s = 5;                             // time.back_s
    double cores = 1, gpus = 1, mem_gb = 1;        // unit.*: what one of the trace's units is here
    double default_cores = 1, default_mem_gb = 1;  // where the trace tells none
    double default_run_s = kNoTime;                // NaN: such jobs are refused
    double least_run_s = 1;
    double pack_cores = 0;  // of a task made of processors; 0: a whole machine
    double due_factor = 0;  // due_s = factor * run time; 0: no deadline
    double tally_s = 0, bank_s = 0, image_gb = 1;
    bool loaners = false;
    std::string script;  // a path beside the map
    enum class From : uint8_t { User, Group, Queue, Class, Priority };
    struct Names {
        From from;
        std::unordered_map<std::string, std::string> by_value;
        std::string otherwise;
    };
    Names team{From::User, {}, "trace"}, urgency{From::Priority, {}, "normal"},
        job_class{From::Class, {}, "trace"};
    // urgency.at.N: from this priority on, until the next.
    std::vector<std::pair<int64_t, std::string>> urgency_at;
};
Map load_map(const std::string& path);  // throws MapError

class Shaper {
  public:
    // Throws ScriptError.
    Shaper(Map map, std::vector<MachineType> types);
    // The submission of a job, but for its id and what it waits for. Reason None: it can be taken.
    Refusal shape(const TraceJob& job, JobSpec& spec);
    Names& names() { return names_; }

  private:
    std::string pick(const Map::Names& names, const Draft& draft) const;

    Map map_;
    std::vector<MachineType> types_;
    double widest_ = 0;  // cores of the largest machine type
    Names names_;
    std::optional<Script> script_;
};

}  // namespace weirmill::traces
