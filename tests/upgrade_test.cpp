// Two versions on each other's data: the one before pipelines, as its own records and frames stand
// in old_records.h, and this one. And limits of the state service that become lower.
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>

#include <cstring>

#include "fixtures.h"
#include "memory_kv_store.h"
#include "old_peer.capnp.h"
#include "old_records.h"
#include "transport/http_server.h"
#include "transport/peer_link.h"

namespace weirmill {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using test::ClusterFixture;
using test::MemoryKvStore;

template <size_t N>
MemoryKvStore store_of(const test::OldRecord (&records)[N]) {
    MemoryKvStore store;
    for (auto& r : records) {
        store.keys[r.key] = {r.value, r.version};
        store.revision = std::max(store.revision, r.version);
    }
    return store;
}

// The history of kOldShort, played by this version.
void play_short(ClusterFixture& w, StateLog& l, MemoryKvStore& s) {
    constexpr StateLogLimits limits{12, 4};
    auto flush = [&] { test::commit_all(l, w.cluster, s, limits, w.now); };
    auto a = w.cluster.add_job(w.job_spec("req-000001", JobKind::Array, 5, 1), 1000.25, w.now);
    auto spec = w.job_spec("req-000002", JobKind::Gang, 2, 2, 1, Priority::High, "red");
    spec.types = {w.cluster.names.types.find("gpu")};
    spec.zone = w.cluster.names.zones.find("b");
    spec.one_zone = true;
    spec.deadline_s = 900;
    spec.estimate_s = 240.5;
    spec.checkpoint_interval_s = 30;
    spec.checkpoint_duration_s = 4;
    spec.image_gb = 6.2;
    auto b = w.cluster.add_job(spec, 1001.5, w.now);
    auto c = w.cluster.add_job(w.job_spec("req-000003", JobKind::Service, 1, 1), 1002, w.now);
    auto d = w.cluster.add_job(w.job_spec("req-000004", JobKind::Array, 1, 1), 1003, w.now);
    for (auto j : {a, b, c, d}) l.new_job(j);
    flush();
    auto m0 = w.add_machine("vm-000001"), m1 = w.add_machine("vm-000002", "gpu", "b");
    for (uint32_t t = 0; t < 4; ++t) w.cluster.place(a, t, m0, 1, w.now);
    for (uint32_t t = 0; t < 2; ++t) w.cluster.place(b, t, m1, 1, w.now);
    w.cluster.place(c, 0, m0, 1, w.now);
    w.cluster.place(d, 0, m0, 1, w.now);
    flush();
    w.cluster.finish(a, 0, w.now);
    w.cluster.finish(a, 1, w.now);
    w.cluster.unassign(a, 3, w.now);
    w.cluster.finish(d, 0, w.now);
    w.cluster.jobs[d]->ending = true;
    l.finish(d);
    w.cluster.jobs[c]->cancelled = true;
    l.cancel(c);
    l.note(kRoundKey, R"({"number":3,"clearings":[],"stops":0})");
    flush();
}

TEST(Upgrade, WithoutPipelinesRecordsAreByteForByteThoseOfTheVersionBefore) {
    ClusterFixture w;
    MemoryKvStore s;
    StateLog l(w.cluster, 41, {12, 4});
    play_short(w, l, s);
    s.keys.erase(kLeaderKey);
    ASSERT_EQ(s.keys.size(), std::size(test::kOldShort));
    for (auto& r : test::kOldShort) {
        EXPECT_EQ(s.keys[r.key].first, r.value) << r.key;
        EXPECT_EQ(s.keys[r.key].second, r.version) << r.key;
    }
}

// What the version before refuses: entry tags that it does not know. What it would not notice:
// fields.
void expect_readable_by_the_version_before(const MemoryKvStore& s) {
    const std::set<std::string> fields{"job", "at", "cancelled"};
    for (auto& [key, value] : s.keys) {
        if (!key.starts_with(kSegmentPrefix)) continue;
        auto segment = json::parse(value.first);
        for (auto& entry : segment.as_array()) {
            auto& e = entry.as_array();
            std::string tag(e.at(0).as_string());
            EXPECT_TRUE(tag == "j" || tag == "c" || tag == "e" || tag == "t") << tag;
            if (tag == "c" || tag == "e") {
                EXPECT_EQ(e.size(), 2u);
            }
            if (tag != "j") continue;
            for (auto& f : e.at(1).as_object()) EXPECT_TRUE(fields.count(f.key())) << f.key();
            EXPECT_FALSE(e.at(1).at("job").as_object().contains("awaits"));
        }
    }
}

TEST(Upgrade, EachVersionsRecordsAreLoadedAndToldAnewByTheOther) {
    auto s = store_of(test::kOldRetold);
    ClusterFixture w;
    StateLog l(w.cluster, 41, {4, 1});
    s.load_into(l, w.now);
    auto before = test::describe_jobs(w.cluster);
    EXPECT_EQ(w.cluster.find_job("req-000001")->done, 10u);
    EXPECT_EQ(w.cluster.find_job("req-000001")->placed, 20u);
    EXPECT_TRUE(w.cluster.find_job("req-000002")->cancel_recorded);
    EXPECT_EQ(w.cluster.find_job("req-000002")->tasks[0].attempt, 4u);
    // Work goes on until all that the old version wrote is dropped.
    auto j = w.cluster.job_index.at("req-000001");
    auto m = w.cluster.find_machine("vm-000007");
    auto oldest = test::kOldRetold[std::size(test::kOldRetold) - 1].key;
    for (uint32_t i = 0; s.keys.count(oldest) && i < 400; ++i) {
        for (uint32_t t = 20; t < 30; ++t) {
            w.cluster.unassign(j, t, w.now);
            w.cluster.place(j, t, m, 100 + i, w.now);
        }
        test::commit_all(l, w.cluster, s, {4, 1}, w.now);
    }
    EXPECT_FALSE(s.keys.count(oldest));
    expect_readable_by_the_version_before(s);
    ClusterFixture fresh;
    StateLog next(fresh.cluster, 42, {4, 1});
    s.load_into(next, fresh.now);
    EXPECT_EQ(test::describe_jobs(fresh.cluster), test::describe_jobs(w.cluster));
}

std::string from_hex(const std::string& hex) {
    std::string out;
    for (size_t i = 0; i + 1 < hex.size(); i += 2)
        out += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
    return out;
}

// Whole frames that have come, their lengths taken off.
std::optional<std::string> first_frame(const std::string& bytes) {
    if (bytes.size() < 4) return std::nullopt;
    auto byte = [&](int i) { return static_cast<uint32_t>(static_cast<unsigned char>(bytes[i])); };
    uint32_t size = byte(0) | byte(1) << 8 | byte(2) << 16 | byte(3) << 24;
    if (bytes.size() < 4 + size) return std::nullopt;
    return bytes.substr(4, size);
}

// Reads a frame of today as the version before pipelines does, and hands it to `check`.
template <class Check>
void as_read_before(const std::string& frame, Check check) {
    ASSERT_EQ(frame.size() % sizeof(capnp::word), 0u);
    std::vector<capnp::word> words(frame.size() / sizeof(capnp::word));
    std::memcpy(words.data(), frame.data(), frame.size());
    capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
    check(reader.getRoot<oldpeer::Frame>());
}

std::string text_of(capnp::Data::Reader d) {
    return {reinterpret_cast<const char*>(d.begin()), d.size()};
}

TEST(Upgrade, EitherVersionReadsTheOthersFramesBetweenControllers) {
    const auto call = from_hex(test::kOldCall), reply = from_hex(test::kOldReply);
    LinkStatus links;
    links.reports_links = links.reaches_kv = true;
    links.direct_workers = 7;
    links.reachable_peers = {"node-1", "node-2"};
    asio::io_context io;
    PeerCall heard;
    PeerServer server(io, {"127.0.0.1", 0}, [&](PeerCall c) -> asio::awaitable<PeerReply> {
        heard = c;
        PeerReply r{200,  "{\"op\":" + std::to_string(static_cast<int>(c.op)) + "}", 3, 41, false,
                    links};
        co_return r;
    });
    auto turn_until = [&](auto condition) {
        for (double end = steady_now() + 60; !condition() && steady_now() < end;)
            io.run_one_for(std::chrono::milliseconds(10));
    };
    auto frame_from = [&](tcp::socket& socket) {
        std::string bytes;
        turn_until([&] {
            boost::system::error_code ec;
            if (auto n = socket.available(ec); n > 0) {
                std::string more(n, '\0');
                asio::read(socket, asio::buffer(more));
                bytes += more;
            }
            return first_frame(bytes).has_value();
        });
        return first_frame(bytes).value_or("");
    };
    // An old caller's frame, and the answer as it reads it.
    tcp::socket socket(io);
    socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server.port()));
    asio::write(socket, asio::buffer(call));
    as_read_before(frame_from(socket), [&](oldpeer::Frame::Reader f) {
        as_read_before(reply.substr(4),
                       [&](oldpeer::Frame::Reader old) { EXPECT_EQ(f.getSeq(), old.getSeq()); });
        ASSERT_TRUE(f.isReply());
        EXPECT_EQ(f.getReply().getStatus(), 200);
        EXPECT_EQ(text_of(f.getReply().getBody()), "{\"op\":1}");
        EXPECT_EQ(f.getReply().getRetryAfterS(), 3);
        EXPECT_EQ(f.getReply().getToken(), 41u);
    });
    EXPECT_EQ(heard.op, PeerOp::Status);
    EXPECT_EQ(heard.subject, "req-000412");
    EXPECT_EQ(heard.body, "x");
    EXPECT_FALSE(heard.links.reports_links);
    // A call of ours, as an old callee reads it, and that one's answer.
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    PeerClient client(io, {"127.0.0.1", acceptor.local_endpoint().port()});
    std::optional<PeerReply> got;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            PeerCall placed_this_term{PeerOp::Status, "req-000412", "x", true, "node-0", links};
            got = co_await client.call(std::move(placed_this_term), 30);
        },
        asio::detached);
    tcp::socket callee(io);
    bool accepted = false;
    acceptor.async_accept(callee, [&](auto ec) { accepted = !ec; });
    turn_until([&] { return accepted; });
    as_read_before(frame_from(callee), [&](oldpeer::Frame::Reader f) {
        ASSERT_TRUE(f.isCall());
        EXPECT_EQ(f.getCall().getOp(), oldpeer::Op::STATUS);
        EXPECT_EQ(f.getCall().getSubject(), "req-000412");
        EXPECT_EQ(text_of(f.getCall().getBody()), "x");
    });
    asio::write(callee, asio::buffer(reply));
    turn_until([&] { return got.has_value(); });
    ASSERT_TRUE(got);
    EXPECT_EQ(got->status, 200);
    EXPECT_EQ(got->fencing_token, 41u);
    EXPECT_EQ(got->retry_after_s, 3);
    EXPECT_FALSE(got->links.reports_links);
    // What is said of links arrives as it was said.
    PeerClient placed_this_term(io, {"127.0.0.1", server.port()});
    got.reset();
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            PeerCall ping{PeerOp::Ping, "", "", false, "node-0", links};
            got = co_await placed_this_term.call(std::move(ping), 30);
        },
        asio::detached);
    turn_until([&] { return got.has_value(); });
    ASSERT_TRUE(got);
    EXPECT_EQ(got->links, links);
    EXPECT_EQ(heard.links, links);
    EXPECT_EQ(heard.sender, "node-0");
}

