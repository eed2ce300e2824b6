// Machines that fail every task that they start, for some seconds. A gang of six tasks is started on six of them.
#include <algorithm>

#include "cases.h"

namespace {
constexpr int kMachines = 16, kSick = 6;

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
Async<void> script(World& w, int& result) {
    for (int i = 0; i < kMachines; ++i) w.rent("cedar", "okanagan", false, 0);
    for (double until = now() + 15; w.leader() < 0 && now() < until;) co_await sleep_s(0.1);
    // Two long gangs take ten machines, a short one the other six.
    Job& long_a = w.add(settlement("req-000101", 6, 240));
    Job& long_b = w.add(settlement("req-000102", 4, 240));
    Job& before = w.add(settlement("req-000103", 6, 3));
    for (auto* j : {&long_a, &long_b, &before}) asio::co_spawn(w.io, user(w, j), asio::detached);
    for (double until = w.record.started + 20; now() < until && !all_running(w, before);) co_await sleep_s(0.05);
    if (!all_running(w, before)) {
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
    w.record.line("%s was started %d times before", next.id.c_str(), starts);
    result = co_await watch_waiting(w, next, over);
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
