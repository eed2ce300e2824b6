#include "traces/submission_builder.h"

#include <Poco/AutoPtr.h>
#include <Poco/Util/PropertyFileConfiguration.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <filesystem>

#include "protocol/user_codec.h"

namespace weirmill::traces {

namespace {

constexpr std::pair<const char*, Priority> kPriorityByUrgency[] = {{"prod", Priority::Production},
                                                                   {"high", Priority::High},
                                                                   {"normal", Priority::Normal},
                                                                   {"low", Priority::Low}};
std::optional<Priority> parse_urgency(const std::string& name) {
    for (auto& [urgency, priority] : kPriorityByUrgency)
        if (name == urgency) return priority;
    return {};
}

constexpr std::pair<const char*, Mapping::Source> kNameSources[] = {
    {"user", Mapping::Source::User},
    {"group", Mapping::Source::Group},
    {"queue", Mapping::Source::Queue},
    {"class", Mapping::Source::Class},
    {"priority", Mapping::Source::Priority}};

}  // namespace

Mapping load_mapping(const std::string& path) {
    Mapping mapping;
    Poco::AutoPtr<Poco::Util::PropertyFileConfiguration> file;
    try {
        file = new Poco::Util::PropertyFileConfiguration(path);
    } catch (const Poco::Exception& e) {
        throw MappingError(path + ": " + e.displayText());
    }
    struct NumberProperty {
        const char* name;
        double* value;
        double min, max;
    };
    const NumberProperty number_properties[] = {
        {"time.back_s", &mapping.time_tolerance_s, 0, 1e9},
        {"unit.cores", &mapping.cores_per_unit, 1e-9, 1e9},
        {"unit.gpus", &mapping.gpus_per_unit, 1e-9, 1e9},
        {"unit.mem_gb", &mapping.mem_gb_per_unit, 1e-12, 1e9},
        {"default.cores", &mapping.default_cores, 0.001, 1e6},
        {"default.mem_gb", &mapping.default_mem_gb, 0, 1e6},
        {"default.run_s", &mapping.default_run_s, 0, 1e9},
        {"least.run_s", &mapping.min_run_s, 0, 1e9},
        {"pack.cores", &mapping.max_task_cores, 0, 1e6},
        {"due.factor", &mapping.deadline_factor, 0, 1e6},
        {"tally_s", &mapping.checkpoint_interval_s, 0, 1e9},
        {"bank_s", &mapping.checkpoint_duration_s, 0, 1e9},
        {"image_gb", &mapping.image_gb, 0, 1e6},
    };
    struct NameProperties {
        const char* prefix;
        Mapping::NameRule* rule;
    };
    const NameProperties name_properties[] = {
        {"team.", &mapping.team}, {"urgency.", &mapping.urgency}, {"class.", &mapping.job_class}};
    std::vector<std::string> keys;
    // Poco splits keys at dots into a tree. Names of the trace can contain dots, so a key such as
    // "team.a.b" is at any depth.
    auto collect_keys = [&](auto& self, const std::string& path_in_tree) -> void {
        if (!path_in_tree.empty() && file->hasProperty(path_in_tree)) keys.push_back(path_in_tree);
        Poco::Util::AbstractConfiguration::Keys children;
        file->keys(path_in_tree, children);
        for (auto& child : children)
            self(self, path_in_tree.empty() ? child : path_in_tree + "." + child);
    };
    collect_keys(collect_keys, "");
    std::sort(keys.begin(), keys.end());
    keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
    for (auto& key : keys) {
        auto value = file->getRawString(key);
        auto fail = [&](const std::string& message) {
            throw MappingError(path + ": " + key + ": " + message);
        };
        if (auto* property =
                std::find_if(std::begin(number_properties), std::end(number_properties),
                             [&](auto& candidate) { return key == candidate.name; });
            property != std::end(number_properties)) {
            auto [end, ec] =
                std::from_chars(value.data(), value.data() + value.size(), *property->value);
            if (ec != std::errc() || end != value.data() + value.size()) fail("not a number");
            if (!(*property->value >= property->min && *property->value <= property->max))
                fail("out of range");
            continue;
        }
        if (key == "loaners") {
            if (value != "true" && value != "false") fail("must be true or false");
            mapping.spot = value == "true";
            continue;
        }
        if (key == "script") {
            mapping.script = (std::filesystem::path(path).parent_path() / value).string();
            continue;
        }
        auto* properties =
            std::find_if(std::begin(name_properties), std::end(name_properties),
                         [&](auto& candidate) { return key.starts_with(candidate.prefix); });
        if (properties == std::end(name_properties)) fail("unknown property");
        auto suffix = key.substr(std::string(properties->prefix).size());
        bool is_urgency = properties->rule == &mapping.urgency;
        if (suffix == "from") {
            auto* source = std::find_if(std::begin(kNameSources), std::end(kNameSources),
                                        [&](auto& candidate) { return value == candidate.first; });
            if (source == std::end(kNameSources))
                fail("must be one of user, group, queue, class, priority");
            properties->rule->source = source->second;
            continue;
        }
        if (is_urgency && !parse_urgency(value)) fail("must be one of prod, high, normal, low");
        if (suffix == "default") {
            properties->rule->default_name = value;
        } else if (is_urgency && suffix.starts_with("at.")) {
            int64_t threshold = 0;
            auto digits = suffix.substr(std::string("at.").size());
            auto [end, ec] =
                std::from_chars(digits.data(), digits.data() + digits.size(), threshold);
            if (ec != std::errc() || end != digits.data() + digits.size())
                fail("the text after \"at.\" is not an integer");
            mapping.urgency_thresholds.emplace_back(threshold, value);
        } else {
            properties->rule->by_value[suffix] = value;
        }
    }
    std::sort(mapping.urgency_thresholds.begin(), mapping.urgency_thresholds.end());
    return mapping;
}

SubmissionBuilder::SubmissionBuilder(Mapping mapping, std::vector<MachineType> types)
    : mapping_(std::move(mapping)), types_(std::move(types)) {
    for (auto& type : types_)
        max_machine_cores_ =
            std::max(max_machine_cores_, static_cast<double>(type.size.cpu) / 1000);
    if (!mapping_.script.empty()) script_.emplace(mapping_.script);
}

std::string SubmissionBuilder::mapped_name(const Mapping::NameRule& rule,
                                           const JobDraft& draft) const {
    std::string priority;
    const std::string* value = &priority;
    switch (rule.source) {
        case Mapping::Source::User:
            value = &draft.user;
            break;
        case Mapping::Source::Group:
            value = &draft.group;
            break;
        case Mapping::Source::Queue:
            value = &draft.queue;
            break;
        case Mapping::Source::Class:
            value = &draft.job_class;
            break;
        case Mapping::Source::Priority:
            if (draft.priority >= 0) priority = std::to_string(draft.priority);
            break;
    }
    auto it = rule.by_value.find(*value);
    return it == rule.by_value.end() ? rule.default_name : it->second;
}

Rejection SubmissionBuilder::build(const TraceJob& job, JobSpec& spec) {
    if (job.rejection.reason != RejectReason::None) return job.rejection;
    auto& attributes = job.attributes;
    JobDraft draft;
    draft.key = job.key;
    draft.user = attributes.user;
    draft.group = attributes.group;
    draft.queue = attributes.queue;
    draft.job_class = attributes.job_class;
    draft.priority = attributes.priority;
    draft.submitted_s = attributes.submitted_s;
    draft.run_s =
        std::isnan(job.run_s) ? mapping_.default_run_s : std::max(job.run_s, mapping_.min_run_s);
    draft.tasks = attributes.tasks;
    draft.gang = attributes.gang && attributes.tasks > 1;
    draft.spot = mapping_.spot;
    draft.cores =
        attributes.cpu > 0 ? attributes.cpu * mapping_.cores_per_unit : mapping_.default_cores;
    draft.gpus = attributes.gpu > 0 ? attributes.gpu * mapping_.gpus_per_unit : 0;
    draft.mem_gb =
        attributes.mem > 0 ? attributes.mem * mapping_.mem_gb_per_unit : mapping_.default_mem_gb;
    if (attributes.divisible) {
        // The number of tasks follows from the most processors that a task can have: those that the
        // mapping allows, or those of the largest machine. The processors are then distributed
        // evenly over the tasks.
        double max_task_cores =
            mapping_.max_task_cores > 0
                ? mapping_.max_task_cores
                : std::max(1.0, std::floor(max_machine_cores_ / draft.cores) * draft.cores);
        double processors_per_task = std::max(1.0, std::floor(max_task_cores / draft.cores));
        draft.tasks = std::ceil(attributes.tasks / processors_per_task);
        processors_per_task = std::ceil(attributes.tasks / draft.tasks);
        draft.cores *= processors_per_task;
        draft.mem_gb *= processors_per_task;
        draft.gang = draft.tasks > 1;
    }
    draft.team = mapped_name(mapping_.team, draft);
    draft.urgency = mapped_name(mapping_.urgency, draft);
    if (draft.priority >= 0)
        for (auto& [threshold, name] : mapping_.urgency_thresholds)
            if (draft.priority >= threshold) draft.urgency = name;
    draft.job_class = mapped_name(mapping_.job_class, draft);
    if (script_)
        if (auto rejection = script_->run(draft); rejection.reason != RejectReason::None)
            return rejection;
    if (!(draft.tasks >= 1)) return {RejectReason::NoTasks, "the job has no task"};
    if (draft.tasks > kMaxTasksPerJob)
        return {RejectReason::TooManyTasks,
                "more than " + std::to_string(kMaxTasksPerJob) + " tasks"};
    if (std::isnan(draft.run_s))
        return {RejectReason::NoRunTime, "the trace has no run time of the job"};
    if (!(draft.run_s <= 1e9))
        return {RejectReason::BadNumber, "the run time is longer than a submission may have"};
    auto priority = parse_urgency(draft.urgency);
    if (!priority)
        return {RejectReason::ScriptFailed, "the urgency must be one of prod, high, normal, low"};
    if (draft.team.empty() || draft.team.size() > 200 || draft.job_class.empty() ||
        draft.job_class.size() > 200)
        return {RejectReason::ScriptFailed, "the team or the class is empty or too long"};
    auto no_machine_type_fits = [&] {
        return Rejection{RejectReason::NoMachineTypeFits,
                         "no machine type can hold a task of " + std::to_string(draft.cores) +
                             " cores, " + std::to_string(draft.gpus) + " GPUs, " +
                             std::to_string(draft.mem_gb) + " GB"};
    };
    for (double amount : {draft.cores, draft.gpus, draft.mem_gb})
        if (!(amount >= 0 && amount < 1e6)) return no_machine_type_fits();
    spec.demand = {to_milli_ceil(draft.cores), to_milli_ceil(draft.gpus),
                   to_milli_ceil(draft.mem_gb)};
    if (std::none_of(types_.begin(), types_.end(),
                     [&](auto& type) { return spec.demand.fits_in(type.size); }))
        return no_machine_type_fits();
    spec.kind = draft.gang ? JobKind::Gang : JobKind::Array;
    spec.priority = *priority;
    spec.tasks = static_cast<uint32_t>(std::floor(draft.tasks));
    spec.team = names_.teams.intern(draft.team);
    spec.job_class = names_.classes.intern(draft.job_class);
    spec.spot = draft.spot;
    spec.image = names_.images.intern("image-" + draft.job_class);
    spec.image_gb = mapping_.image_gb;
    spec.estimate_s = draft.run_s;
    spec.checkpoint_interval_s = mapping_.checkpoint_interval_s;
    spec.checkpoint_duration_s = mapping_.checkpoint_duration_s;
    spec.deadline_s = mapping_.deadline_factor > 0 ? mapping_.deadline_factor * draft.run_s : -1;
    return {};
}

}  // namespace weirmill::traces
