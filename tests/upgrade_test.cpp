// Compatibility with the last version without job dependencies (pipelines), called the old version
// here: old_records.h has records and frames that it wrote. Also tests what happens when the state
// service lowers its limits.
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

// Repeats with this version the changes that the old version recorded in kOldRecords.
void record_short_history(ClusterFixture& world, StateLog& state_log, MemoryKvStore& store) {
    constexpr StateLogLimits limits{12, 4};
    auto flush = [&] { test::commit_all(state_log, world.cluster, store, limits, world.now); };
    auto a = world.cluster.add_job(world.job_spec("req-000001", JobKind::Array, 5, 1), 1000.25,
                                   world.now);
    auto spec = world.job_spec("req-000002", JobKind::Gang, 2, 2, 1, Priority::High, "red");
    spec.types = {world.cluster.names.types.find("gpu")};
    spec.zone = world.cluster.names.zones.find("b");
    spec.one_zone = true;
    spec.deadline_s = 900;
    spec.estimate_s = 240.5;
    spec.checkpoint_interval_s = 30;
    spec.checkpoint_duration_s = 4;
    spec.image_gb = 6.2;
    auto b = world.cluster.add_job(spec, 1001.5, world.now);
    auto c = world.cluster.add_job(world.job_spec("req-000003", JobKind::Service, 1, 1), 1002,
                                   world.now);
    auto d =
        world.cluster.add_job(world.job_spec("req-000004", JobKind::Array, 1, 1), 1003, world.now);
    for (auto j : {a, b, c, d}) state_log.queue_new_job(j);
    flush();
    auto m0 = world.add_machine("vm-000001"), m1 = world.add_machine("vm-000002", "gpu", "b");
    for (uint32_t t = 0; t < 4; ++t) world.cluster.place(a, t, m0, 1, world.now);
    for (uint32_t t = 0; t < 2; ++t) world.cluster.place(b, t, m1, 1, world.now);
    world.cluster.place(c, 0, m0, 1, world.now);
    world.cluster.place(d, 0, m0, 1, world.now);
    flush();
    world.cluster.finish(a, 0, world.now);
    world.cluster.finish(a, 1, world.now);
    world.cluster.unassign(a, 3, world.now);
    world.cluster.finish(d, 0, world.now);
    world.cluster.jobs[d]->ending = true;
    state_log.queue_job_end(d);
    world.cluster.jobs[c]->cancelled = true;
    state_log.queue_cancellation(c);
    state_log.queue_single_record(kRoundKey, R"({"number":3,"clearings":[],"stops":0})");
    flush();
}

TEST(StateLogCompatibility, WritesSameRecordsAsOldVersion) {
    ClusterFixture world;
    MemoryKvStore store;
    StateLog state_log(world.cluster, 41, {12, 4});
    record_short_history(world, state_log, store);
    store.keys.erase(kLeaderKey);
    ASSERT_EQ(store.keys.size(), std::size(test::kOldRecords));
    for (auto& r : test::kOldRecords) {
        EXPECT_EQ(store.keys[r.key].first, r.value) << r.key;
        EXPECT_EQ(store.keys[r.key].second, r.version) << r.key;
    }
}

