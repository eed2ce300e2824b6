#include "protocol/worker_codec.h"

#include <charconv>
#include <set>

namespace weirmill {

namespace json = boost::json;

namespace {

template <class T>
struct Named {
    const char* wire;
    T value;
};
constexpr Named<TaskPhase> kPhases[] = {{"fetching", TaskPhase::Fetching},
                                        {"waiting", TaskPhase::Waiting},
                                        {"running", TaskPhase::Running},
                                        {"saving", TaskPhase::Saving},
                                        {"exited", TaskPhase::Exited}};
constexpr Named<ExitCause> kCauses[] = {
    {"done", ExitCause::Done},   {"stopped", ExitCause::Stopped}, {"peers", ExitCause::Peers},
    {"alone", ExitCause::Alone}, {"error", ExitCause::Error},     {"no_room", ExitCause::NoRoom},
    {"busy", ExitCause::Busy},   {"unknown", ExitCause::Unknown}};

template <class T, size_t N>
T value_of(const Named<T> (&rows)[N], const json::object& o, const char* field) {
    auto name = read::text(o, field);
    for (auto& row : rows)
        if (name == row.wire) return row.value;
    read::bad(field);
}

json::array command_list(const std::vector<Command>& commands) {
    json::array list;
    list.reserve(commands.size());
    for (auto& c : commands) {
        json::object o;
        o["order"] = c.op == CommandOp::Start  ? "launch"
                     : c.op == CommandOp::Stop ? "stop"
                                               : "clear";
        o["lot"] = c.job + "/" + std::to_string(c.task);
        o["try"] = c.attempt;
        if (c.op == CommandOp::Stop) o["wind_down_s"] = c.grace_s;
        list.push_back(std::move(o));
    }
    return list;
}

}  // namespace

Heartbeat parse_heartbeat(std::string_view body) {
    auto v = read::parse(body);
    auto& o = read::object(v);
    Heartbeat r;
    r.machine = read::text(o, "millstone");
    r.addr = read::text(o, "addr");
    r.type = read::text(o, "rig");
    r.zone = read::text(o, "yard");
    r.spot = read::flag(o, "loaners");
    r.agent_epoch = read::count(o, "shift");
    r.seq = read::count(o, "tick");
    r.fencing_token = read::count(o, "gavel", 0);
    r.interruption_notice_s = read::field(o, "recall_s") ? read::number(o, "recall_s") : -1;
    auto& list = read::array(o, "lots");
    r.tasks.reserve(list.size());
    for (auto& item : list) {
        auto& t = read::object(item);
        TaskStatus task;
        auto name = read::text(t, "lot");
        auto slash = name.rfind('/');
        if (slash == std::string::npos || slash == 0) read::bad("lot");
        auto [end, ec] =
            std::from_chars(name.data() + slash + 1, name.data() + name.size(), task.task);
        if (ec != std::errc() || end != name.data() + name.size()) read::bad("lot");
        name.resize(slash);
        task.job = std::move(name);
        task.attempt = read::count(t, "try");
        task.phase = value_of(kPhases, t, "status");
        if (task.phase == TaskPhase::Exited) task.cause = value_of(kCauses, t, "cause");
        task.saved = read::flag(t, "kept", false);
        r.tasks.push_back(std::move(task));
    }
    // Two states of one task: neither is believed.
    std::set<std::pair<std::string_view, uint32_t>> seen;
    for (auto& t : r.tasks)
        if (!seen.emplace(t.job, t.task).second) read::bad("lots");
    return r;
}

HeartbeatHeader parse_heartbeat_header(std::string_view body) {
    auto v = read::parse(body);
    auto& o = read::object(v);
    return {read::text(o, "millstone"), read::count(o, "gavel", 0)};
}

std::string heartbeat_response(uint64_t fencing_token, const std::vector<Command>& commands) {
    return json::serialize(
        json::object{{"gavel", fencing_token}, {"orders", command_list(commands)}});
}

std::string direct_commands(uint64_t fencing_token, uint64_t agent_epoch,
                            const std::vector<Command>& commands) {
    return json::serialize(json::object{
        {"gavel", fencing_token}, {"shift", agent_epoch}, {"orders", command_list(commands)}});
}

std::string redirect_answer(const std::string& leader) {
    if (leader.empty()) return "{}";
    return json::serialize(json::object{{"clerk", leader}});
}

}  // namespace weirmill
