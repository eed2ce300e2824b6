#include "traces/shape.h"

#include <Poco/AutoPtr.h>
#include <Poco/Util/PropertyFileConfiguration.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <filesystem>

#include "protocol/user_codec.h"

namespace weirmill::traces {

namespace {

constexpr std::pair<const char*, Priority> kUrgencies[] = {{"prod", Priority::Production},
                                                           {"high", Priority::High},
                                                           {"normal", Priority::Normal},
                                                           {"low", Priority::Low}};
std::optional<Priority> urgency(const std::string& name) {
    for (auto& [n, p] : kUrgencies)
        if (name == n) return p;
    return {};
}

constexpr std::pair<const char*, Map::From> kSources[] = {{"user", Map::From::User},
                                                          {"group", Map::From::Group},
                                                          {"queue", Map::From::Queue},
                                                          {"class", Map::From::Class},
                                                          {"priority", Map::From::Priority}};

}  // namespace

Map load_map(const std::string& path) {
    Map map;
    Poco::AutoPtr<Poco::Util::PropertyFileConfiguration> file;
    try {
        file = new Poco::Util::PropertyFileConfiguration(path);
    } catch (const Poco::Exception& e) {
        throw MapError(path + ": " + e.displayText());
    }
    struct Row {
        const char* name;
        double* value;
        double low, high;
    };
    const Row rows[] = {
        {"time.back_s", &map.back_s, 0, 1e9},
        {"unit.cores", &map.cores, 1e-9, 1e9},
        {"unit.gpus", &map.gpus, 1e-9, 1e9},
        {"unit.mem_gb", &map.mem_gb, 1e-12, 1e9},
        {"default.cores", &map.default_cores, 0.001, 1e6},
        {"default.mem_gb", &map.default_mem_gb, 0, 1e6},
        {"default.run_s", &map.default_run_s, 0, 1e9},
        {"least.run_s", &map.least_run_s, 0, 1e9},
        {"pack.cores", &map.pack_cores, 0, 1e6},
        {"due.factor", &map.due_factor, 0, 1e6},
        {"tally_s", &map.tally_s, 0, 1e9},
        {"bank_s", &map.bank_s, 0, 1e9},
        {"image_gb", &map.image_gb, 0, 1e6},
    };
    struct Group {
        const char* name;
        Map::Names* names;
    };
    const Group groups[] = {
        {"team.", &map.team}, {"urgency.", &map.urgency}, {"class.", &map.job_class}};
    std::vector<std::string> keys;
    // Keys come in a tree; dots in values of a trace ("user.a.b") make deeper ones.
    auto walk = [&](auto& self, const std::string& at) -> void {
        if (!at.empty() && file->hasProperty(at)) keys.push_back(at);
        Poco::Util::AbstractConfiguration::Keys below;
        file->keys(at, below);
        for (auto& k : below) self(self, at.empty() ? k : at + "." + k);
    };
    walk(walk, "");
    std::sort(keys.begin(), keys.end());
    keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
    for (auto& key : keys) {
        auto value = file->getRawString(key);
        auto wrong = [&](const std::string& why) {
            throw MapError(path + ": " + key + ": " + why);
        };
        if (auto* row = std::find_if(std::begin(rows), std::end(rows),
                                     [&](auto& r) { return key == r.name; });
            row != std::end(rows)) {
            auto [end, ec] =
                std::from_chars(value.data(), value.data() + value.size(), *row->value);
            if (ec != std::errc() || end != value.data() + value.size()) wrong("not a number");
            if (!(*row->value >= row->low && *row->value <= row->high)) wrong("out of range");
            continue;
        }
        if (key == "loaners") {
            if (value != "true" && value != "false") wrong("neither true nor false");
            map.loaners = value == "true";
            continue;
        }
        if (key == "script") {
            map.script = (std::filesystem::path(path).parent_path() / value).string();
            continue;
        }
        auto* group = std::find_if(std::begin(groups), std::end(groups),
                                   [&](auto& g) { return key.starts_with(g.name); });
        if (group == std::end(groups)) wrong("there is no such property");
        auto rest = key.substr(std::string(group->name).size());
        bool urgencies = group->names == &map.urgency;
        if (rest == "from") {
            auto* source = std::find_if(std::begin(kSources), std::end(kSources),
                                        [&](auto& s) { return value == s.first; });
            if (source == std::end(kSources)) wrong("none of user, group, queue, class, priority");
            group->names->from = source->second;
            continue;
        }
        if (urgencies && !urgency(value)) wrong("none of prod, high, normal, low");
        if (rest == "default") {
            group->names->otherwise = value;
        } else if (urgencies && rest.starts_with("at.")) {
            int64_t from = 0;
            auto digits = rest.substr(3);
            auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), from);
            if (ec != std::errc() || end != digits.data() + digits.size()) wrong("not a priority");
            map.urgency_at.emplace_back(from, value);
        } else {
            group->names->by_value[rest] = value;
        }
    }
    std::sort(map.urgency_at.begin(), map.urgency_at.end());
    return map;
}

