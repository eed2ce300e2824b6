#include "protocol/user_codec.h"

#include <algorithm>

#include "protocol/json_write.h"
#include "protocol/wire_names.h"

namespace weirmill {

namespace json = boost::json;

namespace {

constexpr size_t kMaxMachineTypes = 64;  // per job
constexpr size_t kMaxTypeNameBytes = 100;
constexpr size_t kMaxJobIdBytes = 40;

constexpr wire::EnumName<JobKind> kKinds[] = {
    {"array", JobKind::Array}, {"ensemble", JobKind::Gang}, {"standing", JobKind::Service}};
constexpr wire::EnumName<Priority> kPriorities[] = {{"prod", Priority::Production},
                                                    {"high", Priority::High},
                                                    {"normal", Priority::Normal},
                                                    {"low", Priority::Low}};
constexpr wire::EnumName<JobState> kStates[] = {{"queued", JobState::Queued},
                                                {"running", JobState::Running},
                                                {"done", JobState::Done},
                                                {"aborted", JobState::Cancelled}};

double from_milli(int64_t milli) { return static_cast<double>(milli) / 1000.0; }

// Returns an empty list if every machine type is allowed.
std::vector<std::string> read_types(const json::object& o) {
    std::vector<std::string> types;
    if (!read::field(o, wire::kMachineTypes)) return types;
    const auto& list = read::array(o, wire::kMachineTypes);
    if (list.empty() || list.size() > kMaxMachineTypes) read::throw_invalid(wire::kMachineTypes);
    for (const auto& t : list) {
        if (!t.is_string() || t.get_string().empty() || t.get_string().size() > kMaxTypeNameBytes)
            read::throw_invalid(wire::kMachineTypes);
        types.emplace_back(t.get_string());
    }
    return types;
}

// Returns the ids sorted and without duplicates.
std::vector<std::string> read_dependencies(const json::object& o) {
    std::vector<std::string> ids;
    if (!read::field(o, wire::kDependencies)) return ids;
    const auto& list = read::array(o, wire::kDependencies);
    ids.reserve(list.size());
    for (const auto& id : list) {
        if (!id.is_string() || id.get_string().empty()) read::throw_invalid(wire::kDependencies);
        ids.emplace_back(id.get_string());
    }
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    return ids;
}

// Writes the fields of a JSON object as text, without building a document.
class FieldWriter {
  public:
    explicit FieldWriter(std::string& out) : out_(out) {}

    void text(const char* field, std::string_view v) {
        key(field);
        write::text(out_, v);
    }
    template <class Number>
    void number(const char* field, Number v) {
        key(field);
        write::number(out_, v);
    }
    void flag(const char* field, bool v) {
        key(field);
        write::flag(out_, v);
    }
    // `to_text` returns the text of an item. An empty list is left out.
    template <class Items, class ToText>
    void list(const char* field, const Items& items, const ToText& to_text) {
        if (items.empty()) return;
        key(field);
        char separator = '[';
        for (const auto& item : items) {
            out_ += separator;
            write::text(out_, to_text(item));
            separator = ',';
        }
        out_ += ']';
    }
    void end() { out_ += '}'; }

  private:
    void key(const char* field) {
        out_ += separator_;
        out_ += '"';
        out_ += field;
        out_ += "\":";
        separator_ = ',';
    }