// The old version rejects entry tags that it doesn't know. It ignores unknown fields and would so
// lose their content. Neither may occur.
void expect_readable_by_old_version(const MemoryKvStore& store) {
    const std::set<std::string> fields{"job", "at", "cancelled"};
    for (auto& [key, value] : store.keys) {
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

TEST(StateLogCompatibility, LoadsAndRewritesRecordsOfOldVersion) {
    auto store = store_of(test::kOldCompactedRecords);
    ClusterFixture world;
    StateLog state_log(world.cluster, 41, {4, 1});
    store.load_into(state_log, world.now);
    auto before = test::describe_jobs(world.cluster);
    EXPECT_EQ(world.cluster.find_job("req-000001")->done, 10u);
    EXPECT_EQ(world.cluster.find_job("req-000001")->placed, 20u);
    EXPECT_TRUE(world.cluster.find_job("req-000002")->cancel_durable);
    EXPECT_EQ(world.cluster.find_job("req-000002")->tasks[0].attempt, 4u);
    // Tasks are placed again until compaction has deleted all segments of the old version.
    auto j = world.cluster.job_index.at("req-000001");
    auto m = world.cluster.find_machine("vm-000007");
    auto oldest = test::kOldCompactedRecords[std::size(test::kOldCompactedRecords) - 1].key;
    for (uint32_t i = 0; store.keys.count(oldest) && i < 400; ++i) {
        for (uint32_t t = 20; t < 30; ++t) {
            world.cluster.unassign(j, t, world.now);
            world.cluster.place(j, t, m, 100 + i, world.now);
        }
        test::commit_all(state_log, world.cluster, store, {4, 1}, world.now);
    }
    EXPECT_FALSE(store.keys.count(oldest));
    expect_readable_by_old_version(store);
    ClusterFixture fresh;
    StateLog next(fresh.cluster, 42, {4, 1});
    store.load_into(next, fresh.now);
    EXPECT_EQ(test::describe_jobs(fresh.cluster), test::describe_jobs(world.cluster));
}

std::string from_hex(const std::string& hex) {
    std::string out;
    for (size_t i = 0; i + 1 < hex.size(); i += 2)
        out += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
    return out;
}

// Returns the first frame without its length prefix; nullopt if it is incomplete.
std::optional<std::string> first_frame(const std::string& bytes) {
    if (bytes.size() < 4) return std::nullopt;
    auto byte = [&](int i) { return static_cast<uint32_t>(static_cast<unsigned char>(bytes[i])); };
    uint32_t size = byte(0) | byte(1) << 8 | byte(2) << 16 | byte(3) << 24;
    if (bytes.size() < 4 + size) return std::nullopt;
    return bytes.substr(4, size);
}

// Parses a frame of this version as the old version does, and passes it to `check`.
template <class Check>
void check_with_old_schema(const std::string& frame, Check check) {
    ASSERT_EQ(frame.size() % sizeof(capnp::word), 0u);
    std::vector<capnp::word> words(frame.size() / sizeof(capnp::word));
    std::memcpy(words.data(), frame.data(), frame.size());
    capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
    check(reader.getRoot<oldpeer::Frame>());
}

std::string to_string(capnp::Data::Reader data) {
    return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

TEST(PeerLinkCompatibility, ExchangesFramesWithOldVersion) {
    const auto call = from_hex(test::kOldCallFrame), reply = from_hex(test::kOldReplyFrame);
    LinkStatus links;
    links.reports_links = links.reaches_kv = true;
    links.direct_workers = 7;
    links.reachable_peers = {"node-1", "node-2"};
    asio::io_context io;
    PeerCall received;
    PeerServer server(io, {"127.0.0.1", 0}, [&](PeerCall c) -> asio::awaitable<PeerReply> {
        received = c;
        PeerReply r{200,  "{\"op\":" + std::to_string(static_cast<int>(c.op)) + "}", 3, 41, false,
                    links};
        co_return r;
    });
    auto run_until = [&](auto condition) {
        for (double end = steady_now() + 60; !condition() && steady_now() < end;)
            io.run_one_for(std::chrono::milliseconds(10));
    };
    auto read_frame = [&](tcp::socket& socket) {
        std::string bytes;
        run_until([&] {
            boost::system::error_code ec;
            if (auto n = socket.available(ec); n > 0) {
                std::string chunk(n, '\0');
                asio::read(socket, asio::buffer(chunk));
                bytes += chunk;
            }
            return first_frame(bytes).has_value();
        });
        return first_frame(bytes).value_or("");
    };
    // This version parses a call of the old version, which parses the reply.
    tcp::socket socket(io);
    socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server.port()));
    asio::write(socket, asio::buffer(call));
    check_with_old_schema(read_frame(socket), [&](oldpeer::Frame::Reader f) {
        check_with_old_schema(reply.substr(4), [&](oldpeer::Frame::Reader old) {
            EXPECT_EQ(f.getSeq(), old.getSeq());
        });
        ASSERT_TRUE(f.isReply());
        EXPECT_EQ(f.getReply().getStatus(), 200);
        EXPECT_EQ(to_string(f.getReply().getBody()), "{\"op\":1}");
        EXPECT_EQ(f.getReply().getRetryAfterS(), 3);
        EXPECT_EQ(f.getReply().getToken(), 41u);
    });
    EXPECT_EQ(received.op, PeerOp::Status);
    EXPECT_EQ(received.subject, "req-000412");
    EXPECT_EQ(received.body, "x");
    EXPECT_FALSE(received.links.reports_links);
    // The old version parses a call of this version, which parses the reply.
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    PeerClient client(io, {"127.0.0.1", acceptor.local_endpoint().port()});
    std::optional<PeerReply> client_reply;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            PeerCall status_call{PeerOp::Status, "req-000412", "x", true, "node-0", links};
            client_reply = co_await client.call(std::move(status_call), 30);
        },
        asio::detached);
    tcp::socket callee(io);
    bool accepted = false;
    acceptor.async_accept(callee, [&](auto ec) { accepted = !ec; });
    run_until([&] { return accepted; });
    check_with_old_schema(read_frame(callee), [&](oldpeer::Frame::Reader f) {
        ASSERT_TRUE(f.isCall());
        EXPECT_EQ(f.getCall().getOp(), oldpeer::Op::STATUS);
        EXPECT_EQ(f.getCall().getSubject(), "req-000412");
        EXPECT_EQ(to_string(f.getCall().getBody()), "x");
    });
    asio::write(callee, asio::buffer(reply));
    run_until([&] { return client_reply.has_value(); });
    ASSERT_TRUE(client_reply);
    EXPECT_EQ(client_reply->status, 200);
    EXPECT_EQ(client_reply->fencing_token, 41u);
    EXPECT_EQ(client_reply->retry_after_s, 3);
    EXPECT_FALSE(client_reply->links.reports_links);
    // Between two controllers of this version, links arrive unchanged.
    PeerClient ping_client(io, {"127.0.0.1", server.port()});
    client_reply.reset();
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            PeerCall ping{PeerOp::Ping, "", "", false, "node-0", links};
            client_reply = co_await ping_client.call(std::move(ping), 30);
        },
        asio::detached);
    run_until([&] { return client_reply.has_value(); });
    ASSERT_TRUE(client_reply);
    EXPECT_EQ(client_reply->links, links);
    EXPECT_EQ(received.links, links);
    EXPECT_EQ(received.sender, "node-0");
}

