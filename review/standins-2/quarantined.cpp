// One machine that fails every task that it starts, for some seconds. A job of one task is started on it, in the only room that is left.
#include <algorithm>

#include "cases.h"

namespace {
Job lotphotos(const char* id, int lots, double run_s) {
    Job j;
    j.id = id;
    j.team = "yardops";
    j.cls = "lotphotos";
    j.urgency = "low";
    j.lots = lots;
    j.cores = 5;
    j.gpus = 1;
    j.mem = 27;
    j.bundle = "img-photos";
    j.size_gb = 0.4;
    j.run_s = j.expected_s = run_s;
    return j;
}
Async<void> script(World& w, int& result) {
    // All machines that the site's cloud has are rented already.
    for (int i = 0; i < 10; ++i) w.rent("osprey", "okanagan", false, 0);
    for (int i = 0; i < 3; ++i) w.rent("osprey", "okanagan", true, 0);
    for (int i = 0; i < 12; ++i) w.rent("cedar", "okanagan", false, 0);
    for (int i = 0; i < 3; ++i) w.rent("cedar", "okanagan", true, 0);
    for (double until = now() + 15; w.leader() < 0 && now() < until;) co_await sleep_s(0.1);
    // Three jobs of 25 tasks take all GPUs but one.
    std::vector<Job*> earlier{&w.add(lotphotos("req-000201", 9, 240)), &w.add(lotphotos("req-000202", 8, 240)),
                              &w.add(lotphotos("req-000203", 8, 240))};
    for (auto* j : earlier) asio::co_spawn(w.io, user(w, j), asio::detached);
    auto settled = [&] { return std::all_of(earlier.begin(), earlier.end(), [&](Job* j) { return all_running(w, *j); }); };
    for (double until = w.record.started + 18; now() < until && !settled();) co_await sleep_s(0.05);
    if (!settled()) {
        w.record.line("the jobs before the disruption did not start in time");
        co_return;
    }
    Job& next = w.add(lotphotos("req-000204", 1, 4));
    std::shared_ptr<Worker> sick;
    for (auto& worker : w.all_workers)
        if (worker->type.gpus > 0 && worker->lots.size() == 1) sick = worker;
    if (!sick) {
        w.record.line("no machine has room for one more task");
        co_return;
    }
    if (w.trouble) {
        sick->sick = true;
        w.record.line("DISRUPTION %s fails every task that it starts", sick->name.c_str());
    }
    double submitted = now();
    asio::co_spawn(w.io, user(w, &next), asio::detached);
    while (w.trouble && now() < submitted + 20 && !(next.starts > 0 && present(w, next) == 0)) co_await sleep_s(0.1);
    sick->sick = false;
    w.record.line("DISRUPTION over, %s was started %d times", next.id.c_str(), next.starts);
    result = co_await watch_waiting(w, next, now());
    w.io.stop();
}
}  // namespace

int quarantined(World& w) {
    int result = 2;
    w.add_controllers(3);
    asio::co_spawn(w.io, w.watch_rules(), asio::detached);
    asio::co_spawn(w.io, script(w, result), asio::detached);
    w.io.run_for(seconds(118));
    return result;
}
