// What every reader makes of its format: events of jobs, their tasks and machines.
//
// A record of an input becomes one event or one refusal; the assembler makes jobs of events. Names
// in comments are the field's: a trace's "collection", "VM" or "task group" is a job here.
#pragma once
#include <cmath>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace weirmill::traces {

// Why a record or a job was not taken. The spellings (reason_code) are stable: operators' scripts
// match them.
enum class Reason : uint8_t {
    None,
    // of records
    BadColumns,  // not as many fields as the format has
    BadNumber,   // not a number, or beyond what can be represented
    Negative,    // a negative amount or time
    EmptyField,  // a field that is needed is empty
    BadEvent,    // an event that the format does not have
    BadJson,
    NotUtf8,
    LineTooLong,
    InputCut,        // the input broke off in the record
    TimeBackwards,   // older than the newest by more than is put right
    DuplicateJob,    // the job was declared before
    DuplicateTask,   // the task was declared before and has not ended
    UnknownJob,      // of a job that was never declared
    UnknownTask,     // ends or starts a task that was never submitted
    AfterEnd,        // the job ended before
    MachineTwice,    // declared while it is there
    MachineUnknown,  // removed or changed while it is not there
    // of jobs
    NoTask,
    NoEnd,  // nothing tells how long it ran, and the map has no default
    EndBeforeStart,
    NoTime,         // nothing tells when it was submitted
    TooManyTasks,   // over what a submission may have
    NoFit,          // a task of it fits no machine type
    Cycle,          // it waits for itself
    AwaitsUnknown,  // it waits for a job that was not accepted
    Reservation,    // it only holds room for other jobs, which come by themselves
    Script,         // the map's script refused it
    ScriptFailed,   // the map's script failed on it
    Count
};
const char* reason_code(Reason reason);

inline constexpr double kNoTime = std::numeric_limits<double>::quiet_NaN();
inline constexpr int64_t kNoTask = -1;

// What a trace tells of a job, in the trace's own units. NaN or empty: it does not tell.
struct Facts {
    double submitted_s = kNoTime, started_s = kNoTime, ended_s = kNoTime;
    double wanted_s = kNoTime;  // the run time that its owner asked for
    double tasks = kNoTime;
    double cpu = kNoTime, gpu = kNoTime, mem = kNoTime;  // of each task
    bool gang = false;                                   // its tasks run together
    bool divisible = false;    // its tasks are processors: the map makes tasks of them
    bool reservation = false;  // holds room for other jobs
    int64_t priority = kNoTask;
    std::string user, group, queue, job_class;
    std::vector<std::string> awaits;  // keys of jobs
};

enum class EventKind : uint8_t {
    Job,      // all of a job
    Declare,  // a job of which more may come until the end of the input
    JobEnd,
    TaskSubmit,
    TaskStart,
    TaskEnd,     // it runs no longer, whether it was done or not
    TaskRan,     // a start and an end at once
    Update,      // of a job or task, with nothing that a submission needs
    GroupFacts,  // owner and time of submission of every job of a group
    MachineAdd,
    MachineRemove,
    MachineUpdate,
    MachineState,  // there as of a time (facts.submitted_s): told again with each change
};

struct Event {
    EventKind kind = EventKind::Job;
    double at_s = kNoTime;     // when it happened; NaN: the format has no order of time
    std::string job, machine;  // keys in the trace
    std::string group;         // Declare, GroupFacts: the jobs that are told of together
    int64_t task = kNoTask;
    Facts facts;  // Job, Declare, TaskSubmit, TaskRan: what is told
};

struct Refusal {
    Reason reason = Reason::None;
    std::string why;  // a sentence for people
};

// One format. Readers keep nothing from one record to the next but what names a file's table.
class Reader {
  public:
    virtual ~Reader() = default;
    // How records are cut out of a file.
    enum class Cut : uint8_t { Lines, JsonArray };
    virtual Cut cut() const { return Cut::Lines; }
    // True: events come in order of time, so several files are merged by it.
    virtual bool timed() const { return false; }
    // True: job keys are numbers below 2^63, of which ids are made.
    virtual bool numeric_keys() const { return false; }
    // True: jobs may wait for jobs that come later in the input.
    virtual bool graphs() const { return false; }
    // A line that is no record: a comment, or the table's header.
    virtual bool comment(std::string_view text, uint64_t line) const = 0;
    // The table that a record belongs to, from 0 in the order in which tables must be read.
    virtual int table(std::string_view) const { return 0; }
    // The time of a record, s; NaN: it can't be told. Only of timed formats.
    virtual double time(std::string_view) { return kNoTime; }
    // Reads a record into `event`. A refusal's reason is None if it is sound.
    virtual Refusal read(std::string_view text, Event& event) = 0;
};

struct Format {
    const char* name;
    const char* title;
    const char* inputs;  // what files are given
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