// A job whose description an older version could record, and which no longer fits one value.
std::string long_job(const std::string& id) {
    ClusterFixture w;
    auto spec = w.job_spec(id, JobKind::Array, 3, 1);
    for (int i = 0; i < 60; ++i)
        spec.types.push_back(
            w.cluster.names.types.intern("type-" + std::string(40, 'x') + std::to_string(i)));
    spec.image = w.cluster.names.images.intern(std::string(60, '"') + "\u00e9\u00e9");
    auto j = w.add_job(spec);
    return job_record(*w.cluster.jobs[j], j, w.cluster);
}

TEST(LowerLimits, LongerValuesOfAnOlderVersionAreReadAndNeverWrittenAgain) {
    constexpr StateLogLimits tight{4, 2};
    for (bool pipelines : {false, true}) {
        MemoryKvStore s;
        auto entry = long_job("req-7");
        ASSERT_GT(entry.size(), 2048u);
        s.keys[segment_key(1)] = {"[" + entry + R"(,["t","req-7",[0,0,"d"]]])", 12};
        ClusterFixture w;
        StateLog l(w.cluster, 41, tight);
        s.load_into(l, w.now);
        auto m = w.add_machine("vm-000001");
        // Others come, change and end; the log is told anew again and again.
        for (int i = 1; i <= 300; ++i) {
            auto spec = w.job_spec("req-1" + std::to_string(i), JobKind::Array, 20, 0.01);
            if (pipelines && i % 3 == 0) spec.dependencies = {"req-7"};
            auto j = w.cluster.add_job(std::move(spec), 1000, w.now);
            if (w.cluster.jobs[j]->waits)
                w.cluster.set_dependencies(j, {w.cluster.job_index.at("req-7")}, w.now);
            l.new_job(j);
            test::commit_all(l, w.cluster, s, tight, w.now);
            EXPECT_NE(w.cluster.jobs[j]->version, 0u);
            if (w.cluster.jobs[j]->waits) continue;
            for (uint32_t t = 0; t < 20; ++t) w.cluster.place(j, t, m, 1, w.now);
            test::commit_all(l, w.cluster, s, tight, w.now);
            for (uint32_t t = 0; t < 20; ++t) w.cluster.finish(j, t, w.now);
            w.cluster.jobs[j]->ending = true;
            l.finish(j);
            test::commit_all(l, w.cluster, s, tight, w.now);
        }
        // In pieces it would not be readable by the version before, which may still lead: its
        // segment stays until pipelines are used.
        EXPECT_EQ(s.keys.count(segment_key(1)), pipelines ? 0u : 1u);
        if (!pipelines) expect_readable_by_the_version_before(s);
        ClusterFixture fresh;
        StateLog next(fresh.cluster, 42, tight);
        s.load_into(next, fresh.now);
        EXPECT_EQ(test::describe_jobs(fresh.cluster), test::describe_jobs(w.cluster));
        auto* job = fresh.cluster.find_job("req-7");
        ASSERT_TRUE(job);
        EXPECT_EQ(job->done, 1u);
        EXPECT_EQ(
            job_record(*job, fresh.cluster.job_index.at("req-7"), fresh.cluster).size() > 2048,
            true);
        EXPECT_EQ(job->spec.types.size(), 60u);
        EXPECT_EQ(fresh.cluster.names.images.name(job->spec.image),
                  w.cluster.names.images.name(w.cluster.find_job("req-7")->spec.image));
    }
}

