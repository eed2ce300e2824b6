// Types of the domain, as the rest of the program uses them. Spellings on the wire are the codecs'
// alone. Spans are in seconds, sizes of images and memory in gigabytes where not said otherwise.
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

using Index = uint32_t;
inline constexpr Index kNone = std::numeric_limits<Index>::max();

enum class JobKind : uint8_t { Array, Gang, Service };
enum class Priority : uint8_t { Low, Normal, High, Production };
enum class TaskPhase : uint8_t { Unseen, Fetching, Waiting, Running, Saving, Exited };
enum class ExitCause : uint8_t { None, Done, Stopped, Peers, Alone, Error, NoRoom, Busy, Unknown };

// Amounts in thousandths (of a CPU, of a GPU, of a gigabyte), so that sums and comparisons are
// exact.
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
    bool fits_in(const Resources& room) const {
        return cpu <= room.cpu && gpu <= room.gpu && mem <= room.mem;
    }
    bool operator==(const Resources&) const = default;
    // How many of these fit side by side.
    int64_t times_in(const Resources& room) const {
        int64_t n = std::numeric_limits<int32_t>::max();
        if (cpu > 0) n = std::min(n, room.cpu / cpu);
        if (gpu > 0) n = std::min(n, room.gpu / gpu);
        if (mem > 0) n = std::min(n, room.mem / mem);
        return std::max<int64_t>(n, 0);
    }
};
// In thousandths, rounded up or down; figures that are whole but for their binary form stay so.
inline int64_t milli_up(double v) { return static_cast<int64_t>(std::ceil(v * 1000 - 1e-6)); }
inline int64_t milli_down(double v) { return static_cast<int64_t>(std::floor(v * 1000 + 1e-6)); }

// Gives names dense indices, in the order in which they are first seen; never forgets one.
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

struct Names {
    Interner teams, types, zones, images, classes;
};

// What a user submitted.
struct JobSpec {
    std::string id;
    Index job_class = kNone, team = kNone;
    JobKind kind = JobKind::Array;
    Priority priority = Priority::Normal;
    uint32_t tasks = 1;
    Resources demand;
    std::vector<Index> types;  // empty: any
    Index zone = kNone;        // kNone: any
    bool one_zone = false, spread = false, spot = false;
    Index image = kNone;
    double image_gb = 0;
    double estimate_s = 0, checkpoint_interval_s = 0, checkpoint_duration_s = 0;
    double deadline_s = -1;  // < 0: none
    // Ids of jobs, as submitted; once the job is in the cluster state, they are kept by index
    // there.
    std::vector<std::string> dependencies;
    // The same machines may run its tasks, as many on each; zones that the rest of a job excludes
    // are left out of account.
    bool same_shape_as(const JobSpec& o) const {
        return demand == o.demand && spot == o.spot && zone == o.zone && types == o.types;
    }
};

// A task as its worker reports it.
struct TaskStatus {
    std::string job;
    uint32_t task = 0;
    uint64_t attempt = 0;
    TaskPhase phase = TaskPhase::Unseen;
    ExitCause cause = ExitCause::None;
    bool saved = false;
};

// A worker's report. Ordered by agent_epoch, then seq; fencing_token: the highest that it has seen.
struct Heartbeat {
    std::string machine, addr, type, zone;
    bool spot = false;
    uint64_t agent_epoch = 0, seq = 0, fencing_token = 0;
    double interruption_notice_s = -1;  // < 0: none
    std::vector<TaskStatus> tasks;
};

enum class CommandOp : uint8_t { Start, Stop, AcknowledgeExit };
// From the leader to a worker, with the answer to a heartbeat.
struct Command {
    CommandOp op = CommandOp::Start;
    std::string job;
    uint32_t task = 0;
    uint64_t attempt = 0;
    double grace_s = 0;
};

// As the cloud offers it.
struct MachineType {
    std::string name;
    Resources size;
    double cache_gb = 0, fetch_gb_per_s = 0, price = 0, spot_price = 0, boot_s = 0;
    std::vector<std::string> zones;
};

enum class MachineStatus : uint8_t { Booting, Running, Failed };
// As the cloud lists it.
struct ListedMachine {
    std::string name, addr, type, zone;
    bool spot = false;
    MachineStatus status = MachineStatus::Booting;
    double age_s = 0;
};
struct MachinePage {
    std::vector<ListedMachine> machines;
    bool more = false;
};

}  // namespace weirmill