Shaper::Shaper(Map map, std::vector<MachineType> types)
    : map_(std::move(map)), types_(std::move(types)) {
    for (auto& t : types_) widest_ = std::max(widest_, static_cast<double>(t.size.cpu) / 1000);
    if (!map_.script.empty()) script_.emplace(map_.script);
}

std::string Shaper::pick(const Map::Names& names, const Draft& d) const {
    std::string number;
    const std::string* value = &number;
    switch (names.from) {
        case Map::From::User:
            value = &d.user;
            break;
        case Map::From::Group:
            value = &d.group;
            break;
        case Map::From::Queue:
            value = &d.queue;
            break;
        case Map::From::Class:
            value = &d.job_class;
            break;
        case Map::From::Priority:
            if (d.priority >= 0) number = std::to_string(d.priority);
            break;
    }
    auto it = names.by_value.find(*value);
    return it == names.by_value.end() ? names.otherwise : it->second;
}

Refusal Shaper::shape(const TraceJob& job, JobSpec& spec) {
    if (job.refusal.reason != Reason::None) return job.refusal;
    auto& f = job.facts;
    Draft d;
    d.key = job.key;
    d.user = f.user;
    d.group = f.group;
    d.queue = f.queue;
    d.job_class = f.job_class;
    d.priority = f.priority;
    d.submitted_s = f.submitted_s;
    d.run_s = std::isnan(job.run_s) ? map_.default_run_s : std::max(job.run_s, map_.least_run_s);
    d.tasks = f.tasks;
    d.gang = f.gang && f.tasks > 1;
    d.loaners = map_.loaners;
    d.cores = f.cpu > 0 ? f.cpu * map_.cores : map_.default_cores;
    d.gpus = f.gpu > 0 ? f.gpu * map_.gpus : 0;
    d.mem_gb = f.mem > 0 ? f.mem * map_.mem_gb : map_.default_mem_gb;
    if (f.divisible) {
        // Processors of one task as far as a machine holds them, and as equal as they can be.
        double most = map_.pack_cores > 0 ? map_.pack_cores
                                          : std::max(1.0, std::floor(widest_ / d.cores) * d.cores);
        double each = std::max(1.0, std::floor(most / d.cores));
        d.tasks = std::ceil(f.tasks / each);
        each = std::ceil(f.tasks / d.tasks);
        d.cores *= each;
        d.mem_gb *= each;
        d.gang = d.tasks > 1;
    }
    d.team = pick(map_.team, d);
    d.urgency = pick(map_.urgency, d);
    if (d.priority >= 0)
        for (auto& [from, name] : map_.urgency_at)
            if (d.priority >= from) d.urgency = name;
    d.job_class = pick(map_.job_class, d);
    if (script_)
        if (auto refusal = script_->decide(d); refusal.reason != Reason::None) return refusal;
    if (!(d.tasks >= 1)) return {Reason::NoTask, "it has no task"};
    if (d.tasks > kMaxTasksPerJob)
        return {Reason::TooManyTasks, "more than " + std::to_string(kMaxTasksPerJob) + " tasks"};
    if (std::isnan(d.run_s)) return {Reason::NoEnd, "nothing tells how long it ran"};
    if (!(d.run_s <= 1e9))
        return {Reason::BadNumber, "a run time beyond what a submission may have"};
    auto wanted = urgency(d.urgency);
    if (!wanted) return {Reason::ScriptFailed, "the urgency is none of prod, high, normal, low"};
    if (d.team.empty() || d.team.size() > 200 || d.job_class.empty() || d.job_class.size() > 200)
        return {Reason::ScriptFailed, "the team or the class is empty or too long"};
    auto no_fit = [&] {
        return Refusal{Reason::NoFit, "no machine type holds a task of " + std::to_string(d.cores) +
                                          " cores, " + std::to_string(d.gpus) + " GPUs, " +
                                          std::to_string(d.mem_gb) + " GB"};
    };
    for (double v : {d.cores, d.gpus, d.mem_gb})
        if (!(v >= 0 && v < 1e6)) return no_fit();
    spec.demand = {to_milli_ceil(d.cores), to_milli_ceil(d.gpus), to_milli_ceil(d.mem_gb)};
    if (std::none_of(types_.begin(), types_.end(),
                     [&](auto& t) { return spec.demand.fits_in(t.size); }))
        return no_fit();
    spec.kind = d.gang ? JobKind::Gang : JobKind::Array;
    spec.priority = *wanted;
    spec.tasks = static_cast<uint32_t>(std::floor(d.tasks));
    spec.team = names_.teams.intern(d.team);
    spec.job_class = names_.classes.intern(d.job_class);
    spec.spot = d.loaners;
    spec.image = names_.images.intern("image-" + d.job_class);
    spec.image_gb = map_.image_gb;
    spec.estimate_s = d.run_s;
    spec.checkpoint_interval_s = map_.tally_s;
    spec.checkpoint_duration_s = map_.bank_s;
    spec.deadline_s = map_.due_factor > 0 ? map_.due_factor * d.run_s : -1;
    return {};
}

}  // namespace weirmill::traces