    std::string& out_;
    char separator_ = '{';
};

}  // namespace

bool valid_job_id(std::string_view id) {
    constexpr std::string_view prefix = "req-";
    if (id.size() <= prefix.size() || id.size() > kMaxJobIdBytes ||
        id.substr(0, prefix.size()) != prefix)
        return false;
    id.remove_prefix(prefix.size());
    return std::all_of(id.begin(), id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::string parse_submission_id(std::string_view body) {
    try {
        auto v = read::parse(body);
        auto id = read::text(read::object(v), wire::kJobId);
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
    s.id = read::text(o, wire::kJobId);
    if (!valid_job_id(s.id)) read::throw_invalid(wire::kJobId);
    auto job_class = read::text(o, wire::kJobClass);
    auto team = read::text(o, wire::kTeam);
    s.kind = wire::read_value(kKinds, o, wire::kJobKind);
    s.priority = wire::read_value(kPriorities, o, wire::kPriority);
    auto tasks = read::count(o, wire::kTasks);
    if (tasks < 1 || tasks > kMaxTasksPerJob) read::throw_invalid(wire::kTasks);
    s.tasks = static_cast<uint32_t>(tasks);
    s.demand.cpu = to_milli_ceil(read::number(o, wire::kCpus));
    s.demand.gpu = to_milli_ceil(read::number(o, wire::kGpus));
    s.demand.mem = to_milli_ceil(read::number(o, wire::kMemory_gb));
    const auto types = read_types(o);
    std::string zone = read::field(o, wire::kZone) ? read::text(o, wire::kZone) : "";
    s.one_zone = read::flag(o, wire::kOneZone);
    s.spread = read::flag(o, wire::kSpread);
    s.spot = read::flag(o, wire::kSpot);
    auto image = read::text(o, wire::kImage);
    s.image_gb = read::number(o, wire::kImageSize_gb);
    s.estimate_s = read::number(o, wire::kEstimate_s);
    s.checkpoint_interval_s = read::number(o, wire::kCheckpointInterval_s);
    s.checkpoint_duration_s = read::number(o, wire::kCheckpointDuration_s);
    s.deadline_s = read::field(o, wire::kDeadline_s) ? read::number(o, wire::kDeadline_s) : -1;
    s.dependencies = read_dependencies(o);
    // Names are interned only after the whole message has been validated.
    s.job_class = names.classes.intern(job_class);
    s.team = names.teams.find(team);
    for (auto& t : types) s.types.push_back(names.types.intern(t));
    if (!zone.empty()) s.zone = names.zones.intern(zone);
    s.image = names.images.intern(image);
    return s;
}

json::object submission_json(const JobSpec& s, const Names& names) {
    json::object o;
    o[wire::kJobId] = s.id;
    o[wire::kJobClass] = names.classes.name(s.job_class);
    o[wire::kTeam] = names.teams.name(s.team);
    o[wire::kJobKind] = wire::name_of(kKinds, s.kind);
    o[wire::kPriority] = wire::name_of(kPriorities, s.priority);
    o[wire::kTasks] = s.tasks;
    o[wire::kCpus] = from_milli(s.demand.cpu);
    o[wire::kGpus] = from_milli(s.demand.gpu);
    o[wire::kMemory_gb] = from_milli(s.demand.mem);
    if (!s.types.empty()) {
        json::array types;
        for (auto t : s.types) types.emplace_back(names.types.name(t));
        o[wire::kMachineTypes] = std::move(types);
    }
    if (s.zone != kNone) o[wire::kZone] = names.zones.name(s.zone);
    o[wire::kOneZone] = s.one_zone;
    o[wire::kSpread] = s.spread;
    o[wire::kSpot] = s.spot;
    o[wire::kImage] = names.images.name(s.image);
    o[wire::kImageSize_gb] = s.image_gb;
    o[wire::kEstimate_s] = s.estimate_s;
    o[wire::kCheckpointInterval_s] = s.checkpoint_interval_s;
    o[wire::kCheckpointDuration_s] = s.checkpoint_duration_s;
    if (s.deadline_s >= 0) o[wire::kDeadline_s] = s.deadline_s;
    // An empty list is left out, so that the record of a job without dependencies is identical to
    // that of versions without job dependencies.
    if (!s.dependencies.empty())
        o[wire::kDependencies] = json::array(s.dependencies.begin(), s.dependencies.end());
    return o;
}

void append_submission(std::string& out, const JobSpec& s, const Names& names) {
    FieldWriter w(out);
    w.text(wire::kJobId, s.id);
    w.text(wire::kJobClass, names.classes.name(s.job_class));
    w.text(wire::kTeam, names.teams.name(s.team));
    w.text(wire::kJobKind, wire::name_of(kKinds, s.kind));
    w.text(wire::kPriority, wire::name_of(kPriorities, s.priority));
    w.number(wire::kTasks, s.tasks);
    w.number(wire::kCpus, from_milli(s.demand.cpu));
    w.number(wire::kGpus, from_milli(s.demand.gpu));
    w.number(wire::kMemory_gb, from_milli(s.demand.mem));
    w.list(wire::kMachineTypes, s.types,
           [&](Index t) -> std::string_view { return names.types.name(t); });
    if (s.zone != kNone) w.text(wire::kZone, names.zones.name(s.zone));
    w.flag(wire::kOneZone, s.one_zone);
    w.flag(wire::kSpread, s.spread);
    w.flag(wire::kSpot, s.spot);
    w.text(wire::kImage, names.images.name(s.image));
    w.number(wire::kImageSize_gb, s.image_gb);
    w.number(wire::kEstimate_s, s.estimate_s);
    w.number(wire::kCheckpointInterval_s, s.checkpoint_interval_s);
    w.number(wire::kCheckpointDuration_s, s.checkpoint_duration_s);
    if (s.deadline_s >= 0) w.number(wire::kDeadline_s, s.deadline_s);
    w.list(wire::kDependencies, s.dependencies,
           [](const std::string& id) -> std::string_view { return id; });
    w.end();
}

std::string job_state_json(std::string_view id, JobState state) {
    return json::serialize(json::object{{wire::kJobId, json::string_view(id.data(), id.size())},
                                        {wire::kStatus, wire::name_of(kStates, state)}});
}

std::optional<JobState> parse_job_state(std::string_view body) {
    boost::system::error_code ec;
    auto v = json::parse(json::string_view(body.data(), body.size()), ec);
    auto* o = ec ? nullptr : v.if_object();
    auto* s = o ? o->if_contains(wire::kStatus) : nullptr;
    if (!s || !s->is_string()) return std::nullopt;
    const auto* state = wire::find_value(kStates, s->get_string());
    return state ? std::optional(*state) : std::nullopt;
}

std::string job_status_json(std::string_view id, JobState state, uint32_t done, uint32_t running) {
    return json::serialize(json::object{{wire::kJobId, json::string_view(id.data(), id.size())},
                                        {wire::kStatus, wire::name_of(kStates, state)},
                                        {wire::kDone, done},
                                        {wire::kRunning, running}});
}

}  // namespace weirmill