TEST(LowerLimits, WhatIsRefusedAsTooLargeIsToldInSmallerTransactions) {
    // Nothing was announced. The same text was once sent again for ever, and all else waited behind
    // it.
    ClusterFixture w;
    MemoryKvStore s;
    StateLog l(w.cluster, 41, {24, 32});
    auto m = w.add_machine("vm-000001");
    for (int i = 1; i <= 40; ++i) {
        auto j = w.cluster.add_job(
            w.job_spec("req-" + std::to_string(i), JobKind::Array, 30, 0.001), 1000, w.now);
        l.new_job(j);
    }
    constexpr StateLogLimits held{6, 2};
    auto taken = [&](const StateLogBatch& b) {
        return b.txn.changes.size() <= static_cast<size_t>(held.txn_ops) &&
               std::all_of(b.txn.changes.begin(), b.txn.changes.end(),
                           [](auto& c) { return c.value.size() <= 2048; });
    };
    int refused = 0;
    bool placed = false;
    for (int i = 0; i < 500 && (l.waiting() || !placed); ++i) {
        if (!l.waiting()) {
            placed = true;
            for (Index j = 0; j < w.cluster.jobs.size(); ++j)
                for (uint32_t t = 0; t < 30; ++t) w.cluster.place(j, t, m, 1, w.now);
        }
        auto b = l.next(24);
        if (b.empty()) break;
        if (!taken(b)) {
            ++refused;
            ASSERT_TRUE(l.shrink());
            l.rejected(b);
            for (auto& e : b.entries)
                if (e.kind == EntryKind::NewJob) l.new_job(e.job);
            continue;
        }
        l.committed(b, s.apply(b.txn));
    }
    EXPECT_GT(refused, 0);
    EXPECT_LT(refused, 8);
    EXPECT_FALSE(l.waiting());
    ClusterFixture fresh;
    StateLog next(fresh.cluster, 42, held);
    s.load_into(next, fresh.now);
    EXPECT_EQ(fresh.cluster.job_index.size(), 40u);
    EXPECT_EQ(test::describe_jobs(fresh.cluster), test::describe_jobs(w.cluster));
    while (l.shrink()) ++refused;
    EXPECT_LT(refused, 12);
}

