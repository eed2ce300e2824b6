// A team's quota: what it is guaranteed, and its limit. Pure functions.
#pragma once
#include "config/settings.h"
#include "protocol/types.h"

namespace weirmill {

struct Team {
    TeamSettings settings;
    Resources guarantee, limit;  // 0: none
    Resources used;              // by its placed tasks
};

// A team as the settings have it.
Team make_team(const TeamSettings& settings);

// `use` is not above the team's limit.
bool below_limit(const Team& team, const Resources& use);
// The team's use and `extra` more are not above its limit.
bool within_limit(const Team& team, const Resources& extra);
// Whether a guarantee covers what is used, tasks that need `each` among it. A guarantee of GPUs
// without a figure for CPUs covers the CPUs that tasks with GPUs take beside them.
bool covers(const Resources& guarantee, const Resources& use, const Resources& each);
// The team's use and `extra` more are covered by its guarantee.
bool within_guarantee(const Team& team, const Resources& extra);
// Whether the team's work beyond its guarantee includes tasks that need `each`.
bool over_guarantee(const Team& team, const Resources& each);

}  // namespace weirmill