// Returns the record of a job that an older version could store, but that exceeds the lowered
// limit on the size of a value.
std::string oversized_job_record(const std::string& id) {
    ClusterFixture world;
    auto spec = world.job_spec(id, JobKind::Array, 3, 1);
    for (int i = 0; i < 60; ++i)
        spec.types.push_back(
            world.cluster.names.types.intern("type-" + std::string(40, 'x') + std::to_string(i)));
    spec.image = world.cluster.names.images.intern(std::string(60, '"') + "\u00e9\u00e9");
    auto j = world.add_job(spec);
    return job_record(*world.cluster.jobs[j], j, world.cluster);
}

TEST(StateLogLimits, ReadsOversizedValueAndNeverRewritesIt) {
    constexpr StateLogLimits lowered_limits{4, 2};
    for (bool dependencies : {false, true}) {
        MemoryKvStore store;
        auto entry = oversized_job_record("req-7");
        ASSERT_GT(entry.size(), 2048u);
        store.keys[segment_key(1)] = {"[" + entry + R"(,["t","req-7",[0,0,"d"]]])", 12};
        ClusterFixture world;
        StateLog state_log(world.cluster, 41, lowered_limits);
        store.load_into(state_log, world.now);
        auto m = world.add_machine("vm-000001");
        // Other jobs are submitted, run and end, while compaction rewrites the log repeatedly.
        for (int i = 1; i <= 300; ++i) {
            auto spec = world.job_spec("req-1" + std::to_string(i), JobKind::Array, 20, 0.01);
            if (dependencies && i % 3 == 0) spec.dependencies = {"req-7"};
            auto j = world.cluster.add_job(std::move(spec), 1000, world.now);
            if (world.cluster.jobs[j]->waits_for_dependencies)
                world.cluster.set_dependencies(j, {world.cluster.job_index.at("req-7")}, world.now);
            state_log.queue_new_job(j);
            test::commit_all(state_log, world.cluster, store, lowered_limits, world.now);
            EXPECT_NE(world.cluster.jobs[j]->record_revision, 0u);
            if (world.cluster.jobs[j]->waits_for_dependencies) continue;
            for (uint32_t t = 0; t < 20; ++t) world.cluster.place(j, t, m, 1, world.now);
            test::commit_all(state_log, world.cluster, store, lowered_limits, world.now);
            for (uint32_t t = 0; t < 20; ++t) world.cluster.finish(j, t, world.now);
            world.cluster.jobs[j]->ending = true;
            state_log.queue_job_end(j);
            test::commit_all(state_log, world.cluster, store, lowered_limits, world.now);
        }
        // The old version can't read a multi-part record and may still lead, so the segment stays
        // until a job has dependencies.
        EXPECT_EQ(store.keys.count(segment_key(1)), dependencies ? 0u : 1u);
        if (!dependencies) expect_readable_by_old_version(store);
        ClusterFixture fresh;
        StateLog next(fresh.cluster, 42, lowered_limits);
        store.load_into(next, fresh.now);
        EXPECT_EQ(test::describe_jobs(fresh.cluster), test::describe_jobs(world.cluster));
        auto* job = fresh.cluster.find_job("req-7");
        ASSERT_TRUE(job);
        EXPECT_EQ(job->done, 1u);
        EXPECT_EQ(
            job_record(*job, fresh.cluster.job_index.at("req-7"), fresh.cluster).size() > 2048,
            true);
        EXPECT_EQ(job->spec.types.size(), 60u);
        EXPECT_EQ(fresh.cluster.names.images.name(job->spec.image),
                  world.cluster.names.images.name(world.cluster.find_job("req-7")->spec.image));
    }
}

