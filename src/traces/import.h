// Imports a trace: reads records from the inputs, assembles jobs from them, builds a submission for
// each job, and writes one line for each record and each job that says whether it was accepted.
//
// Owns: the inputs, the submission ids, the resolution of dependencies, and the summary. The same
// inputs and mapping produce the same bytes.
//
// Order of reading: files of a format that is ordered by time are merged by the time of their next
// record; among equal times the earlier file comes first. Files of other formats are read table by
// table (machines, then jobs, then instances), each in the order given. A job is written once it is
// known whether it is accepted, so the output is only roughly in the order of submission.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "traces/assembler.h"
#include "traces/line_source.h"
#include "traces/submission_builder.h"

namespace weirmill::traces {

// Receives pieces of the output; throws std::runtime_error if it can't write them.
using TextSink = std::function<void(std::string_view)>;

struct ImportSummary {
    uint64_t records = 0, merged_records = 0, rejected_records = 0;
    uint64_t accepted_jobs = 0, rejected_jobs = 0;
    std::map<std::string, uint64_t> reasons;  // rejected records and jobs by reason code
    uint64_t other_lines = 0;                 // comments, headers and blank lines
    Assembler::Counters counters;
    // One message for each input that could not be read to its end.
    std::vector<std::string> input_errors;
    // Returns true if a line was written for every record and job. The counts of results are taken
    // where the lines are written, not where the results are decided, so that a lost line shows.
    bool is_consistent() const {
        return records == merged_records + rejected_records &&
               jobs == accepted_jobs + rejected_jobs;
    }
    uint64_t jobs = 0;  // jobs that the assembler closed
    std::string json() const;
};

// Throws FileError if an input can't be opened. `jobs` receives the submissions and `dispositions`
// the results of records and jobs, both as JSON lines.
ImportSummary import(const Format& format, const std::vector<std::string>& inputs,
                     const Mapping& mapping, const std::vector<MachineType>& types,
                     const TextSink& jobs, const TextSink& dispositions);

}  // namespace weirmill::traces
