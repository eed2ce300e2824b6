#include "protocol/worker_codec.h"

#include <charconv>
#include <set>
#include <utility>

#include "protocol/wire_names.h"

namespace weirmill {

namespace json = boost::json;

namespace {

constexpr wire::EnumName<TaskPhase> kPhases[] = {{"fetching", TaskPhase::Fetching},
                                                 {"waiting", TaskPhase::Waiting},
                                                 {"running", TaskPhase::Running},
                                                 {"saving", TaskPhase::Saving},
                                                 {"exited", TaskPhase::Exited}};
constexpr wire::EnumName<ExitCause> kCauses[] = {
    {"done", ExitCause::Done},          {"stopped", ExitCause::Stopped},
    {"peers", ExitCause::GangPeerLost}, {"alone", ExitCause::GangWaitTimeout},
    {"error", ExitCause::Error},        {"no_room", ExitCause::NoCapacity},
    {"busy", ExitCause::Busy},          {"unknown", ExitCause::Unknown}};
constexpr wire::EnumName<CommandOp> kCommandOps[] = {
    {"launch", CommandOp::Start}, {"stop", CommandOp::Stop}, {"clear", CommandOp::AcknowledgeExit}};

struct TaskId {
    std::string job;
    uint32_t task = 0;
};

// Parses JOB/INDEX.
TaskId read_task_id(const json::object& o) {
    TaskId id{read::text(o, wire::kTask)};
    const auto slash = id.job.rfind('/');
    if (slash == std::string::npos || slash == 0) read::throw_invalid(wire::kTask);
    const char* end = id.job.data() + id.job.size();
    auto [parsed_to, ec] = std::from_chars(id.job.data() + slash + 1, end, id.task);
    if (ec != std::errc() || parsed_to != end) read::throw_invalid(wire::kTask);
    id.job.resize(slash);
    return id;
}

TaskStatus read_task(const json::object& o) {
    auto id = read_task_id(o);
    TaskStatus task;
    task.job = std::move(id.job);
    task.task = id.task;
    task.attempt = read::count(o, wire::kAttempt);
    task.phase = wire::read_value(kPhases, o, wire::kStatus);
    if (task.phase == TaskPhase::Exited)
        task.cause = wire::read_value(kCauses, o, wire::kExitCause);
    task.saved = read::flag(o, wire::kSaved, false);
    return task;
}

// Throws BadMessage if a task is listed twice: there is no way to tell which status is right.
void reject_duplicate_tasks(const std::vector<TaskStatus>& tasks) {
    std::set<std::pair<std::string_view, uint32_t>> seen;
    for (const auto& t : tasks)
        if (!seen.emplace(t.job, t.task).second) read::throw_invalid(wire::kTasks);
}

json::array command_list(const std::vector<Command>& commands) {
    json::array list;
    list.reserve(commands.size());
    for (auto& c : commands) {
        json::object o;
        o[wire::kCommand] = wire::name_of(kCommandOps, c.op);
        o[wire::kTask] = c.job + "/" + std::to_string(c.task);
        o[wire::kAttempt] = c.attempt;
        if (c.op == CommandOp::Stop) o[wire::kGrace_s] = c.grace_s;
        list.push_back(std::move(o));
    }
    return list;
}

}  // namespace

Heartbeat parse_heartbeat(std::string_view body) {
    auto v = read::parse(body);
    auto& o = read::object(v);
    Heartbeat heartbeat;
    heartbeat.machine = read::text(o, wire::kMachine);
    heartbeat.addr = read::text(o, wire::kAddress);
    heartbeat.type = read::text(o, wire::kMachineType);
    heartbeat.zone = read::text(o, wire::kZone);
    heartbeat.spot = read::flag(o, wire::kSpot);
    heartbeat.agent_epoch = read::count(o, wire::kAgentEpoch);
    heartbeat.seq = read::count(o, wire::kHeartbeatSeq);
    heartbeat.fencing_token = read::count(o, wire::kFencingToken, 0);
    heartbeat.interruption_notice_s = read::field(o, wire::kInterruptionNotice_s)
                                          ? read::number(o, wire::kInterruptionNotice_s)
                                          : -1;
    auto& list = read::array(o, wire::kTasks);
    heartbeat.tasks.reserve(list.size());
    for (const auto& item : list) heartbeat.tasks.push_back(read_task(read::object(item)));
    reject_duplicate_tasks(heartbeat.tasks);
    return heartbeat;
}

HeartbeatHeader parse_heartbeat_header(std::string_view body) {
    auto v = read::parse(body);
    auto& o = read::object(v);
    return {read::text(o, wire::kMachine), read::count(o, wire::kFencingToken, 0)};
}

std::string heartbeat_response(uint64_t fencing_token, const std::vector<Command>& commands) {
    return json::serialize(json::object{{wire::kFencingToken, fencing_token},
                                        {wire::kCommands, command_list(commands)}});
}

std::string command_request(uint64_t fencing_token, uint64_t agent_epoch,
                            const std::vector<Command>& commands) {
    return json::serialize(json::object{{wire::kFencingToken, fencing_token},
                                        {wire::kAgentEpoch, agent_epoch},
                                        {wire::kCommands, command_list(commands)}});
}

std::string redirect_response(const std::string& leader) {
    if (leader.empty()) return "{}";
    return json::serialize(json::object{{wire::kLeader, leader}});
}

}  // namespace weirmill
