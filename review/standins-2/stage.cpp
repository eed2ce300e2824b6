// Runs one case: stage SCENARIO FOLDER WORK-FOLDER PROGRAM PROPERTIES, with TROUBLE=0 in the environment without the disruption.
// Writes FOLDER/record.txt. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <signal.h>

#include <iostream>

#include "cases.h"

namespace {
// The site fraser-gavel-next, with few machines.
Settings fraser_gavel_next() {
    Settings s;
    s.report_s = 8, s.lease_s = 45, s.gang_wait_s = 50, s.gang_peer_s = 4, s.cancel_s = 75;
    s.rps = 100, s.write_rps = 18, s.value_kb = 4, s.txn_ops = 12;
    s.has_next = true, s.next_write_rps = 15, s.next_value_kb = 2, s.next_txn_ops = 4;
    s.cloud_rps = 6, s.list_lag_s = 5;
    s.zones = {"okanagan"};
    s.teams = {{"yardops", 0, 0, 0, 0}};
    s.types = {{"cedar", 16, 0, 64, 1.15, 0.43, 25, 0.6, 15, 40, 10}, {"osprey", 12, 2, 72, 5.91, 1.98, 150, 0.4, 25, 20, 10}};
    s.objectives =
        "[[deployment.objectives]]\nkind = \"wait\"\nclass = \"settlement\"\nwithin_s = 30.0\nshare = 0.97\n"
        "[[deployment.objectives]]\nkind = \"finished\"\nclass = \"settlement\"\nwithin_s = 250.0\nshare = 0.99\n";
    return s;
}
}  // namespace

int main(int argc, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    if (argc < 6) return 2;
    std::string scenario = argv[1], folder = argv[2];
    asio::io_context io(1);
    World w(io, fraser_gavel_next(), argv[3], argv[4], argv[5]);
    auto* trouble = std::getenv("TROUBLE");
    w.trouble = !(trouble && std::string(trouble) == "0");
    w.record.file = std::fopen((folder + "/record.txt").c_str(), "w");
    if (!w.record.file) return 2;
    w.record.line("scenario %s, trouble %s", scenario.c_str(), w.trouble ? "on" : "off");
    rng().seed(std::random_device{}());
    int result = 2;
    if (scenario == "backed-off") result = backed_off(w);
    w.stop_all();
    w.record.line("result %d", result);
    std::cout << scenario << " trouble=" << w.trouble << " result=" << result << " broken=" << w.record.broken.size() << "\n";
    for (auto& b : w.record.broken) std::cout << "  " << b << "\n";
    std::cout.flush();
    std::_Exit(result);
}