TEST(LowerLimits, ANoteThatNeverFitsHoldsBackNothing) {
    ClusterFixture w;
    StateLog l(w.cluster, 41, {4, 2});
    l.note(kTypesKey, "\"" + std::string(3000, 'x') + "\"");
    l.note(kRoundKey, R"({"number":1})");
    auto b = l.next(4);
    ASSERT_EQ(b.txn.changes.size(), 1u);
    EXPECT_EQ(b.txn.changes[0].key, kRoundKey);
    l.committed(b, 50);
    EXPECT_FALSE(l.waiting());
}

TEST(LowerLimits, ATransactionOfAnySizeKeepsToItsConditions) {
    // Four changes, sixteen conditions: new jobs, ends, a note and drops at once.
    for (int ops : {4, 5, 8, 24}) {
        ClusterFixture w;
        MemoryKvStore s;
        StateLogLimits limits{ops, 2};
        StateLog l(w.cluster, 41, limits);
        for (int i = 1; i <= 200; ++i)
            l.new_job(w.cluster.add_job(
                w.job_spec("req-" + std::to_string(i), JobKind::Array, 1, 0.01), 1, w.now));
        test::commit_all(l, w.cluster, s, limits, w.now);
        for (Index j = 0; j < 200; ++j) {
            w.cluster.finish(j, 0, w.now);
            w.cluster.jobs[j]->ending = true;
            l.finish(j);
            l.note(kRoundKey, R"({"number":1})");
            l.new_job(w.cluster.add_job(
                w.job_spec("req-" + std::to_string(1000 + j), JobKind::Array, 1, 0.01), 1, w.now));
        }
        test::commit_all(l, w.cluster, s, limits, w.now);
        EXPECT_EQ(w.cluster.job_index.size(), 200u) << ops;
        EXPECT_FALSE(l.waiting()) << ops;
    }
}

}  // namespace
}  // namespace weirmill
