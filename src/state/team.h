// A team's quota: its guaranteed resources and its limit. Pure functions.
#pragma once
#include "config/settings.h"
#include "protocol/types.h"

namespace weirmill {

struct Team {
    TeamSettings settings;
    Resources guarantee, limit;  // 0: none
    Resources used;              // demand of the team's placed tasks
};

Team make_team(const TeamSettings& settings);

// Returns whether a total usage of `usage` is within the team's limit.
bool usage_within_limit(const Team& team, const Resources& usage);
// Returns whether the team's current usage plus `extra` is within its limit.
bool within_limit(const Team& team, const Resources& extra);
// Returns whether a guarantee covers `usage`, which includes tasks with a demand of `task_demand`.
// A guarantee of GPUs without a number of CPUs covers the CPUs of tasks with GPUs.
bool guarantee_covers(const Resources& guarantee, const Resources& usage,
                      const Resources& task_demand);
// Returns whether the team's guarantee covers its current usage plus `extra`.
bool within_guarantee(const Team& team, const Resources& extra);
// Returns whether the team's guarantee does not cover its current usage, which includes tasks with
// a demand of `task_demand`.
bool exceeds_guarantee(const Team& team, const Resources& task_demand);

}  // namespace weirmill
