// The cost of the leader's decisions at the size of a large site: for instruction counts
// (docs/measurements.md).
//   valgrind --tool=callgrind --toggle-collect='weirmill::place_waiting*' target/bench/pass_bench place
#include <chrono>
#include <iostream>
#include <random>
#include <string>

#include "coordination/placement.h"
#include "coordination/preemption.h"
#include "coordination/sizing.h"

using namespace weirmill;

namespace {

Settings large_site() {
    Settings s;
    s.zones = {"a"};
    s.teams = {{"red", 0, 0, 0, 0}};
    s.report_s = 8;
    s.mem_mb = 200;
    s.value_kb = 4;
    return s;
}

// 2,000 machines, most of them full, and 150 jobs that wait.
struct Site {
    Settings settings = large_site();
    Tables tables{settings};
    std::mt19937 random{7};

    explicit Site(double now) {
        MachineType cpu{"cpu", {16000, 0, 64000}, 25, 0.6, 1.15, 0.43, 15, {"a"}};
        MachineType gpu{"gpu", {12000, 2000, 72000}, 150, 0.4, 5.91, 1.98, 25, {"a"}};
        tables.set_types({cpu, gpu});
        for (int i = 0; i < 2000; ++i) {
            auto& m = *tables.machines[tables.add_machine("vm-" + std::to_string(i), now)];
            tables.describe_machine(m, i % 2 ? "gpu" : "cpu", "a", i % 8 == 1);
            m.up = true;
            m.session = 1;
            m.up_at = m.last_report = now;
        }
        for (int j = 0; j < 400; ++j) {
            JobSpec s;
            bool gang = j % 2;
            s.id = "req-" + std::to_string(j);
            s.kind = gang ? JobKind::Gang : JobKind::Array;
            s.priority = gang ? Priority::High : Priority::Low;
            s.tasks = gang ? 4 + random() % 20 : 5 + random() % 30;
            s.need = gang ? Resources{15000, 0, 51000} : Resources{5000, 1000, 27000};
            s.team = 0;
            s.job_class = tables.names.classes.intern(gang ? "gang" : "array");
            s.image = tables.names.images.intern("image-" + std::to_string(random() % 16));
            s.image_gb = 4;
            s.estimate_s = 80;
            s.deadline_s = gang ? -1 : 200;
            s.spot = !gang;
            s.one_zone = gang;
            auto index = tables.add_job(std::move(s), 1000, now);
            tables.jobs[index]->version = 1;
            if (j == 249)
                place_waiting(
                    tables, [](const Machine&) { return true; }, now, 100000);
        }
    }
};

}  // namespace

int main(int argc, char** argv) {
    const std::string what = argc > 1 ? argv[1] : "all";
    double now = 100;
    Site site(now);
    Usable usable = [](const Machine& m) { return m.up; };
    size_t waiting = waiting_jobs(site.tables, now).size();
    auto timed = [&](const char* name, auto&& decide) {
        if (what != "all" && what != name) return;
        auto started = std::chrono::steady_clock::now();
        size_t n = decide();
        std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - started;
        std::cout << name << ": " << n << " decided, " << waiting << " jobs waiting, " << took.count()
                  << " ms\n";
    };
    timed("rent", [&] { return plan_rentals(site.tables, usable, {0.3, 8}, now).size(); });
    timed("preempt", [&] { return plan_preemption(site.tables, usable, now).clearings.size(); });
    timed("close", [&] { return size_t{plan_closing(site.tables, usable, now) != kNone}; });
    timed("place", [&] { return place_waiting(site.tables, usable, now).size(); });
    timed("place", [&] { return place_waiting(site.tables, usable, now).size(); });
}
