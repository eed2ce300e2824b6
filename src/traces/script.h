// Runs the mapping's Lua script, which changes or rejects single jobs where properties are not
// enough. The script has no access to io, os, load or modules, and its instructions and memory are
// limited.
//
//     function job(j)
//         if j.user == "batch" then return nil, "not wanted" end   -- rejects the job
//         j.urgency = j.run_s < 600 and "high" or "low"
//         return j
//     end
#pragma once
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <variant>

#include "traces/event.h"

struct lua_State;

namespace weirmill::traces {

// The script can't be loaded or has no function `job`.
struct ScriptError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The attributes of a job that a script can read and, except for the key, change. Amounts are in
// the service's units and not validated yet.
struct JobDraft {
    std::string key, user, group, queue, job_class, team, urgency;
    int64_t priority = kUnknownInteger;
    double submitted_s = 0, run_s = kUnknown, tasks = 1, cores = 0, gpus = 0, mem_gb = 0;
    bool gang = false, spot = false;
};

class Script {
  public:
    static constexpr int kMaxInstructions = 100'000;  // for each job, and for loading the script
    static constexpr size_t kMaxMemoryBytes = 16 * 1024 * 1024;  // of the whole Lua state

    // Throws ScriptError.
    explicit Script(const std::string& path);
    ~Script();
    // Calls the script's function `job`, which can change the draft. The reason of the result is
    // None if the script accepted the job.
    Rejection run(JobDraft& draft);

  private:
    struct Memory {
        size_t used = 0;  // bytes
    };
    static void* allocate(void* memory, void* block, size_t old_size, size_t new_size);
    std::unique_ptr<Memory> memory_;
    lua_State* lua_ = nullptr;
};

}  // namespace weirmill::traces
