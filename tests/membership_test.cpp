// Tests of decisions that depend on links: tables of cases, and every combination of working and
// broken links between three controllers, the key-value store and the workers.
#include "membership/membership.h"

#include <gtest/gtest.h>

#include <array>

#include "fixtures.h"
#include "membership/link_records.h"
#include "membership/worker_roster.h"

namespace weirmill {
namespace {

LinkStatus link_status(bool reaches_kv, uint32_t direct, uint32_t reachable, uint32_t known = 0,
                       std::vector<std::string> reachable_peers = {}) {
    return {true, reaches_kv, direct, reachable, known, std::move(reachable_peers)};
}

TEST(LinkPolicy, OnlyFarBetterPeerIsPreferred) {
    struct Row {
        const char* name;
        LinkStatus mine;
        std::vector<PeerView> others;
        const char* successor;  // null: the leader stays
    };
    LinkStatus old_version;  // a version that reports no links
    const Row rows[] = {
        {"all links work",
         link_status(true, 1000, 1000, 1000),
         {{"b", link_status(true, 3, 3), true}},
         nullptr},
        {"no workers, and a peer reaches them",
         link_status(true, 0, 0, 1000),
         {{"b", link_status(true, 900, 900), false}},
         "b"},
        {"workers relayed, and a peer has them directly",
         link_status(true, 0, 1000, 1000),
         {{"b", link_status(true, 950, 950), true}},
         "b"},
        {"no workers, and the peer lacks the key-value store",
         link_status(true, 0, 0, 1000),
         {{"b", link_status(false, 900, 900), true}},
         nullptr},
        {"no workers, and the peer runs an older version",
         link_status(true, 0, 0, 1000),
         {{"b", old_version, true}},
         nullptr},
        {"no controller reaches the workers",
         link_status(true, 0, 0, 1000),
         {{"b", link_status(true, 0, 0), true}, {"c", link_status(true, 4, 4), true}},
         nullptr},
        {"one zone of workers is unreachable",
         link_status(true, 700, 700, 1000),
         {{"b", link_status(true, 300, 300), true}},
         nullptr},
        {"half of the workers at each of two peers",
         link_status(true, 500, 500, 1000),
         {{"b", link_status(true, 500, 500), true}, {"c", link_status(true, 500, 500), true}},
         nullptr},
        {"less than a third of the workers left",
         link_status(true, 300, 300, 1000),
         {{"b", link_status(true, 700, 700), true}},
         "b"},
        {"single workers of a small fleet",
         link_status(true, 1, 1, 2),
         {{"b", link_status(true, 1, 1), true}},
         nullptr},
        {"one worker, which uses the peer",
         link_status(true, 0, 0, 1),
         {{"b", link_status(true, 1, 1), true}},
         "b"},
        {"all leases expired, no workers known",
         link_status(true, 0, 0, 0),
         {{"b", link_status(true, 200, 200), true}},
         "b"},
        {"a peer reaches the workers through a relay",
         link_status(true, 0, 0, 1000),
         {{"b", link_status(true, 0, 900), true}},
         "b"},
        {"all workers relayed, none direct anywhere",
         link_status(true, 0, 900, 1000),
         {{"b", link_status(true, 0, 900), true}},
         nullptr},
        {"the peer with more direct workers",
         link_status(true, 0, 0, 1000),
         {{"b", link_status(true, 500, 900), true}, {"c", link_status(true, 900, 900), true}},
         "c"},
        {"equal peers: by name, so that all choose alike",
         link_status(true, 0, 0, 1000),
         {{"c", link_status(true, 900, 900), true}, {"b", link_status(true, 900, 900), true}},
         "b"},
    };
    for (auto& row : rows) {
        auto successor = preferred_leader(row.mine, row.others);
        EXPECT_EQ(successor.value_or("-"), row.successor ? row.successor : "-") << row.name;
    }
}

TEST(LeadershipTransfer, PauseDoublesWithEachTransfer) {
    auto times = LinkTimeouts::from_settings(test::small_settings());
    TransferRecord last;
    double wall_time = 1e9;
    EXPECT_TRUE(may_transfer(last, times.transfer_pause_s, 0.1, wall_time));
    double pause_s = times.transfer_pause_s;
    for (uint32_t n = 1; n <= 8; ++n) {
        last = next_transfer(last, times.transfer_pause_s, "a", "b", wall_time);
        EXPECT_EQ(last.count, n);
        EXPECT_FALSE(may_transfer(last, times.transfer_pause_s, 0.1,
                                  wall_time + pause_s));  // within the clock error
        EXPECT_TRUE(may_transfer(last, times.transfer_pause_s, 0.1, wall_time + pause_s + 0.3))
            << n;
        wall_time += pause_s + 0.3;
        if (n < 6) pause_s *= 2;
    }
    // After a long time without transfers the count starts over.
    EXPECT_EQ(next_transfer(last, times.transfer_pause_s, "a", "b", wall_time + 9 * pause_s).count,
              1u);
}

TEST(LeadershipTransfer, PauseYieldsToLeasesAtStake) {
    // Guards against a pause between transfers during which all leases of the workers expire.
    const TransferLimits limits{24, 17, 27, 0.25};
    const double lease_s = 45, wall_time = 1e9;
    const LeasesAtStake none_lost{1607, 0, lease_s}, all_lost{1607, 1607, 32},
        half_lost{1000, 499, 1}, known_none{0, 0, 0};
    struct Row {
        const char* name;
        uint32_t count;
        double since_last_s;
        LeasesAtStake leases;
        double min_delay_s, max_delay_s;
    };
    const Row rows[] = {
        {"no transfer before", 0, 0, all_lost, 0, 0},
        {"after one transfer, nothing at stake", 1, 10, none_lost, 14, 14.5},
        {"third transfer in succession 37 s ago", 3, 37, all_lost, 0, 0},
        {"the same, nothing at stake", 3, 37, none_lost, 59, 59.5},
        {"the same, most workers reached", 3, 37, half_lost, 59, 59.5},
        {"no worker has reported yet", 3, 37, known_none, 0, 0},
        {"all lost just after a transfer", 3, 5, all_lost, 12, 12.5},
        {"the pause leaves enough time", 1, 20, {1607, 1607, 44}, 4, 4.5},
        {"a record with the largest count", 1000, 20, all_lost, 0, 0},
        {"a record from the future", 3, -3600, none_lost, 0, 0},
        {"a clock that is ahead within its error", 1, -0.4, none_lost, 24, 25},
    };
    for (auto& row : rows) {
        TransferRecord last{"a", "b", row.count, wall_time - row.since_last_s};
        double delay_s = transfer_delay(last, limits, row.leases, wall_time);
        EXPECT_GE(delay_s, row.min_delay_s) << row.name;
        EXPECT_LE(delay_s, row.max_delay_s) << row.name;
    }
}

TEST(LeadershipTransfer, SuccessorAnswersBeforeLeasesExpire) {
    // Guards against stepping down too late, whatever transfers came before, and against flapping.
    auto settings = test::small_settings();
    settings.lease_s = 45;
    settings.heartbeat_interval_s = 8;
    settings.peers.resize(2);
    auto times = LinkTimeouts::from_settings(settings);
    const TransferLimits limits{times.transfer_pause_s, times.controller_cycle_s, times.failover_s,
                                0.25};
    const double detected_after_s = times.direct_heartbeat_s + times.min_preference_s;
    for (uint32_t count = 0; count <= 6; ++count)
        // The workers are answered until `lost_at_s` after the transfer, and then lost.
        for (double lost_at_s = 0; lost_at_s < 1000; lost_at_s += 1) {
            double now = lost_at_s + detected_after_s;
            TransferRecord last{"a", "b", count, 1e9};
            LeasesAtStake leases{1000, 1000, settings.lease_s - detected_after_s};
            double delay_s = transfer_delay(last, limits, leases, 1e9 + now);
            EXPECT_GE(leases.first_expiry_s - delay_s, times.failover_s)
                << count << " " << lost_at_s;
        }
    // Links that are lost for each leader in turn move the leadership at most four times a minute.
    TransferRecord last;
    int transfers = 0;
    for (double at_s = 0; at_s < 60; at_s += 0.1) {
        if (transfer_delay(last, limits, {1000, 1000, 0}, 1e9 + at_s) > 0) continue;
        last = next_transfer(last, limits.min_pause_s, "a", "b", 1e9 + at_s);
        ++transfers;
    }
    EXPECT_LE(transfers, 4);
}

TEST(Membership, LeasesAtStakeAreThoseOfSilentWorkers) {
    // Guards against a pause that is judged by the wrong workers or the wrong lease.
    test::ClusterFixture w;
    auto times = LinkTimeouts::from_settings(w.settings);
    auto stake = [&] { return leases_at_stake(w.cluster, times, w.settings.lease_s, w.now); };
    EXPECT_EQ(stake().known_workers, 0u);
    EXPECT_EQ(stake().first_expiry_s, 0);
    const double silent_for_s[] = {0, 0.5, times.direct_heartbeat_s + 1, w.settings.lease_s - 2,
                                   w.settings.lease_s + 1};
    int n = 0;
    for (double silent_s : silent_for_s) {
        auto i = w.add_machine("vm-" + std::to_string(n++));
        w.cluster.machines[i]->last_heartbeat = w.now - silent_s;
    }
    auto& never_heard = *w.cluster.machines[w.add_machine("vm-never")];
    never_heard.last_heartbeat = 0;
    EXPECT_EQ(stake().known_workers, 4u);
    EXPECT_EQ(stake().unreached_workers, 2u);
    EXPECT_NEAR(stake().first_expiry_s, 2, 1e-6);
    // A worker whose answers are lost is heard and still loses its lease.
    auto& left = *w.cluster.machines[0];
    left.last_direct_heartbeat = w.now;
    auto links = leader_links(w.cluster, times, w.settings.lease_s, w.now);
    left.downlink.departures = 2;
    left.downlink.served_at = w.now - w.settings.lease_s + 1;
    EXPECT_EQ(stake().unreached_workers, 3u);
    EXPECT_NEAR(stake().first_expiry_s, 1, 1e-6);
    auto without = leader_links(w.cluster, times, w.settings.lease_s, w.now);
    EXPECT_EQ(without.direct_workers + 1, links.direct_workers);
    EXPECT_EQ(without.reachable_workers + 1, links.reachable_workers);
    EXPECT_EQ(without.known_workers, links.known_workers);
}

TEST(LeadershipTransfer, LaterTransferCounts) {
    // Guards against a controller that forgets a transfer of its own that was never stored.
    TransferRecord none, earlier{"c", "a", 1, 1e9}, later{"a", "b", 2, 1e9 + 30};
    EXPECT_EQ(later_transfer(none, none), none);
    EXPECT_EQ(later_transfer(none, later), later);
    EXPECT_EQ(later_transfer(earlier, none), earlier);
    EXPECT_EQ(later_transfer(earlier, later), later);
    EXPECT_EQ(later_transfer(later, earlier), later);
}

TEST(LinkPolicy, SuccessorCampaignsFirst) {
    TransferRecord to_b{"a", "b", 1, 1e9};
    std::vector<PeerView> c_reaches_workers{{"c", link_status(true, 900, 900), true}}, no_peers;
    struct Row {
        const char* self;
        TransferRecord last;
        double wall_time;
        const std::vector<PeerView>& others;
        double min_wait_s, max_wait_s;
    };
    const Row rows[] = {
        {"b", to_b, 1e9 + 1, c_reaches_workers, -1, -1},  // the successor does not wait
        {"c", to_b, 1e9 + 1, no_peers, 0.5, 0.7},         // waits for b
        {"a", to_b, 1e9 + 1, no_peers, 1.0, 1.4},         // the former leader waits for all others
        {"c", to_b, 1e9 + 60, no_peers, 0, 0},            // the transfer was long ago
        {"a", {}, 1e9, c_reaches_workers, 0.2, 0.3},      // c reaches the workers
        {"a", {}, 1e9, no_peers, 0, 0},
    };
    for (auto& row : rows) {
        double wait = campaign_wait(row.self, link_status(true, 0, 0), row.others, row.last, 0.1,
                                    row.wall_time);
        EXPECT_GE(wait, row.min_wait_s) << row.self;
        EXPECT_LE(wait, row.max_wait_s) << row.self;
    }
}

TEST(WorkerRoster, RelaysForWorkersWithoutLeader) {
    auto settings = test::small_settings();
    settings.lease_s = 18;
    struct Report {
        double at;
        uint64_t worker_token, leader_token;
        bool relayed;
    };
    struct Row {
        const char* name;
        std::vector<Report> reports;
        uint32_t without_leader;  // expected count for the leader of the last report
    };
    const Row rows[] = {
        {"it does not know the leader and stays there", {{0, 3, 7, false}}, 0},
        {"it knows the leader and still reports here", {{0, 7, 7, true}, {5, 7, 7, true}}, 1},
        {"it returns after its response timeout without the leader's token",
         {{0, 3, 7, false}, {6, 3, 7, true}},
         1},
        {"a new worker returns after its response timeout", {{0, 0, 7, false}, {6, 0, 7, true}}, 1},
        {"refused by a leader that is not ready yet",
         {{0, 3, 7, false}, {1.5, 3, 7, false}, {3, 3, 7, false}},
         0},
        {"refused each time",
         {{0, 3, 7, false}, {1.5, 3, 7, false}, {3, 3, 7, false}, {4.5, 3, 7, true}},
         1},
        {"redirected long ago", {{0, 3, 7, false}, {60, 3, 7, false}}, 0},
        {"redirected to a new leader", {{0, 7, 7, true}, {20, 7, 9, false}}, 0},
        {"the relay ends and it comes back from the leader",
         {{0, 7, 7, true}, {19, 7, 7, true}, {50, 7, 7, true}},
         1},
        {"no leader", {{0, 7, 0, false}}, 1},
    };
    for (auto& row : rows) {
        WorkerRoster roster(settings);
        for (auto& r : row.reports)
            EXPECT_EQ(roster.should_relay("vm-1", r.worker_token, r.leader_token, 100 + r.at),
                      r.relayed)
                << row.name << " at " << r.at;
        auto& last = row.reports.back();
        EXPECT_EQ(roster.workers_without_leader(last.leader_token, 10, 100 + last.at),
                  row.without_leader)
            << row.name;
        EXPECT_EQ(roster.workers_without_leader(0, 10, 100 + last.at + 11), 0u) << row.name;
    }
    // After the relay has ended the worker still counts, as it still can't use the leader.
    WorkerRoster roster(settings);
    EXPECT_TRUE(roster.should_relay("vm-1", 7, 7, 100));
    EXPECT_EQ(roster.relayed_workers(100), 1u);
    roster.end_relay("vm-1");
    EXPECT_EQ(roster.relayed_workers(100), 0u);
    EXPECT_EQ(roster.workers_without_leader(7, 10, 101), 1u);
}

TEST(Membership, LeaderCountsDirectAndRelayedWorkers) {
    test::ClusterFixture w;
    auto times = LinkTimeouts::from_settings(w.settings);
    for (int i = 0; i < 6; ++i) w.add_machine("vm-" + std::to_string(i));
    auto at = [&](int i) -> Machine& { return *w.cluster.machines[i]; };
    for (int i = 0; i < 6; ++i) at(i).last_heartbeat = at(i).last_direct_heartbeat = w.now;
    at(1).last_direct_heartbeat = w.now - times.direct_heartbeat_s - 1;  // now relayed
    at(2).last_direct_heartbeat = 0;                                     // always relayed
    at(3).last_direct_heartbeat = at(3).last_heartbeat =
        w.now - times.direct_heartbeat_s - 1;  // silent, lease valid
    at(4).last_direct_heartbeat = at(4).last_heartbeat =
        w.now - w.settings.lease_s - 1;                      // lease expired
    at(5).last_direct_heartbeat = at(5).last_heartbeat = 0;  // no heartbeat yet
    auto r = leader_links(w.cluster, times, w.settings.lease_s, w.now);
    EXPECT_EQ(r.direct_workers, 1u);
    EXPECT_EQ(r.reachable_workers, 3u);
    EXPECT_EQ(r.known_workers, 4u);
}

TEST(LinkRecords, RoundTripAndRejectMalformed) {
    auto r = link_status(true, 12, 40, 60, {"b", "c"});
    auto txn = link_record_transaction("a", r, 9);
    ASSERT_EQ(txn.changes.size(), 1u);
    EXPECT_EQ(txn.changes[0].key, "m/c/a");
    EXPECT_EQ(txn.changes[0].lease, 9u);
    EXPECT_EQ(parse_link_record(read::parse(txn.changes[0].value)), r);
    TransferRecord record{"a", "b", 3, 1.5e9};
    auto transfer = transfer_transaction("leader", 41, record);
    EXPECT_EQ(parse_transfer_record(read::parse(transfer.changes[1].value)), record);
    for (const char* text :
         {"[]", R"({"direct":-1})", R"({"direct":"x"})", R"({"hears":{}})", R"({"hears":[1]})"})
        EXPECT_THROW((void)parse_link_record(read::parse(text)), BadMessage) << text;
    for (const char* text :
         {"1", R"({"from":"a"})", R"({"from":"a","to":"","at":1})", R"({"from":"a","to":"b"})"})
        EXPECT_THROW((void)parse_transfer_record(read::parse(text)), BadMessage) << text;
}

TEST(LinkPolicy, CountsOfAnotherTermAreNoEvidence) {
    // Guards against a new leader that hands over because of counts from before its term.
    auto times = LinkTimeouts::from_settings(test::small_settings());
    struct Row {
        const char* name;
        uint64_t counted_for;
        LeadingTerm term;
        bool applies;
    };
    const double round_s = times.worker_round_s;
    const Row rows[] = {
        {"counted for this term", 11, {11, 0}, true},
        {"counted for this term, long ago elected", 11, {11, 1000}, true},
        {"counted for the previous leader", 4, {11, round_s - 0.1}, false},
        {"still counted for the previous leader", 4, {11, 1000}, false},
        {"counted for a later leader", 12, {11, 1000}, false},
        {"counted while there was no leader", 0, {11, round_s - 0.1}, false},
        {"an older version, after a whole round", 0, {11, round_s}, true},
    };
    for (auto& row : rows) {
        PeerView peer{"b", link_status(true, 900, 900), true};
        peer.links.leader_token = row.counted_for;
        auto accepted = peers_counting_for_term(std::vector{peer}, row.term, times);
        EXPECT_EQ(accepted.size(), row.applies ? 1u : 0u) << row.name;
        auto successor = preferred_leader(link_status(true, 0, 0), accepted);
        EXPECT_EQ(successor.has_value(), row.applies) << row.name;
    }
}

TEST(LinkPolicy, WorkerRoundCoversControllersThatDoNotAnswer) {
    // Guards against judging a new leader before workers that no controller answered reach it.
    for (size_t controllers = 1; controllers <= 5; ++controllers) {
        auto settings = test::small_settings();
        settings.peers.resize(controllers - 1);
        auto times = LinkTimeouts::from_settings(settings);
        // Protocol, "Workers": the interval is up to a quarter longer; the worker waits for each
        // response in vain and tries the next controller after a delay. The last one is the leader.
        double heartbeat_at_s = 1.25 * settings.heartbeat_interval_s;
        for (size_t tried = 1; tried < controllers; ++tried)
            heartbeat_at_s += settings.worker_response_timeout_s + settings.worker_failover_delay_s;
        EXPECT_LE(heartbeat_at_s, times.worker_round_s) << controllers;
        EXPECT_GE(times.worker_round_s, times.controller_cycle_s) << controllers;
    }
}

TEST(WorkerRoster, RelayForFormerLeaderIsNoEvidence) {
    // Guards against counting workers as lost to a new leader that they have not tried yet.
    auto settings = test::small_settings();
    settings.lease_s = 18;
    WorkerRoster roster(settings);
    EXPECT_TRUE(roster.should_relay("vm-1", 7, 7, 100));
    EXPECT_TRUE(roster.should_relay("vm-1", 7, 7, 104));
    // The worker is redirected to the next leader while the relay would have lasted.
    EXPECT_FALSE(roster.should_relay("vm-1", 7, 9, 106));
    EXPECT_EQ(roster.workers_without_leader(9, 10, 106), 0u);
    EXPECT_EQ(roster.relayed_workers(106), 0u);
    // It returns after its response timeout, so it can't use that leader either.
    EXPECT_TRUE(roster.should_relay("vm-1", 7, 9, 112));
    EXPECT_EQ(roster.workers_without_leader(9, 10, 112), 1u);
    EXPECT_EQ(roster.relayed_workers(112), 1u);
}

TEST(LinkRecords, RecordNamesLeaderOfItsCounts) {
    // Guards against a stale record that counts against a leader it was not about.
    auto links = link_status(true, 12, 40);
    links.leader_token = 1ULL << 40;
    auto txn = link_record_transaction("a", links, 9);
    EXPECT_EQ(parse_link_record(read::parse(txn.changes[0].value)), links);
    EXPECT_EQ(parse_link_record(read::parse(R"({"state":true,"direct":3})")).leader_token, 0u);
    for (const char* text : {R"({"token":-1})", R"({"token":"x"})", R"({"token":1.5})"})
        EXPECT_THROW((void)parse_link_record(read::parse(text)), BadMessage) << text;
}

// Every combination of links.

constexpr int kNodes = 3;
constexpr uint32_t kWorkers = 100;
const std::array<std::string, kNodes> kNames{"a", "b", "c"};

struct LinkMap {
    // Whether each controller reaches the key-value store, and whether the workers reach it.
    std::array<bool, kNodes> kv, workers;
    std::array<std::array<bool, kNodes>, kNodes> peer{};
    static LinkMap from_bits(int bits) {
        LinkMap c;
        for (int i = 0; i < kNodes; ++i) {
            c.kv[i] = bits >> i & 1;
            c.workers[i] = bits >> (3 + i) & 1;
            c.peer[i][(i + 1) % kNodes] = c.peer[(i + 1) % kNodes][i] = bits >> (6 + i) & 1;
        }
        return c;
    }
    // Returns whether any path of links leads from the workers to the key-value store, through any
    // number of controllers.
    bool path_exists() const {
        auto reached = workers;
        for (int round = 0; round < kNodes; ++round)
            for (int i = 0; i < kNodes; ++i)
                for (int k = 0; k < kNodes; ++k)
                    reached[k] = reached[k] || (reached[i] && peer[i][k]);
        for (int i = 0; i < kNodes; ++i)
            if (reached[i] && kv[i]) return true;
        return false;
    }
    // Returns how many hops the relay decisions take to bring a worker's heartbeat to this
    // controller: 1: direct, 2: through one peer, 3: through two peers, 0: not possible.
    int hops(int leader) const {
        if (workers[leader]) return 1;
        int best = 0;
        for (int c = 0; c < kNodes; ++c) {
            if (c == leader || !workers[c]) continue;
            if (peer[c][leader]) return 2;
            std::vector<PeerView> views;
            for (int p = 0; p < kNodes; ++p) {
                if (p == c || !peer[c][p]) continue;
                LinkStatus r = link_status(kv[p], 0, 0);
                for (int q = 0; q < kNodes; ++q)
                    if (q != p && peer[p][q]) r.reachable_peers.push_back(kNames[q]);
                views.push_back({kNames[p], r, true});
            }
            if (relay_to_leader(kNames[leader], views)) best = 3;
        }
        return best;
    }
};

// The decisions of the controllers once all pings and link records have been exchanged.
struct ElectionModel {
    const LinkMap& map;
    int leader;  // -1: none
    uint32_t direct(int i) const {
        if (leader == i) return map.workers[i] ? kWorkers : 0;
        // Workers that reach the leader stay with it.
        return map.workers[i] && (leader < 0 || !map.workers[leader]) ? kWorkers : 0;
    }
    LinkStatus own(int i) const {
        LinkStatus r = link_status(map.kv[i], direct(i), 0, leader == i ? kWorkers : 0);
        std::vector<PeerView> reachable;
        for (int k = 0; k < kNodes; ++k) {
            if (k == i || !map.peer[i][k]) continue;
            r.reachable_peers.push_back(kNames[k]);
            reachable.push_back({kNames[k], link_status(map.kv[k], direct(k), 0), true});
        }
        r.reachable_workers = leader == i ? (map.hops(i) ? kWorkers : 0)
                                          : workers_through_peers(r.direct_workers, reachable);
        return r;
    }
    std::vector<PeerView> views(int i) const {
        std::vector<PeerView> out;
        for (int k = 0; k < kNodes; ++k) {
            if (k == i) continue;
            auto reported = own(k);
            if (map.peer[i][k])
                out.push_back({kNames[k], reported, true});
            else if (map.kv[i] && map.kv[k] && k != leader && reported.reachable_workers > 0)
                out.push_back(
                    {kNames[k], reported, false});  // as Membership::membership_loop stores it
        }
        return out;
    }
    // Returns the next leader by the decisions of the controllers that reach the key-value store.
    // `tie_winner` wins a campaign with equal waits.
    int next_leader(int tie_winner) const {
        if (leader >= 0 && map.kv[leader]) {
            auto to = preferred_leader(own(leader), views(leader));
            return to ? static_cast<int>(std::find(kNames.begin(), kNames.end(), *to) -
                                         kNames.begin())
                      : leader;
        }
        if (leader >= 0) return -1;  // its lease expires
        int best = -1;
        double shortest_wait = 0;
        for (int n = 0; n < kNodes; ++n) {
            int i = (tie_winner + n) % kNodes;
            if (!map.kv[i]) continue;
            double wait = campaign_wait(kNames[i], own(i), views(i), {}, 0.1, 1e9);
            if (best < 0 || wait < shortest_wait) best = i, shortest_wait = wait;
        }
        return best;
    }
};

TEST(LinkPolicy, ServesWorkersInEveryLinkCombination) {
    int served = 0, direct = 0, no_path = 0, most_changes = 0;
    for (int bits = 0; bits < 512; ++bits) {
        auto map = LinkMap::from_bits(bits);
        int best = 0;  // least hops to a controller that reaches the key-value store; 0: none
        bool kv_reachable = false;
        for (int i = 0; i < kNodes; ++i) {
            if (!map.kv[i]) continue;
            kv_reachable = true;
            if (int h = map.hops(i); h && (!best || h < best)) best = h;
        }
        ASSERT_EQ(best > 0, map.path_exists()) << bits;
        for (int start = -1; start < kNodes; ++start)
            for (int tie_winner = 0; tie_winner < kNodes; ++tie_winner) {
                int leader = start, changes = 0;
                for (; changes < 10; ++changes) {
                    int next = ElectionModel{map, leader}.next_leader(tie_winner);
                    if (next == leader) break;
                    leader = next;
                }
                ASSERT_LT(changes, 10)
                    << "the leadership does not settle, " << bits << " from " << start;
                most_changes = std::max(most_changes, changes);
                ASSERT_EQ(leader >= 0, kv_reachable) << bits;
                if (!kv_reachable) continue;
                ASSERT_TRUE(map.kv[leader]) << bits;
                int hops = map.hops(leader);
                ASSERT_EQ(hops > 0, best > 0)
                    << "links " << bits << ", led by " << leader << " from " << start;
                // If a controller reaches the workers directly, such a controller leads.
                ASSERT_EQ(hops == 1, best == 1)
                    << "links " << bits << ", led by " << leader << " from " << start;
            }
        if (!kv_reachable) continue;
        ++(best == 0 ? no_path : served);
        direct += best == 1;
    }
    // In 448 combinations a controller reaches the key-value store. In 56 of these the workers
    // reach no controller. In 30 more they reach only controllers without a path to one that
    // reaches the key-value store. The tasks can't be kept in these 86 combinations.
    EXPECT_EQ(served, 362);
    EXPECT_EQ(no_path, 86);
    EXPECT_EQ(direct, 296);
    EXPECT_LE(most_changes, 3);
}

}  // namespace
}  // namespace weirmill
