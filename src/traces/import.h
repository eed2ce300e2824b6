// An import from end to end: inputs to records, records to jobs, jobs to submissions, and for every
// record and every job one line that says what became of it.
//
// Owns: the inputs in their order, ids, what jobs wait for, and the account. The same inputs and
// map give the same bytes.
//
// Order of reading: files of formats with a time are merged by the time of their next record, the
// earlier file first among equals; others are read table by table (machines, then jobs, then
// instances), each in the order given. Jobs are written when their fate is settled, which is not
// quite the order of their submission.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "traces/assembler.h"
#include "traces/input.h"
#include "traces/shape.h"

namespace weirmill::traces {

// Takes pieces of text; throws std::runtime_error if they can't be written.
using Write = std::function<void(std::string_view)>;

struct Account {
    uint64_t records = 0, merged_records = 0, rejected_records = 0;
    uint64_t accepted_jobs = 0, rejected_jobs = 0;
    std::map<std::string, uint64_t> reasons;  // by code, of records and jobs
    uint64_t other_lines = 0;                 // comments, headers, blank lines: no records
    Assembler::Notes notes;
    std::vector<std::string> broken;  // inputs that ended early, and why
    // Whether every record and job was told of: counted where lines are written, not where they are
    // decided.
    bool holds() const {
        return records == merged_records + rejected_records &&
               jobs == accepted_jobs + rejected_jobs;
    }
    uint64_t jobs = 0;  // that the assembler gave out
    std::string json() const;
};

// Throws Unreadable if an input can't be opened. `jobs`, `dispositions`: receive lines.
Account import(const Format& format, const std::vector<std::string>& inputs, const Map& map,
               const std::vector<MachineType>& types, const Write& jobs, const Write& dispositions);

}  // namespace weirmill::traces
