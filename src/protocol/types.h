// Domain types of the scheduler. Only the codecs know the names of these types and fields on the
// wire. Durations are in seconds, and sizes of images and memory in gigabytes, unless stated
// otherwise.
#pragma once
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace weirmill {

// Position in a table of jobs, machines or interned names.
using Index = uint32_t;
inline constexpr Index kNone = std::numeric_limits<Index>::max();

enum class JobKind : uint8_t { Array, Gang, Service };
enum class Priority : uint8_t { Low, Normal, High, Production };
// What a worker reports of a placed task. NotReported: it has not reported the task yet.
enum class TaskPhase : uint8_t { NotReported, Fetching, Waiting, Running, Saving, Exited };
// Why a task exited. GangPeerLost: another task of its gang ended or was lost; GangWaitTimeout: the
// other tasks of its gang did not all start in time.
enum class ExitCause : uint8_t {
    None,
    Done,
    Stopped,
    GangPeerLost,
    GangWaitTimeout,
    Error,
    NoCapacity,
    Busy,
    Unknown
};

// Resource amounts in thousandths of a CPU, of a GPU and of a gigabyte of memory. Integers keep
// sums and comparisons exact.
struct Resources {
    int64_t cpu = 0, gpu = 0, mem = 0;
    Resources& operator+=(const Resources& o) {
        cpu += o.cpu;
        gpu += o.gpu;
        mem += o.mem;
        return *this;
    }
    Resources& operator-=(const Resources& o) {
        cpu -= o.cpu;
        gpu -= o.gpu;
        mem -= o.mem;
        return *this;
    }
    friend Resources operator+(Resources a, const Resources& b) { return a += b; }
    friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
    friend Resources operator*(Resources a, int64_t n) { return {a.cpu * n, a.gpu * n, a.mem * n}; }
    bool fits_in(const Resources& available) const {
        return cpu <= available.cpu && gpu <= available.gpu && mem <= available.mem;
    }
    bool operator==(const Resources&) const = default;
    // Returns how many times these resources fit into `available`.
    int64_t max_copies_in(const Resources& available) const {
        int64_t n = std::numeric_limits<int32_t>::max();
        if (cpu > 0) n = std::min(n, available.cpu / cpu);
        if (gpu > 0) n = std::min(n, available.gpu / gpu);
        if (mem > 0) n = std::min(n, available.mem / mem);
        return std::max<int64_t>(n, 0);
    }
};
// Convert to thousandths, rounding up or down. The small offset absorbs binary representation
// error, so that a multiple of one thousandth is not rounded to its neighbour.
inline int64_t to_milli_ceil(double v) { return static_cast<int64_t>(std::ceil(v * 1000 - 1e-6)); }
inline int64_t to_milli_floor(double v) {
    return static_cast<int64_t>(std::floor(v * 1000 + 1e-6));
}

// Assigns dense indices to names in the order of their first use. Names are never removed.
class Interner {
  public:
    Index intern(std::string_view name) {
        auto it = index_.find(std::string(name));
        if (it != index_.end()) return it->second;
        names_.emplace_back(name);
        index_.emplace(names_.back(), static_cast<Index>(names_.size() - 1));
        return static_cast<Index>(names_.size() - 1);
    }
    Index find(std::string_view name) const {
        auto it = index_.find(std::string(name));
        return it == index_.end() ? kNone : it->second;
    }
    const std::string& name(Index i) const { return names_[i]; }
    size_t size() const { return names_.size(); }

  private:
    std::vector<std::string> names_;
    std::unordered_map<std::string, Index> index_;
};

// The interned names of a cluster.
struct Names {
    Interner teams, types, zones, images, classes;
};

// A job as a user submitted it.
struct JobSpec {
    std::string id;
    Index job_class = kNone, team = kNone;
    JobKind kind = JobKind::Array;
    Priority priority = Priority::Normal;
    uint32_t tasks = 1;
    Resources demand;
    std::vector<Index> types;  // allowed machine types; empty: any
    Index zone = kNone;        // kNone: any
    bool one_zone = false, spread = false, spot = false;
    Index image = kNone;
    double image_gb = 0;
    double estimate_s = 0, checkpoint_interval_s = 0, checkpoint_duration_s = 0;
    double deadline_s = -1;  // < 0: none
    // Job ids as submitted. Once the job is in the cluster state, its dependencies are stored there
    // by index.
    std::vector<std::string> dependencies;
    // Returns true if the same machines can run tasks of both jobs, and equally many on each
    // machine. Zones that become ineligible because of the placement of a job's other tasks are not
    // considered.
    bool same_shape_as(const JobSpec& o) const {
        return demand == o.demand && spot == o.spot && zone == o.zone && types == o.types;
    }
};

// The state of a task as reported by its worker.
struct TaskStatus {
    std::string job;
    uint32_t task = 0;
    uint64_t attempt = 0;
    TaskPhase phase = TaskPhase::NotReported;
    ExitCause cause = ExitCause::None;
    bool saved = false;  // the exited task wrote a checkpoint
};

// A worker's heartbeat. The heartbeats of a machine are ordered by agent_epoch, then by seq;
// `fencing_token` is the highest token that the worker has seen.
struct Heartbeat {
    std::string machine, addr, type, zone;
    bool spot = false;
    uint64_t agent_epoch = 0, seq = 0, fencing_token = 0;
    double interruption_notice_s = -1;  // < 0: none
    std::vector<TaskStatus> tasks;
};

enum class CommandOp : uint8_t { Start, Stop, AcknowledgeExit };
// A command from the leader to a worker, sent with the response to a heartbeat.
struct Command {
    CommandOp op = CommandOp::Start;
    std::string job;
    uint32_t task = 0;
    uint64_t attempt = 0;
    double grace_s = 0;
};

// A machine type that the cloud offers.
struct MachineType {
    std::string name;
    Resources size;
    double cache_gb = 0;               // disk space for task images
    double fetch_gb_per_s = 0;         // download rate of task images
    double price = 0, spot_price = 0;  // per hour
    double boot_s = 0;
    std::vector<std::string> zones;
};

enum class MachineStatus : uint8_t { Booting, Running, Failed };
// A machine in the cloud's machine list.
struct ListedMachine {
    std::string name, addr, type, zone;
    bool spot = false;
    MachineStatus status = MachineStatus::Booting;
    double age_s = 0;
};
struct MachinePage {
    std::vector<ListedMachine> machines;
    bool has_more = false;  // further pages follow
};

}  // namespace weirmill
