// Decisions about links: tables of cases, and every combination of links up and down between three
// controllers, the state service and the workers, with what must come of it.
#include "membership/membership.h"

#include <gtest/gtest.h>

#include <array>

#include "fixtures.h"
#include "membership/link_records.h"
#include "membership/worker_roster.h"

namespace weirmill {
namespace {

LinkStatus links(bool state, uint32_t direct, uint32_t reach, uint32_t known = 0,
                 std::vector<std::string> hears = {}) {
    return {true, state, direct, reach, known, std::move(hears)};
}

TEST(Links, ALeaderYieldsOnlyToOneThatServesFarMoreWorkers) {
    struct Row {
        const char* what;
        LinkStatus mine;
        std::vector<PeerView> others;
        const char* to;  // null: it stays
    };
    LinkStatus old;  // a version that says nothing of links
    const Row rows[] = {
        {"all is well", links(true, 1000, 1000, 1000), {{"b", links(true, 3, 3), true}}, nullptr},
        {"deaf, and a peer hears all",
         links(true, 0, 0, 1000),
         {{"b", links(true, 900, 900), false}},
         "b"},
        {"deaf, and relayed for: workers still come to the peer",
         links(true, 0, 1000, 1000),
         {{"b", links(true, 950, 950), true}},
         "b"},
        {"deaf, and the peer has not the state service",
         links(true, 0, 0, 1000),
         {{"b", links(false, 900, 900), true}},
         nullptr},
        {"deaf, and the peer is of an older version",
         links(true, 0, 0, 1000),
         {{"b", old, true}},
         nullptr},
        {"all workers are silent to all",
         links(true, 0, 0, 1000),
         {{"b", links(true, 0, 0), true}, {"c", links(true, 4, 4), true}},
         nullptr},
        {"a zone of workers is cut from it",
         links(true, 700, 700, 1000),
         {{"b", links(true, 300, 300), true}},
         nullptr},
        {"half from one controller, half from another",
         links(true, 500, 500, 1000),
         {{"b", links(true, 500, 500), true}, {"c", links(true, 500, 500), true}},
         nullptr},
        {"a third is left to it",
         links(true, 300, 300, 1000),
         {{"b", links(true, 700, 700), true}},
         "b"},
        {"a few stragglers of a small fleet",
         links(true, 1, 1, 2),
         {{"b", links(true, 1, 1), true}},
         nullptr},
        {"one worker, gone to the peer",
         links(true, 0, 0, 1),
         {{"b", links(true, 1, 1), true}},
         "b"},
        {"its leases ran out, nobody is known any more",
         links(true, 0, 0, 0),
         {{"b", links(true, 200, 200), true}},
         "b"},
        {"a peer reaches them through another",
         links(true, 0, 0, 1000),
         {{"b", links(true, 0, 900), true}},
         "b"},
        {"relays serve, and nobody hears them by itself",
         links(true, 0, 900, 1000),
         {{"b", links(true, 0, 900), true}},
         nullptr},
        {"the one that more come to",
         links(true, 0, 0, 1000),
         {{"b", links(true, 500, 900), true}, {"c", links(true, 900, 900), true}},
         "c"},
        {"equal ones: by name, so that all choose alike",
         links(true, 0, 0, 1000),
         {{"c", links(true, 900, 900), true}, {"b", links(true, 900, 900), true}},
         "b"},
    };
    for (auto& row : rows) {
        auto to = preferred_leader(row.mine, row.others);
        EXPECT_EQ(to.value_or("-"), row.to ? row.to : "-") << row.what;
    }
}

TEST(Links, HandOversFollowEachOtherMoreAndMoreRarely) {
    auto times = LinkTimeouts::of(test::small_settings());
    TransferRecord last;
    double wall = 1e9;
    EXPECT_TRUE(may_transfer(last, times.transfer_pause_s, 0.1, wall));
    double hold = times.transfer_pause_s;
    for (uint32_t n = 1; n <= 8; ++n) {
        last = next_transfer(last, times.transfer_pause_s, "a", "b", wall);
        EXPECT_EQ(last.count, n);
        EXPECT_FALSE(
            may_transfer(last, times.transfer_pause_s, 0.1, wall + hold));  // clocks differ
        EXPECT_TRUE(may_transfer(last, times.transfer_pause_s, 0.1, wall + hold + 0.3)) << n;
        wall += hold + 0.3;
        if (n < 6) hold *= 2;
    }
    // Long after, the links have come to rest.
    EXPECT_EQ(next_transfer(last, times.transfer_pause_s, "a", "b", wall + 9 * hold).count, 1u);
}

TEST(Links, WhoWasYieldedToCampaignsFirstAndTheDeafLast) {
    TransferRecord to_b{"a", "b", 1, 1e9};
    std::vector<PeerView> downlink{{"c", links(true, 900, 900), true}}, nobody;
    struct Row {
        const char* self;
        TransferRecord last;
        double wall;
        const std::vector<PeerView>& others;
        double low, high;
    };
    const Row rows[] = {
        {"b", to_b, 1e9 + 1, downlink, -1, -1},  // it is its turn, whatever else
        {"c", to_b, 1e9 + 1, nobody, 0.5, 0.7},  // lets b go first
        {"a", to_b, 1e9 + 1, nobody, 1.0, 1.4},  // and all the others
        {"c", to_b, 1e9 + 60, nobody, 0, 0},     // that was another time
        {"a", {}, 1e9, downlink, 0.2, 0.3},      // c hears the workers
        {"a", {}, 1e9, nobody, 0, 0},
    };
    for (auto& row : rows) {
        double wait =
            campaign_wait(row.self, links(true, 0, 0), row.others, row.last, 0.1, row.wall);
        EXPECT_GE(wait, row.low) << row.self;
        EXPECT_LE(wait, row.high) << row.self;
    }
}

TEST(Links, ARosterRelaysForWorkersThatCannotDoWithTheLeader) {
    auto settings = test::small_settings();
    settings.lease_s = 18;
    struct Visit {
        double at;
        uint64_t seen, leader;
        bool relays;
    };
    struct Row {
        const char* what;
        std::vector<Visit> visits;
        uint32_t stranded;  // with the last visit's leader
    };
    const Row rows[] = {
        {"it has not met the leader: it is sent there, and stays", {{0, 3, 7, false}}, 0},
        {"it knows the leader and yet comes", {{0, 7, 7, true}, {5, 7, 7, true}}, 1},
        {"sent there, it comes back after its own patience, without its token",
         {{0, 3, 7, false}, {6, 3, 7, true}},
         1},
        {"a new worker likewise", {{0, 0, 7, false}, {6, 0, 7, true}}, 1},
        {"turned away by a leader that is not ready yet",
         {{0, 3, 7, false}, {1.5, 3, 7, false}, {3, 3, 7, false}},
         0},
        {"turned away each time",
         {{0, 3, 7, false}, {1.5, 3, 7, false}, {3, 3, 7, false}, {4.5, 3, 7, true}},
         1},
        {"sent long ago", {{0, 3, 7, false}, {60, 3, 7, false}}, 0},
        {"another leader since: it is sent there", {{0, 7, 7, true}, {20, 7, 9, false}}, 0},
        {"the relay ends: it tries the leader again, and comes back",
         {{0, 7, 7, true}, {19, 7, 7, true}, {50, 7, 7, true}},
         1},
        {"nobody leads", {{0, 7, 0, false}}, 1},
    };
    for (auto& row : rows) {
        WorkerRoster roster(settings);
        for (auto& v : row.visits)
            EXPECT_EQ(roster.should_relay("vm-1", v.seen, v.leader, 100 + v.at), v.relays)
                << row.what << " at " << v.at;
        auto& last = row.visits.back();
        EXPECT_EQ(roster.stranded(last.leader, 10, 100 + last.at), row.stranded) << row.what;
        EXPECT_EQ(roster.stranded(0, 10, 100 + last.at + 11), 0u) << row.what;
    }
    // Given up, it is still counted: that is what shows that the leader serves it not.
    WorkerRoster roster(settings);
    EXPECT_TRUE(roster.should_relay("vm-1", 7, 7, 100));
    EXPECT_EQ(roster.relayed(100), 1u);
    roster.end_relay("vm-1");
    EXPECT_EQ(roster.relayed(100), 0u);
    EXPECT_EQ(roster.stranded(7, 10, 101), 1u);
}

TEST(Links, ALeaderCountsWhatCameByItselfAndWhatWasRelayed) {
    test::ClusterFixture w;
    auto times = LinkTimeouts::of(w.settings);
    for (int i = 0; i < 6; ++i) w.add_machine("vm-" + std::to_string(i));
    auto at = [&](int i) -> Machine& { return *w.cluster.machines[i]; };
    for (int i = 0; i < 6; ++i) at(i).last_heartbeat = at(i).direct_at = w.now;
    at(1).direct_at = w.now - times.direct_heartbeat_s - 1;  // relayed since
    at(2).direct_at = 0;                                     // relayed always
    at(3).direct_at = at(3).last_heartbeat =
        w.now - times.direct_heartbeat_s - 1;  // silent, its lease stands
    at(4).direct_at = at(4).last_heartbeat = w.now - w.settings.lease_s - 1;  // over
    at(5).direct_at = at(5).last_heartbeat = 0;                               // never heard
    auto r = leader_links(w.cluster, times, w.settings.lease_s, w.now);
    EXPECT_EQ(r.direct_workers, 1u);
    EXPECT_EQ(r.reachable_workers, 3u);
    EXPECT_EQ(r.known_workers, 4u);
}

TEST(Links, RecordsAreReadAsWrittenAndBrokenOnesRefused) {
    auto r = links(true, 12, 40, 60, {"b", "c"});
    auto txn = link_record("a", r, 9);
    ASSERT_EQ(txn.changes.size(), 1u);
    EXPECT_EQ(txn.changes[0].key, "m/c/a");
    EXPECT_EQ(txn.changes[0].lease, 9u);
    EXPECT_EQ(parse_link_record(read::parse(txn.changes[0].value)), r);
    TransferRecord h{"a", "b", 3, 1.5e9};
    auto step_down = transfer_transaction("leader", 41, h);
    EXPECT_EQ(parse_transfer_record(read::parse(step_down.changes[1].value)), h);
    for (const char* text :
         {"[]", R"({"direct":-1})", R"({"direct":"x"})", R"({"hears":{}})", R"({"hears":[1]})"})
        EXPECT_THROW((void)parse_link_record(read::parse(text)), BadMessage) << text;
    for (const char* text :
         {"1", R"({"from":"a"})", R"({"from":"a","to":"","at":1})", R"({"from":"a","to":"b"})"})
        EXPECT_THROW((void)parse_transfer_record(read::parse(text)), BadMessage) << text;
}

// ---- every combination of links ----

constexpr int kNodes = 3;
constexpr uint32_t kFleet = 100;
const std::array<std::string, kNodes> kNames{"a", "b", "c"};

struct Cut {
    std::array<bool, kNodes> state, workers;
    std::array<std::array<bool, kNodes>, kNodes> peer{};
    static Cut of(int bits) {
        Cut c;
        for (int i = 0; i < kNodes; ++i) {
            c.state[i] = bits >> i & 1;
            c.workers[i] = bits >> (3 + i) & 1;
            c.peer[i][(i + 1) % kNodes] = c.peer[(i + 1) % kNodes][i] = bits >> (6 + i) & 1;
        }
        return c;
    }
    // Whether any chain of links goes from the workers to the state service, whoever would have to
    // pass it on.
    bool chain() const {
        auto reached = workers;
        for (int again = 0; again < kNodes; ++again)
            for (int i = 0; i < kNodes; ++i)
                for (int k = 0; k < kNodes; ++k)
                    reached[k] = reached[k] || (reached[i] && peer[i][k]);
        for (int i = 0; i < kNodes; ++i)
            if (reached[i] && state[i]) return true;
        return false;
    }
    // How the decisions of today take a worker's report to this controller: 1 by itself, 2 through
    // a peer, 3 through two; 0: not at all.
    int hops(int leader) const {
        if (workers[leader]) return 1;
        int best = 0;
        for (int c = 0; c < kNodes; ++c) {
            if (c == leader || !workers[c]) continue;
            if (peer[c][leader]) return 2;
            std::vector<PeerView> views;
            for (int p = 0; p < kNodes; ++p) {
                if (p == c || !peer[c][p]) continue;
                LinkStatus r = links(state[p], 0, 0);
                for (int q = 0; q < kNodes; ++q)
                    if (q != p && peer[p][q]) r.reachable_peers.push_back(kNames[q]);
                views.push_back({kNames[p], r, true});
            }
            if (relay_to_leader(kNames[leader], views)) best = 3;
        }
        return best;
    }
};

// What each controller knows once its pings and records have gone round.
struct Round {
    const Cut& cut;
    int leader;  // -1: nobody
    uint32_t direct(int i) const {
        if (leader == i) return cut.workers[i] ? kFleet : 0;
        // Those that can do with the leader stay with it.
        return cut.workers[i] && (leader < 0 || !cut.workers[leader]) ? kFleet : 0;
    }
    LinkStatus own(int i) const {
        LinkStatus r = links(cut.state[i], direct(i), 0, leader == i ? kFleet : 0);
        std::vector<PeerView> heard;
        for (int k = 0; k < kNodes; ++k) {
            if (k == i || !cut.peer[i][k]) continue;
            r.reachable_peers.push_back(kNames[k]);
            heard.push_back({kNames[k], links(cut.state[k], direct(k), 0), true});
        }
        r.reachable_workers = leader == i ? (cut.hops(i) ? kFleet : 0)
                                          : workers_through_peers(r.direct_workers, heard);
        return r;
    }
    std::vector<PeerView> views(int i) const {
        std::vector<PeerView> out;
        for (int k = 0; k < kNodes; ++k) {
            if (k == i) continue;
            auto said = own(k);
            if (cut.peer[i][k])
                out.push_back({kNames[k], said, true});
            else if (cut.state[i] && cut.state[k] && k != leader && said.reachable_workers > 0)
                out.push_back(
                    {kNames[k], said, false});  // as Membership::membership_loop leaves it there
        }
        return out;
    }
    // Who leads next, by the decisions of those who can decide; `favoured` wins a tie of a
    // campaign.
    int next(int favoured) const {
        if (leader >= 0 && cut.state[leader]) {
            auto to = preferred_leader(own(leader), views(leader));
            return to ? static_cast<int>(std::find(kNames.begin(), kNames.end(), *to) -
                                         kNames.begin())
                      : leader;
        }
        if (leader >= 0) return -1;  // its lease runs out
        int best = -1;
        double least = 0;
        for (int n = 0; n < kNodes; ++n) {
            int i = (favoured + n) % kNodes;
            if (!cut.state[i]) continue;
            double wait = campaign_wait(kNames[i], own(i), views(i), {}, 0.1, 1e9);
            if (best < 0 || wait < least) best = i, least = wait;
        }
        return best;
    }
};

TEST(Links, InEveryCombinationTheWorkersAreServedWhereverAChainOfLinksStands) {
    int served = 0, direct = 0, no_chain = 0, most_changes = 0;
    for (int bits = 0; bits < 512; ++bits) {
        auto cut = Cut::of(bits);
        int best = 0;  // of any controller with the state service: 1 by itself, 2, 3; 0: none
        bool state = false;
        for (int i = 0; i < kNodes; ++i) {
            if (!cut.state[i]) continue;
            state = true;
            if (int h = cut.hops(i); h && (!best || h < best)) best = h;
        }
        ASSERT_EQ(best > 0, cut.chain()) << bits;
        for (int start = -1; start < kNodes; ++start)
            for (int favoured = 0; favoured < kNodes; ++favoured) {
                int leader = start, changes = 0;
                for (; changes < 10; ++changes) {
                    int next = Round{cut, leader}.next(favoured);
                    if (next == leader) break;
                    leader = next;
                }
                ASSERT_LT(changes, 10) << "it flaps, " << bits << " from " << start;
                most_changes = std::max(most_changes, changes);
                ASSERT_EQ(leader >= 0, state) << bits;
                if (!state) continue;
                ASSERT_TRUE(cut.state[leader]) << bits;
                int hops = cut.hops(leader);
                ASSERT_EQ(hops > 0, best > 0)
                    << "links " << bits << ", led by " << leader << " from " << start;
                // Where one hears the workers itself, such a one leads.
                ASSERT_EQ(hops == 1, best == 1)
                    << "links " << bits << ", led by " << leader << " from " << start;
            }
        if (!state) continue;
        ++(best == 0 ? no_chain : served);
        direct += best == 1;
    }
    // 448 combinations have a controller with the state service. In 56 of these the workers reach
    // no controller, in 30 more none that has a way, over others, to one with the state service:
    // their tasks can't be kept.
    EXPECT_EQ(served, 362);
    EXPECT_EQ(no_chain, 86);
    EXPECT_EQ(direct, 296);
    EXPECT_LE(most_changes, 3);
}

}  // namespace
}  // namespace weirmill
