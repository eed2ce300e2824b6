// Events that the readers of all trace formats produce, and the interface of those readers.
//
// A reader turns each record of an input into one event or rejects it; the assembler combines
// events into jobs. Comments use one set of terms for all formats: a "collection", a "VM" or a
// "task group" of a trace is a job here.
#pragma once
#include <cmath>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace weirmill::traces {

// Why a record or a job was rejected. The codes that reason_code() returns are a stable interface:
// operators' scripts match them.
enum class RejectReason : uint8_t {
    None,
    // Reasons to reject a record.
    BadColumns,  // the number of fields is not one that the format has
    BadNumber,   // not a number, or outside the supported range
    Negative,    // an amount or a time is negative
    EmptyField,  // a required field is empty
    BadEvent,    // the format has no such event type
    BadJson,
    NotUtf8,
    LineTooLong,
    InputTruncated,         // the input ends within the record
    TimeBackwards,          // older than the newest record by more than the tolerance
    DuplicateJob,           // the job was declared before
    DuplicateTask,          // the task was submitted before and has not ended
    UnknownJob,             // the record names a job that was never declared
    UnknownTask,            // the record starts or ends a task that is not submitted
    AfterJobEnd,            // the job has already ended
    MachineAlreadyPresent,  // the machine is added while it is present
    MachineNotPresent,      // the machine is removed or updated while it is not present
    // Reasons to reject a job.
    NoTasks,
    NoRunTime,  // the trace has no run time for the job and the mapping has no default
    EndBeforeStart,
    NoSubmissionTime,
    TooManyTasks,           // more tasks than a submission may have
    NoMachineTypeFits,      // no machine type can hold one of its tasks
    DependencyCycle,        // the job depends on itself
    DependencyNotAccepted,  // the job depends on a job that was not accepted
    Reservation,            // it only reserves capacity for jobs that the trace has separately
    RejectedByScript,       // the mapping's script rejected it
    ScriptFailed,           // the mapping's script raised an error for it
    Count
};
const char* reason_code(RejectReason reason);

// Stands for a number that the trace does not have.
inline constexpr double kUnknown = std::numeric_limits<double>::quiet_NaN();
// Stands for an integer that the trace does not have.
inline constexpr int64_t kUnknownInteger = -1;

// What a trace says about a job, in the units of the trace. A number that the trace does not have
// is NaN, a text that it does not have is empty.
struct JobAttributes {
    double submitted_s = kUnknown, started_s = kUnknown, ended_s = kUnknown;
    double requested_run_s = kUnknown;  // the run time that the job's owner requested
    double tasks = kUnknown;
    double cpu = kUnknown, gpu = kUnknown, mem = kUnknown;  // of each task
    bool gang = false;                                      // all tasks run at the same time
    bool divisible = false;    // `tasks` counts processors, which the mapping groups into tasks
    bool reservation = false;  // only reserves capacity for other jobs
    int64_t priority = kUnknownInteger;
    std::string user, group, queue, job_class;
    std::vector<std::string> dependencies;  // keys of jobs
};

enum class EventKind : uint8_t {
    CompleteJob,  // everything that the trace has about a job
    JobDeclare,   // a job; more events of it may follow until the end of the input
    JobEnd,
    TaskSubmit,
    TaskStart,
    TaskEnd,          // the task stops running, whether or not it succeeded
    TaskRun,          // the start and the end of a task in one event
    Update,           // of a job or task; changes nothing that a submission needs
    GroupAttributes,  // the owner and the submission time of every job of a group
    MachineAdd,
    MachineRemove,
    MachineUpdate,
    // A machine is present at a time (attributes.submitted_s). The trace repeats this event with
    // each change of the machine.
    MachineSnapshot,
};

struct Event {
    EventKind kind = EventKind::CompleteJob;
    double time_s = kUnknown;  // NaN: records of this format are not ordered by time
    std::string job, machine;  // keys in the trace
    std::string group;         // JobDeclare, GroupAttributes: key of a group of jobs
    int64_t task = kUnknownInteger;
    JobAttributes attributes;  // set for CompleteJob, JobDeclare, TaskSubmit, TaskRun
};

struct Rejection {
    RejectReason reason = RejectReason::None;
    std::string message;  // a sentence for the operator
};

// Reads the records of one format. A reader has no state from one record to the next.
class Reader {
  public:
    virtual ~Reader() = default;
    // How records are delimited in a file.
    enum class RecordFraming : uint8_t { Lines, JsonArray };
    virtual RecordFraming framing() const { return RecordFraming::Lines; }
    // Returns true if records are ordered by time; several files are then merged by time.
    virtual bool ordered_by_time() const { return false; }
    // Returns true if job keys are integers below 2^63, from which submission ids are made.
    virtual bool numeric_keys() const { return false; }
    // Returns true if jobs may depend on jobs that come later in the input.
    virtual bool has_forward_dependencies() const { return false; }
    // Returns true if the line is not a record but a comment, a blank line or the table's header.
    virtual bool is_comment(std::string_view text, uint64_t line) const = 0;
    // Returns the table to which a record belongs: an index from 0 in the order in which tables
    // must be read.
    virtual int table_index(std::string_view) const { return 0; }
    // Returns the time of a record in seconds, or NaN if the record has none that can be read. Only
    // called for formats that are ordered by time.
    virtual double record_time(std::string_view) { return kUnknown; }
    // Reads a record into `event`. The reason of the result is None if the record is valid.
    virtual Rejection parse_record(std::string_view text, Event& event) = 0;
};

struct Format {
    const char* name;
    const char* title;
    const char* inputs;  // the files of the trace that an import takes
    std::unique_ptr<Reader> (*make)();
};
const std::vector<Format>& formats();
const Format* find_format(std::string_view name);

std::unique_ptr<Reader> make_swf();
std::unique_ptr<Reader> make_google_2011();
std::unique_ptr<Reader> make_google_2019();
std::unique_ptr<Reader> make_alibaba_2018();
std::unique_ptr<Reader> make_alibaba_gpu_2020();
std::unique_ptr<Reader> make_philly();
std::unique_ptr<Reader> make_azure_vm();

}  // namespace weirmill::traces
