#include "state/team.h"

#include <algorithm>

namespace weirmill {

namespace {
bool under(const Resources& cap, const Resources& use) {
    return (cap.cpu == 0 || use.cpu <= cap.cpu) && (cap.gpu == 0 || use.gpu <= cap.gpu);
}
}  // namespace

Team make_team(const TeamSettings& settings) {
    Team team;
    team.settings = settings;
    team.guarantee = {to_milli_floor(settings.cpus), to_milli_floor(settings.gpus), 0};
    team.limit = {to_milli_floor(settings.cpus_max), to_milli_floor(settings.gpus_max), 0};
    // What the limit rules out is guaranteed to nobody.
    if (team.limit.cpu > 0) team.guarantee.cpu = std::min(team.guarantee.cpu, team.limit.cpu);
    if (team.limit.gpu > 0) team.guarantee.gpu = std::min(team.guarantee.gpu, team.limit.gpu);
    return team;
}

bool below_limit(const Team& team, const Resources& use) { return under(team.limit, use); }

bool within_limit(const Team& team, const Resources& extra) {
    return below_limit(team, team.used + extra);
}

// A team that is guaranteed GPUs and has no figure for CPUs was once guaranteed nothing, as each of
// its tasks takes some. No guarantee at all covers nothing.
bool covers(const Resources& guarantee, const Resources& use, const Resources& each) {
    bool with_gpus = guarantee.cpu == 0 && guarantee.gpu > 0 && each.gpu > 0;
    return use.gpu <= guarantee.gpu && (use.cpu <= guarantee.cpu || with_gpus);
}

bool within_guarantee(const Team& team, const Resources& extra) {
    return covers(team.guarantee, team.used + extra, extra);
}

bool over_guarantee(const Team& team, const Resources& each) {
    return !covers(team.guarantee, team.used, each);
}

}  // namespace weirmill
