#include "cases.h"

#include <algorithm>

Async<void> user(World& w, Job* j) {
    int status = co_await w.submit(j);
    if (status != 200 && status != 201) co_return;
    while (j->done_told_at == 0 && j->cancelled_told_at == 0) {
        co_await sleep_s(uniform(4, 6));
        co_await w.poll(j);
    }
}
int present(const World& w, const Job& j) {
    int n = 0;
    for (auto& worker : w.all_workers)
        for (auto& [key, lot] : worker->lots) n += !worker->dead && lot.job == j.id && !lot.exited();
    return n;
}
int machines_with_room(const World& w, const Job& j) {
    int n = 0;
    for (auto& worker : w.all_workers) {
        if (worker->dead || worker->hung || worker->sick || worker->tick == 0) continue;
        if (worker->spot && !j.loaners) continue;
        if (now() - worker->answered_at > 1.5 * w.s.report_s) continue;
        double cpus = worker->type.cpus, gpus = worker->type.gpus, mem = worker->type.mem;
        for (auto& [key, lot] : worker->lots)
            if (!lot.exited()) {
                auto& other = *w.jobs.at(lot.job);
                cpus -= other.cores, gpus -= other.gpus, mem -= other.mem;
            }
        n += cpus >= j.cores && gpus >= j.gpus && mem >= j.mem;
    }
    return n;
}

bool all_running(const World& w, const Job& j) {
    int n = 0;
    for (auto& worker : w.all_workers)
        for (auto& [key, lot] : worker->lots) n += lot.job == j.id && lot.state == "running";
    return n == j.lots;
}

Async<int> watch_waiting(World& w, Job& j, double over) {
    double left = 0, since = 0;
    int least_room = 1000, starts = j.starts;
    for (double until = std::min(over + 95, w.record.started + 117); now() < until;) {
        co_await sleep_s(0.25);
        int room = machines_with_room(w, j);
        bool waiting = j.accepted_at > 0 && j.done_told_at == 0 && j.completed_at == 0 && present(w, j) == 0;
        if (!waiting || room < j.lots) {
            if (j.completed_at > 0) break;
            since = 0;
            least_room = 1000;
            continue;
        }
        if (since == 0) since = now();
        least_room = std::min(least_room, room);
        left = std::max(left, now() - since);
        if (left >= kLeftWaiting_s) {
            w.record.broke("left_waiting: " + j.id + " is not started for " + std::to_string(left) + " s after the disruption, beside " +
                           std::to_string(least_room) + " or more sound machines with room for one of its " + std::to_string(j.lots) +
                           " tasks each");
            break;
        }
    }
    w.record.line("longest wait beside enough room %.1f s, started again %d, complete %s", left, j.starts - starts,
                  j.completed_at > 0 ? "yes" : "no");
    bool known = left >= kLeftWaiting_s || j.completed_at > 0;
    co_return !w.record.broken.empty() ? 1 : known ? 0 : 2;
}
