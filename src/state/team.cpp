#include "state/team.h"

#include <algorithm>

namespace weirmill {

namespace {
// A limit of 0 means that there is none.
bool within(const Resources& limit, const Resources& usage) {
    return (limit.cpu == 0 || usage.cpu <= limit.cpu) && (limit.gpu == 0 || usage.gpu <= limit.gpu);
}
}  // namespace

Team make_team(const TeamSettings& settings) {
    Team team;
    team.settings = settings;
    team.guarantee = {to_milli_floor(settings.cpus), to_milli_floor(settings.gpus), 0};
    team.limit = {to_milli_floor(settings.cpus_max), to_milli_floor(settings.gpus_max), 0};
    // A guarantee can't exceed the limit.
    if (team.limit.cpu > 0) team.guarantee.cpu = std::min(team.guarantee.cpu, team.limit.cpu);
    if (team.limit.gpu > 0) team.guarantee.gpu = std::min(team.guarantee.gpu, team.limit.gpu);
    return team;
}

bool usage_within_limit(const Team& team, const Resources& usage) {
    return within(team.limit, usage);
}

bool within_limit(const Team& team, const Resources& extra) {
    return usage_within_limit(team, team.used + extra);
}

// A guarantee of GPUs without a number of CPUs must include the CPUs of tasks with GPUs: every task
// uses CPUs, so that without this rule the guarantee would cover no task. A team without any
// guarantee is guaranteed nothing.
bool guarantee_covers(const Resources& guarantee, const Resources& usage,
                      const Resources& task_demand) {
    bool cpus_included = guarantee.cpu == 0 && guarantee.gpu > 0 && task_demand.gpu > 0;
    return usage.gpu <= guarantee.gpu && (usage.cpu <= guarantee.cpu || cpus_included);
}

bool within_guarantee(const Team& team, const Resources& extra) {
    return guarantee_covers(team.guarantee, team.used + extra, extra);
}

bool exceeds_guarantee(const Team& team, const Resources& task_demand) {
    return !guarantee_covers(team.guarantee, team.used, task_demand);
}

}  // namespace weirmill
