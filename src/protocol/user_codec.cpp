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

JobSpec parse_submission(const json::value& value, Names& names) {
    auto& object = read::object(value);
    JobSpec spec;
    spec.id = read::text(object, wire::kJobId);
    if (!valid_job_id(spec.id)) read::throw_invalid(wire::kJobId);
    auto job_class = read::text(object, wire::kJobClass);
    auto team = read::text(object, wire::kTeam);
    spec.kind = wire::read_value(kKinds, object, wire::kJobKind);
    spec.priority = wire::read_value(kPriorities, object, wire::kPriority);
    auto tasks = read::count(object, wire::kTasks);
    if (tasks < 1 || tasks > kMaxTasksPerJob) read::throw_invalid(wire::kTasks);
    spec.tasks = static_cast<uint32_t>(tasks);
    spec.demand.cpu = to_milli_ceil(read::number(object, wire::kCpus));
    spec.demand.gpu = to_milli_ceil(read::number(object, wire::kGpus));
    spec.demand.mem = to_milli_ceil(read::number(object, wire::kMemory_gb));
    const auto types = read_types(object);
    std::string zone = read::field(object, wire::kZone) ? read::text(object, wire::kZone) : "";
    spec.one_zone = read::flag(object, wire::kOneZone);
    spec.spread = read::flag(object, wire::kSpread);
    spec.spot = read::flag(object, wire::kSpot);
    auto image = read::text(object, wire::kImage);
    spec.image_gb = read::number(object, wire::kImageSize_gb);
    spec.estimate_s = read::number(object, wire::kEstimate_s);
    spec.checkpoint_interval_s = read::number(object, wire::kCheckpointInterval_s);
    spec.checkpoint_duration_s = read::number(object, wire::kCheckpointDuration_s);
    spec.deadline_s =
        read::field(object, wire::kDeadline_s) ? read::number(object, wire::kDeadline_s) : -1;
    spec.dependencies = read_dependencies(object);
    // Names are interned only after the whole message has been validated.
    spec.job_class = names.classes.intern(job_class);
    spec.team = names.teams.find(team);
    for (auto& t : types) spec.types.push_back(names.types.intern(t));
    if (!zone.empty()) spec.zone = names.zones.intern(zone);
    spec.image = names.images.intern(image);
    return spec;
}

json::object submission_json(const JobSpec& spec, const Names& names) {
    json::object object;
    object[wire::kJobId] = spec.id;
    object[wire::kJobClass] = names.classes.name(spec.job_class);
    object[wire::kTeam] = names.teams.name(spec.team);
    object[wire::kJobKind] = wire::name_of(kKinds, spec.kind);
    object[wire::kPriority] = wire::name_of(kPriorities, spec.priority);
    object[wire::kTasks] = spec.tasks;
    object[wire::kCpus] = from_milli(spec.demand.cpu);
    object[wire::kGpus] = from_milli(spec.demand.gpu);
    object[wire::kMemory_gb] = from_milli(spec.demand.mem);
    if (!spec.types.empty()) {
        json::array types;
        for (auto t : spec.types) types.emplace_back(names.types.name(t));
        object[wire::kMachineTypes] = std::move(types);
    }
    if (spec.zone != kNone) object[wire::kZone] = names.zones.name(spec.zone);
    object[wire::kOneZone] = spec.one_zone;
    object[wire::kSpread] = spec.spread;
    object[wire::kSpot] = spec.spot;
    object[wire::kImage] = names.images.name(spec.image);
    object[wire::kImageSize_gb] = spec.image_gb;
    object[wire::kEstimate_s] = spec.estimate_s;
    object[wire::kCheckpointInterval_s] = spec.checkpoint_interval_s;
    object[wire::kCheckpointDuration_s] = spec.checkpoint_duration_s;
    if (spec.deadline_s >= 0) object[wire::kDeadline_s] = spec.deadline_s;
    // An empty list is left out, so that the record of a job without dependencies is identical to
    // that of versions without job dependencies.
    if (!spec.dependencies.empty())
        object[wire::kDependencies] =
            json::array(spec.dependencies.begin(), spec.dependencies.end());
    return object;
}

void append_submission(std::string& out, const JobSpec& spec, const Names& names) {
    FieldWriter writer(out);
    writer.text(wire::kJobId, spec.id);
    writer.text(wire::kJobClass, names.classes.name(spec.job_class));
    writer.text(wire::kTeam, names.teams.name(spec.team));
    writer.text(wire::kJobKind, wire::name_of(kKinds, spec.kind));
    writer.text(wire::kPriority, wire::name_of(kPriorities, spec.priority));
    writer.number(wire::kTasks, spec.tasks);
    writer.number(wire::kCpus, from_milli(spec.demand.cpu));
    writer.number(wire::kGpus, from_milli(spec.demand.gpu));
    writer.number(wire::kMemory_gb, from_milli(spec.demand.mem));
    writer.list(wire::kMachineTypes, spec.types,
                [&](Index t) -> std::string_view { return names.types.name(t); });
    if (spec.zone != kNone) writer.text(wire::kZone, names.zones.name(spec.zone));
    writer.flag(wire::kOneZone, spec.one_zone);
    writer.flag(wire::kSpread, spec.spread);
    writer.flag(wire::kSpot, spec.spot);
    writer.text(wire::kImage, names.images.name(spec.image));
    writer.number(wire::kImageSize_gb, spec.image_gb);
    writer.number(wire::kEstimate_s, spec.estimate_s);
    writer.number(wire::kCheckpointInterval_s, spec.checkpoint_interval_s);
    writer.number(wire::kCheckpointDuration_s, spec.checkpoint_duration_s);
    if (spec.deadline_s >= 0) writer.number(wire::kDeadline_s, spec.deadline_s);
    writer.list(wire::kDependencies, spec.dependencies,
                [](const std::string& id) -> std::string_view { return id; });
    writer.end();
}

std::string job_state_json(std::string_view id, JobState state) {
    return json::serialize(json::object{{wire::kJobId, json::string_view(id.data(), id.size())},
                                        {wire::kStatus, wire::name_of(kStates, state)}});
}

std::optional<JobState> parse_job_state(std::string_view body) {
    boost::system::error_code ec;
    auto v = json::parse(json::string_view(body.data(), body.size()), ec);
    auto* object = ec ? nullptr : v.if_object();
    auto* status = object ? object->if_contains(wire::kStatus) : nullptr;
    if (!status || !status->is_string()) return std::nullopt;
    const auto* state = wire::find_value(kStates, status->get_string());
    return state ? std::optional(*state) : std::nullopt;
}

std::string job_status_json(std::string_view id, JobState state, uint32_t done, uint32_t running) {
    return json::serialize(json::object{{wire::kJobId, json::string_view(id.data(), id.size())},
                                        {wire::kStatus, wire::name_of(kStates, state)},
                                        {wire::kDone, done},
                                        {wire::kRunning, running}});
}

}  // namespace weirmill
