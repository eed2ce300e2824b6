#include "protocol/worker_codec.h"

#include <charconv>
#include <set>
#include <utility>

#include "protocol/wire_names.h"

namespace weirmill {

namespace json = boost::json;

namespace {

constexpr wire::Name<TaskPhase> kPhases[] = {{"fetching", TaskPhase::Fetching},
                                             {"waiting", TaskPhase::Waiting},
                                             {"running", TaskPhase::Running},
                                             {"saving", TaskPhase::Saving},
                                             {"exited", TaskPhase::Exited}};
constexpr wire::Name<ExitCause> kCauses[] = {
    {"done", ExitCause::Done},   {"stopped", ExitCause::Stopped}, {"peers", ExitCause::Peers},
    {"alone", ExitCause::Alone}, {"error", ExitCause::Error},     {"no_room", ExitCause::NoRoom},
    {"busy", ExitCause::Busy},   {"unknown", ExitCause::Unknown}};
constexpr wire::Name<CommandOp> kCommandOps[] = {
    {"launch", CommandOp::Start}, {"stop", CommandOp::Stop}, {"clear", CommandOp::AcknowledgeExit}};

struct TaskName {
    std::string job;
    uint32_t task = 0;
};

// JOB/INDEX.
TaskName read_task_name(const json::object& o) {
    TaskName name{read::text(o, wire::kTask)};
    const auto slash = name.job.rfind('/');
    if (slash == std::string::npos || slash == 0) read::bad(wire::kTask);
    const char* end = name.job.data() + name.job.size();
    auto [parsed_to, ec] = std::from_chars(name.job.data() + slash + 1, end, name.task);
    if (ec != std::errc() || parsed_to != end) read::bad(wire::kTask);
    name.job.resize(slash);
    return name;
}

TaskStatus read_task(const json::object& o) {
    auto name = read_task_name(o);
    TaskStatus task;
    task.job = std::move(name.job);
    task.task = name.task;
    task.attempt = read::count(o, wire::kAttempt);
    task.phase = wire::read_value(kPhases, o, wire::kStatus);
    if (task.phase == TaskPhase::Exited)
        task.cause = wire::read_value(kCauses, o, wire::kExitCause);
    task.saved = read::flag(o, wire::kSaved, false);
    return task;
}

// Two states of one task: neither is believed.
void refuse_repeated_tasks(const std::vector<TaskStatus>& tasks) {
    std::set<std::pair<std::string_view, uint32_t>> seen;
    for (const auto& t : tasks)
        if (!seen.emplace(t.job, t.task).second) read::bad(wire::kTasks);
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
    Heartbeat r;
    r.machine = read::text(o, wire::kMachine);
    r.addr = read::text(o, wire::kAddress);
    r.type = read::text(o, wire::kMachineType);
    r.zone = read::text(o, wire::kZone);
    r.spot = read::flag(o, wire::kSpot);
    r.agent_epoch = read::count(o, wire::kAgentEpoch);
    r.seq = read::count(o, wire::kHeartbeatSeq);
    r.fencing_token = read::count(o, wire::kFencingToken, 0);
    r.interruption_notice_s = read::field(o, wire::kInterruptionNotice_s)
                                  ? read::number(o, wire::kInterruptionNotice_s)
                                  : -1;
    auto& list = read::array(o, wire::kTasks);
    r.tasks.reserve(list.size());
    for (const auto& item : list) r.tasks.push_back(read_task(read::object(item)));
    refuse_repeated_tasks(r.tasks);
    return r;
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

std::string direct_commands(uint64_t fencing_token, uint64_t agent_epoch,
                            const std::vector<Command>& commands) {
    return json::serialize(json::object{{wire::kFencingToken, fencing_token},
                                        {wire::kAgentEpoch, agent_epoch},
                                        {wire::kCommands, command_list(commands)}});
}

std::string redirect_answer(const std::string& leader) {
    if (leader.empty()) return "{}";
    return json::serialize(json::object{{wire::kLeader, leader}});
}

}  // namespace weirmill
