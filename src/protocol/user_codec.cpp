#include "protocol/user_codec.h"

#include <algorithm>

#include "protocol/json_write.h"

namespace weirmill {

namespace json = boost::json;

namespace {

constexpr size_t kMaxTypes = 64;

struct KindName {
    const char* wire;
    JobKind kind;
};
constexpr KindName kKinds[] = {
    {"array", JobKind::Array}, {"ensemble", JobKind::Gang}, {"standing", JobKind::Service}};

struct PriorityName {
    const char* wire;
    Priority priority;
};
constexpr PriorityName kPriorities[] = {{"prod", Priority::Production},
                                        {"high", Priority::High},
                                        {"normal", Priority::Normal},
                                        {"low", Priority::Low}};

const char* state_name(JobState s) {
    switch (s) {
        case JobState::Queued:
            return "queued";
        case JobState::Running:
            return "running";
        case JobState::Done:
            return "done";
        case JobState::Cancelled:
            return "aborted";
    }
    return "queued";
}

double amount(int64_t milli) { return static_cast<double>(milli) / 1000.0; }

}  // namespace

bool valid_job_id(std::string_view id) {
    constexpr std::string_view prefix = "req-";
    if (id.size() <= prefix.size() || id.size() > 40 || id.substr(0, prefix.size()) != prefix)
        return false;
    id.remove_prefix(prefix.size());
    return std::all_of(id.begin(), id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::string submission_id(std::string_view body) {
    try {
        auto v = read::parse(body);
        auto id = read::text(read::object(v), "name_id");
        return valid_job_id(id) ? id : "";
    } catch (const BadMessage&) {
        return "";
    }
}

JobSpec parse_submission(std::string_view body, Names& names) {
    return parse_submission(read::parse(body), names);
}

JobSpec parse_submission(const json::value& v, Names& names) {
    auto& o = read::object(v);
    JobSpec s;
    s.id = read::text(o, "name_id");
    if (!valid_job_id(s.id)) read::bad("name_id");
    auto job_class = read::text(o, "lot_class");
    auto team = read::text(o, "consignor");
    auto kind = read::text(o, "sale_kind");
    auto* k =
        std::find_if(std::begin(kKinds), std::end(kKinds), [&](auto& r) { return kind == r.wire; });
    if (k == std::end(kKinds)) read::bad("sale_kind");
    s.kind = k->kind;
    auto priority = read::text(o, "urgency");
    auto* p = std::find_if(std::begin(kPriorities), std::end(kPriorities),
                           [&](auto& r) { return priority == r.wire; });
    if (p == std::end(kPriorities)) read::bad("urgency");
    s.priority = p->priority;
    auto tasks = read::count(o, "lots");
    if (tasks < 1 || tasks > kMaxTasks) read::bad("lots");
    s.tasks = static_cast<uint32_t>(tasks);
    s.demand.cpu = milli_up(read::number(o, "cores"));
    s.demand.gpu = milli_up(read::number(o, "accelerators"));
    s.demand.mem = milli_up(read::number(o, "mem_gb"));
    std::vector<std::string> types;
    if (read::field(o, "rigs")) {
        auto& list = read::array(o, "rigs");
        if (list.empty() || list.size() > kMaxTypes) read::bad("rigs");
        for (auto& t : list) {
            if (!t.is_string() || t.get_string().empty() || t.get_string().size() > 100)
                read::bad("rigs");
            types.emplace_back(t.get_string());
        }
    }
    std::string zone = read::field(o, "yard") ? read::text(o, "yard") : "";
    s.one_zone = read::flag(o, "same_place");
    s.spread = read::flag(o, "scatter");
    s.spot = read::flag(o, "loaners");
    auto image = read::text(o, "bundle");
    s.image_gb = read::number(o, "size_gb");
    s.estimate_s = read::number(o, "expected_s");
    s.checkpoint_interval_s = read::number(o, "tally_s");
    s.checkpoint_duration_s = read::number(o, "bank_s");
    s.deadline_s = read::field(o, "due_s") ? read::number(o, "due_s") : -1;
    if (read::field(o, "awaits")) {
        auto& list = read::array(o, "awaits");
        s.dependencies.reserve(list.size());
        for (auto& id : list) {
            if (!id.is_string() || id.get_string().empty()) read::bad("awaits");
            s.dependencies.emplace_back(id.get_string());
        }
        std::sort(s.dependencies.begin(), s.dependencies.end());
        s.dependencies.erase(std::unique(s.dependencies.begin(), s.dependencies.end()),
                             s.dependencies.end());
    }
    // Interned only once the whole message is known to be sound.
    s.job_class = names.classes.intern(job_class);
    s.team = names.teams.find(team);
    for (auto& t : types) s.types.push_back(names.types.intern(t));
    if (!zone.empty()) s.zone = names.zones.intern(zone);
    s.image = names.images.intern(image);
    return s;
}

json::object submission_json(const JobSpec& s, const Names& names) {
    json::object o;
    o["name_id"] = s.id;
    o["lot_class"] = names.classes.name(s.job_class);
    o["consignor"] = names.teams.name(s.team);
    for (auto& k : kKinds)
        if (k.kind == s.kind) o["sale_kind"] = k.wire;
    for (auto& p : kPriorities)
        if (p.priority == s.priority) o["urgency"] = p.wire;
    o["lots"] = s.tasks;
    o["cores"] = amount(s.demand.cpu);
    o["accelerators"] = amount(s.demand.gpu);
    o["mem_gb"] = amount(s.demand.mem);
    if (!s.types.empty()) {
        json::array types;
        for (auto t : s.types) types.emplace_back(names.types.name(t));
        o["rigs"] = std::move(types);
    }
    if (s.zone != kNone) o["yard"] = names.zones.name(s.zone);
    o["same_place"] = s.one_zone;
    o["scatter"] = s.spread;
    o["loaners"] = s.spot;
    o["bundle"] = names.images.name(s.image);
    o["size_gb"] = s.image_gb;
    o["expected_s"] = s.estimate_s;
    o["tally_s"] = s.checkpoint_interval_s;
    o["bank_s"] = s.checkpoint_duration_s;
    if (s.deadline_s >= 0) o["due_s"] = s.deadline_s;
    // Never an empty list: a record without dependencies stays as versions without pipelines wrote
    // it.
    if (!s.dependencies.empty())
        o["awaits"] = json::array(s.dependencies.begin(), s.dependencies.end());
    return o;
}

void append_submission(std::string& out, const JobSpec& s, const Names& names) {
    auto text = [&](std::string_view before, std::string_view v) {
        out += before;
        write::text(out, v);
    };
    auto number = [&](std::string_view before, double v) {
        out += before;
        write::number(out, v);
    };
    auto flag = [&](std::string_view before, bool v) {
        out += before;
        write::flag(out, v);
    };
    text("{\"name_id\":", s.id);
    text(",\"lot_class\":", names.classes.name(s.job_class));
    text(",\"consignor\":", names.teams.name(s.team));
    for (auto& k : kKinds)
        if (k.kind == s.kind) text(",\"sale_kind\":", k.wire);
    for (auto& p : kPriorities)
        if (p.priority == s.priority) text(",\"urgency\":", p.wire);
    out += ",\"lots\":";
    write::number(out, s.tasks);
    number(",\"cores\":", amount(s.demand.cpu));
    number(",\"accelerators\":", amount(s.demand.gpu));
    number(",\"mem_gb\":", amount(s.demand.mem));
    for (size_t i = 0; i < s.types.size(); ++i)
        text(i == 0 ? ",\"rigs\":[" : ",", names.types.name(s.types[i]));
    if (!s.types.empty()) out += ']';
    if (s.zone != kNone) text(",\"yard\":", names.zones.name(s.zone));
    flag(",\"same_place\":", s.one_zone);
    flag(",\"scatter\":", s.spread);
    flag(",\"loaners\":", s.spot);
    text(",\"bundle\":", names.images.name(s.image));
    number(",\"size_gb\":", s.image_gb);
    number(",\"expected_s\":", s.estimate_s);
    number(",\"tally_s\":", s.checkpoint_interval_s);
    number(",\"bank_s\":", s.checkpoint_duration_s);
    if (s.deadline_s >= 0) number(",\"due_s\":", s.deadline_s);
    for (size_t i = 0; i < s.dependencies.size(); ++i)
        text(i == 0 ? ",\"awaits\":[" : ",", s.dependencies[i]);
    if (!s.dependencies.empty()) out += ']';
    out += '}';
}

std::string job_answer(std::string_view id, JobState state) {
    return json::serialize(json::object{{"name_id", json::string_view(id.data(), id.size())},
                                        {"status", state_name(state)}});
}

std::optional<JobState> parse_job_state(std::string_view body) {
    boost::system::error_code ec;
    auto v = json::parse(json::string_view(body.data(), body.size()), ec);
    auto* o = ec ? nullptr : v.if_object();
    auto* s = o ? o->if_contains("status") : nullptr;
    if (s && s->is_string())
        for (auto state :
             {JobState::Queued, JobState::Running, JobState::Done, JobState::Cancelled})
            if (s->get_string() == state_name(state)) return state;
    return {};
}

std::string job_status(std::string_view id, JobState state, uint32_t done, uint32_t running) {
    return json::serialize(json::object{{"name_id", json::string_view(id.data(), id.size())},
                                        {"status", state_name(state)},
                                        {"done", done},
                                        {"running", running}});
}

}  // namespace weirmill
