// Late last jobs of pipelines after a crash of all controllers.
#include "platform.h"

namespace {
std::string job_id(int n) {
    char text[16];
    std::snprintf(text, sizeof text, "req-%06d", n);
    return text;
}
Job small_job(int n, const char* cls) {
    Job j;
    j.id = job_id(n);
    j.team = "yardops";
    j.cls = cls;
    j.urgency = "low";
    j.run_s = 1;
    j.expected_s = 1;
    j.cores = 1;
    j.mem = 3.2;
    j.bundle = "img-1";
    j.size_gb = 0.1;
    return j;
}
// Submits the job and polls it until it is over.
Async<void> user(World& w, Job* j, double every_s) {
    int status = co_await w.submit(j);
    if (status != 200 && status != 201) co_return;
    while (j->done_told_at == 0 && j->cancelled_told_at == 0) {
        co_await sleep_s(every_s * uniform(0.8, 1.2));
        co_await w.poll(j);
    }
}
Async<void> script(World& w, int& result) {
    const int kStages = 200, kLast = std::getenv("NL") ? std::atoi(std::getenv("NL")) : 6, kNamed = std::getenv("NN") ? std::atoi(std::getenv("NN")) : 33, kPlain = std::getenv("NP") ? std::atoi(std::getenv("NP")) : 20;
    auto at = [&](double s) { return sleep_s(w.record.started + s - now()); };
    for (int i = 0; i < 9; ++i) w.rent("cedar", "okanagan", false, 0);
    for (double until = now() + 20; w.leader() < 0 && now() < until;) co_await sleep_s(0.2);
    if (w.leader() < 0) co_return;
    co_await sleep_s(1);
    // The earlier stages: all are over before the disruption.
    for (int i = 0; i < kStages; ++i) {
        asio::co_spawn(w.io, user(w, &w.add(small_job(i + 1, "consignments")), 5), asio::detached);
        co_await sleep_s(0.12);
    }
    for (double until = w.record.started + 48; now() < until;) {
        co_await sleep_s(0.5);
        size_t over = 0;
        for (auto& [id, j] : w.jobs) over += j->done_told_at > 0;
        if (over == kStages) break;
    }
    for (auto& [id, j] : w.jobs)
        if (j->done_told_at == 0) {
            w.record.line("%s is not over", id.c_str());
            co_return;
        }
    co_await at(49);
    if (w.trouble) {
        w.record.line("DISRUPTION all controllers crash, back after 3 s");
        for (int i = 0; i < 3; ++i) asio::co_spawn(w.io, w.crash(i, 3), asio::detached);
    }
    co_await at(54);
    // The last stages of the pipelines, and ordinary jobs beside them.
    std::vector<Job*> plain;
    for (int i = 0; i < kLast; ++i) {
        Job j = small_job(1000 + i, "bidderalerts");
        for (int k = 0; k < kNamed; ++k) j.awaits.push_back(job_id((i * kNamed + k) % kStages + 1));
        asio::co_spawn(w.io, user(w, &w.add(j), 5), asio::detached);
    }
    for (int i = 0; i < kPlain; ++i) {
        plain.push_back(&w.add(small_job(2000 + i, "consignments")));
        asio::co_spawn(w.io, user(w, plain.back(), 5), asio::detached);
        co_await sleep_s(std::getenv("NP") ? 0.1 : 0.25);
    }
    co_await at(114);
    int started = 0, late = 0;
    for (auto& [id, j] : w.jobs) {
        if (j->accepted_at == 0) w.record.line("%s was not accepted", id.c_str());
        started += j->starts > 0;
        if (j->accepted_at > 0 && j->done_told_at == 0) {
            ++late;
            w.record.line("%s accepted at %.1f, starts %d, complete at %.1f, last answer %s", id.c_str(), j->accepted_at - w.record.started,
                          j->starts, j->completed_at > 0 ? j->completed_at - w.record.started : 0, j->last_status.c_str());
        }
    }
    w.record.line("jobs %zu, started %d, accepted and not called done %d", w.jobs.size(), started, late);
    result = w.record.broken.empty() ? 0 : 1;
}
}  // namespace

int stalled_leader(World& w) {
    int result = 2;
    w.add_controllers(3);
    asio::co_spawn(w.io, w.watch_rules(), asio::detached);
    asio::co_spawn(w.io, script(w, result), asio::detached);
    w.io.run_for(seconds(116));
    return result;
}