TEST(StateLogLimits, SplitsTransactionRejectedAsTooLarge) {
    // The key-value store lowers its limits without an announcement. The log once repeated the
    // rejected transaction forever, and all later changes waited behind it.
    ClusterFixture world;
    MemoryKvStore store;
    StateLog state_log(world.cluster, 41, {24, 32});
    auto m = world.add_machine("vm-000001");
    for (int i = 1; i <= 40; ++i) {
        auto j = world.cluster.add_job(
            world.job_spec("req-" + std::to_string(i), JobKind::Array, 30, 0.001), 1000, world.now);
        state_log.queue_new_job(j);
    }
    constexpr StateLogLimits actual_limits{6, 2};
    auto is_accepted = [&](const StateLogBatch& b) {
        return b.txn.changes.size() <= static_cast<size_t>(actual_limits.txn_ops) &&
               std::all_of(b.txn.changes.begin(), b.txn.changes.end(),
                           [](auto& c) { return c.value.size() <= 2048; });
    };
    int rejected_count = 0;
    bool placed = false;
    for (int i = 0; i < 500 && (state_log.has_work() || !placed); ++i) {
        if (!state_log.has_work()) {
            placed = true;
            for (Index j = 0; j < world.cluster.jobs.size(); ++j)
                for (uint32_t t = 0; t < 30; ++t) world.cluster.place(j, t, m, 1, world.now);
        }
        auto b = state_log.next_batch(24);
        if (b.empty()) break;
        if (!is_accepted(b)) {
            ++rejected_count;
            ASSERT_TRUE(state_log.reduce_limits());
            state_log.rejected(b);
            for (auto& e : b.entries)
                if (e.kind == EntryKind::NewJob) state_log.queue_new_job(e.job);
            continue;
        }
        state_log.committed(b, store.apply(b.txn));
    }
    EXPECT_GT(rejected_count, 0);
    EXPECT_LT(rejected_count, 8);
    EXPECT_FALSE(state_log.has_work());
    ClusterFixture fresh;
    StateLog next(fresh.cluster, 42, actual_limits);
    store.load_into(next, fresh.now);
    EXPECT_EQ(fresh.cluster.job_index.size(), 40u);
    EXPECT_EQ(test::describe_jobs(fresh.cluster), test::describe_jobs(world.cluster));
    while (state_log.reduce_limits()) ++rejected_count;
    EXPECT_LT(rejected_count, 12);
}

TEST(StateLogLimits, OversizedRecordDoesNotBlockOthers) {
    ClusterFixture world;
    StateLog state_log(world.cluster, 41, {4, 2});
    state_log.queue_single_record(kTypesKey, "\"" + std::string(3000, 'x') + "\"");
    state_log.queue_single_record(kRoundKey, R"({"number":1})");
    auto b = state_log.next_batch(4);
    ASSERT_EQ(b.txn.changes.size(), 1u);
    EXPECT_EQ(b.txn.changes[0].key, kRoundKey);
    state_log.committed(b, 50);
    EXPECT_FALSE(state_log.has_work());
}

TEST(StateLogLimits, AnyTransactionSizeRecordsAllChanges) {
    // The smallest transaction has four changes and sixteen conditions. New jobs, ended jobs, a
    // single record and deletions are queued at the same time.
    for (int ops : {4, 5, 8, 24}) {
        ClusterFixture world;
        MemoryKvStore store;
        StateLogLimits limits{ops, 2};
        StateLog state_log(world.cluster, 41, limits);
        for (int i = 1; i <= 200; ++i)
            state_log.queue_new_job(world.cluster.add_job(
                world.job_spec("req-" + std::to_string(i), JobKind::Array, 1, 0.01), 1, world.now));
        test::commit_all(state_log, world.cluster, store, limits, world.now);
        for (Index j = 0; j < 200; ++j) {
            world.cluster.finish(j, 0, world.now);
            world.cluster.jobs[j]->ending = true;
            state_log.queue_job_end(j);
            state_log.queue_single_record(kRoundKey, R"({"number":1})");
            state_log.queue_new_job(world.cluster.add_job(
                world.job_spec("req-" + std::to_string(1000 + j), JobKind::Array, 1, 0.01), 1,
                world.now));
        }
        test::commit_all(state_log, world.cluster, store, limits, world.now);
        EXPECT_EQ(world.cluster.job_index.size(), 200u) << ops;
        EXPECT_FALSE(state_log.has_work()) << ops;
    }
}

}  // namespace
}  // namespace weirmill
