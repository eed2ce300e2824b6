// Machines that fail every task that they start, for some seconds. A gang of six tasks is started on six of them.
#include <algorithm>

#include "platform.h"

namespace {
constexpr int kMachines = 16, kSick = 6;
constexpr double kLeftWaiting_s = 90;  // the page's bound

Job settlement(const char* id, int lots, double run_s) {
    Job j;
    j.id = id;
    j.team = "yardops";
    j.cls = "settlement";
    j.kind = "ensemble";
    j.urgency = "high";
    j.lots = lots;
    j.cores = 15;
    j.mem = 51;
    j.bundle = "img-settle";
    j.size_gb = 0.4;
    j.same_place = true;
    j.loaners = false;
    j.run_s = j.expected_s = run_s;
    j.tally_s = 45;
    j.bank_s = 2;
    return j;
}
Async<void> user(World& w, Job* j) {
    int status = co_await w.submit(j);
    if (status != 200 && status != 201) co_return;
    while (j->done_told_at == 0 && j->cancelled_told_at == 0) {
        co_await sleep_s(uniform(4, 6));
        co_await w.poll(j);
    }
}
// Tasks of the job that are on a machine, fetches included.
int present(const World& w, const Job& j) {
    int n = 0;
    for (auto& worker : w.all_workers)
        for (auto& [key, lot] : worker->lots) n += !worker->dead && lot.job == j.id && !lot.exited();
    return n;
}
// Sound ordinary machines that answer, were answered lately, and have room for a task of the job.
int machines_with_room(const World& w, const Job& j) {
    int n = 0;
    for (auto& worker : w.all_workers) {
        if (worker->dead || worker->hung || worker->sick || worker->spot || worker->tick == 0) continue;
        if (now() - worker->answered_at > 1.5 * w.s.report_s) continue;
        double cpus = worker->type.cpus, mem = worker->type.mem;
        for (auto& [key, lot] : worker->lots)
            if (!lot.exited()) cpus -= w.jobs.at(lot.job)->cores, mem -= w.jobs.at(lot.job)->mem;
        n += cpus >= j.cores && mem >= j.mem;
    }
    return n;
}
Async<void> script(World& w, int& result) {
    for (int i = 0; i < kMachines; ++i) w.rent("cedar", "okanagan", false, 0);
    for (double until = now() + 15; w.leader() < 0 && now() < until;) co_await sleep_s(0.1);
    // Two long gangs take ten machines, a short one the other six.
    Job& long_a = w.add(settlement("req-000101", 6, 240));
    Job& long_b = w.add(settlement("req-000102", 4, 240));
    Job& before = w.add(settlement("req-000103", 6, 3));
    for (auto* j : {&long_a, &long_b, &before}) asio::co_spawn(w.io, user(w, j), asio::detached);
    auto running = [&](const Job& j) {
        int n = 0;
        for (auto& worker : w.all_workers)
            for (auto& [key, lot] : worker->lots) n += lot.job == j.id && lot.state == "running";
        return n == j.lots;
    };
    for (double until = w.record.started + 20; now() < until && !running(before);) co_await sleep_s(0.05);
    if (!running(before)) {
        w.record.line("the gang before the disruption did not start in time");
        co_return;
    }
    // While the short one runs, its machines begin to fail what they start, and the next gang is submitted.
    std::vector<std::shared_ptr<Worker>> sick;
    if (w.trouble)
        for (auto& worker : w.all_workers)
            for (auto& [key, lot] : worker->lots)
                if (lot.job == before.id && sick.size() < kSick) {
                    worker->sick = true;
                    sick.push_back(worker);
                    w.record.line("DISRUPTION %s fails every task that it starts", worker->name.c_str());
                    break;
                }
    Job& next = w.add(settlement("req-000104", 6, 4));
    double submitted = now();
    asio::co_spawn(w.io, user(w, &next), asio::detached);
    // The disruption ends once the gang has failed, or after 20 s.
    while (w.trouble && now() < submitted + 20 && !(next.starts >= next.lots && present(w, next) == 0)) co_await sleep_s(0.1);
    for (auto& worker : sick) worker->sick = false;
    double over = now();
    int starts = next.starts;
    w.record.line("DISRUPTION over, %s has %d starts", next.id.c_str(), starts);
    // From here on nothing is wrong with anything.
    double left = 0, since = 0;
    int least_room = 1000;
    for (double until = std::min(over + 95, w.record.started + 117); now() < until;) {
        co_await sleep_s(0.25);
        int room = machines_with_room(w, next);
        bool waiting = next.accepted_at > 0 && next.done_told_at == 0 && next.completed_at == 0 && present(w, next) == 0;
        if (!waiting || room < next.lots) {
            if (next.completed_at > 0) break;
            since = 0;
            least_room = 1000;
            continue;
        }
        if (since == 0) since = now();
        least_room = std::min(least_room, room);
        left = std::max(left, now() - since);
        if (left >= kLeftWaiting_s) {
            w.record.broke("left_waiting: " + next.id + " is not started for " + std::to_string(left) + " s after the disruption, beside " +
                           std::to_string(least_room) + " or more sound machines with room for one of its " + std::to_string(next.lots) + " tasks each");
            break;
        }
    }
    w.record.line("longest wait beside enough room %.1f s, started again %d, complete %s", left, next.starts - starts,
                  next.completed_at > 0 ? "yes" : "no");
    bool known = left >= kLeftWaiting_s || next.completed_at > 0;
    result = !w.record.broken.empty() ? 1 : known ? 0 : 2;
    w.io.stop();
}
}  // namespace

int backed_off(World& w) {
    int result = 2;
    w.add_controllers(3);
    asio::co_spawn(w.io, w.watch_rules(), asio::detached);
    asio::co_spawn(w.io, script(w, result), asio::detached);
    w.io.run_for(seconds(118));
    return result;
}
