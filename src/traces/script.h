// The map's script: decides per job where properties do not reach. Lua without io, os, load or
// modules, with bounds on instructions and memory.
//
//     function job(j)
//         if j.user == "batch" then return nil, "not wanted" end   -- refused, with this sentence
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

// A script that can't be read or has no function `job`.
struct ScriptError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// What a script sees of a job, and may change but for the key: after units, before checks.
struct Draft {
    std::string key, user, group, queue, job_class, team, urgency;
    int64_t priority = kNoTask;
    double submitted_s = 0, run_s = kNoTime, tasks = 1, cores = 0, gpus = 0, mem_gb = 0;
    bool gang = false, loaners = false;
};

class Script {
  public:
    static constexpr int kInstructions = 100'000;        // of one job, and of reading the script
    static constexpr size_t kMemory = 16 * 1024 * 1024;  // bytes, of all

    // Throws ScriptError.
    explicit Script(const std::string& path);
    ~Script();
    // Reason None: the draft is as the script wants it.
    Refusal decide(Draft& draft);

  private:
    struct Memory {
        size_t used = 0;
    };
    static void* allocate(void* memory, void* block, size_t old_size, size_t new_size);
    std::unique_ptr<Memory> memory_;
    lua_State* lua_ = nullptr;
};

}  // namespace weirmill::traces
