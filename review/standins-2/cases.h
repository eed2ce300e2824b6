// What the cases share: users, and the check of left_waiting.
#pragma once
#include "platform.h"

inline constexpr double kLeftWaiting_s = 90;  // the page's bound

// Submits the job and polls it until it is over.
Async<void> user(World& w, Job* j);
// Tasks of the job that are on a machine, fetches included.
int present(const World& w, const Job& j);
bool all_running(const World& w, const Job& j);
// Sound machines that answer, were answered lately, and have room for a task of the job.
int machines_with_room(const World& w, const Job& j);
// Watches an accepted job from the end of the disruption on. It is left waiting if none of its tasks is on a machine for
// kLeftWaiting_s without a break, while as many sound machines as it has tasks have room for one of them each.
// Returns the exit code of the case.
Async<int> watch_waiting(World& w, Job& j, double over);

int backed_off(World& w);
