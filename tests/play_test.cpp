// Playing a trace: judgements alone, and whole plays over loopback against the service with its
// stand-ins.
#include "traces/play.h"

#include <filesystem>
#include <fstream>
#include <random>

#include "service_fixture.h"
#include "traces/stats.h"

namespace weirmill::traces {
namespace {

namespace json = boost::json;

TEST(Play, AnswersToASubmission) {
    struct Row {
        std::optional<HttpAnswer> answer;
        double now;
        Played is;
        double again_s;
    };
    const Row rows[] = {
        {HttpAnswer{201, "", 0}, 10, Played::Accepted, 0},
        {HttpAnswer{200, "", 0}, 10, Played::Accepted, 0},
        {HttpAnswer{400, "", 0}, 10, Played::Refused, 0},
        {HttpAnswer{422, "", 0}, 10, Played::Refused, 0},
        {std::nullopt, 10, Played::Sent, 1},
        {HttpAnswer{503, "", 0}, 10, Played::Sent, 1},
        {HttpAnswer{503, "", 7}, 10, Played::Sent, 7},
        {HttpAnswer{429, "", 90}, 10, Played::Sent, 30},
        {HttpAnswer{302, "", 0}, 10, Played::Sent, 1},
        // 60 s in all: a try that would come later is not made.
        {HttpAnswer{503, "", 7}, 62, Played::Sent, 7},
        {HttpAnswer{503, "", 7}, 64, Played::GivenUp, 0},
        {std::nullopt, 70, Played::GivenUp, 0},
        {HttpAnswer{201, "", 0}, 70, Played::Accepted, 0},
    };
    for (auto& r : rows) {
        auto got = judge_submission(r.answer, 10, r.now, 60);
        EXPECT_EQ(got.is, r.is) << r.now << " " << (r.answer ? r.answer->status : 0);
        EXPECT_EQ(got.again_s, r.again_s);
    }
}

TEST(Play, AnswersThatGoBackAreSeen) {
    struct Row {
        std::vector<const char*> states;  // "404": unknown; "?": no answer
        Played is;
        const char* went_back;
        uint32_t finals;
    };
    const Row rows[] = {
        {{"queued", "running", "queued", "done", "done"},
         Played::Done,
         "",
         2},  // preempted between
        {{"?", "queued", "aborted", "?"}, Played::Aborted, "", 1},
        {{"queued", "404"}, Played::Accepted, "accepted, then unknown", 0},
        {{"done", "running"}, Played::Done, "done, then accepted", 1},
        {{"done", "404"}, Played::Done, "done, then unknown", 1},
        {{"aborted", "done", "queued"}, Played::Aborted, "aborted, then done", 1},
        {{"nonsense", "done"}, Played::Done, "", 1},
        // Unknown for over 60 s (each answer comes 25 s after the one before) it is lost; not if it
        // comes back.
        {{"queued", "404", "404", "404", "404"}, Played::Lost, "accepted, then unknown", 0},
        {{"queued", "404", "404", "queued", "404", "404"},
         Played::Accepted,
         "accepted, then unknown",
         0},
    };
    for (auto& r : rows) {
        Track t;
        t.is = Played::Accepted;
        double now = 0;
        for (std::string s : r.states) {
            auto body = "{\"name_id\":\"req-1\",\"status\":\"" + s + "\"}";
            judge_status(t,
                         s == "?" ? std::nullopt
                                  : std::optional(HttpAnswer{s == "404" ? 404 : 200, body, 0}),
                         now += 25, 60);
        }
        EXPECT_EQ(t.is, r.is) << r.states.back();
        EXPECT_EQ(t.went_back, r.went_back);
        EXPECT_EQ(t.final_answers, r.finals);
    }
}

struct Stage {
    test::ServiceFixture service{3};
    std::filesystem::path folder;
    std::vector<PlayJob> jobs;
    PlayOptions options;

    explicit Stage(int count) {
        auto pattern = (std::filesystem::temp_directory_path() / "weirmill-play-XXXXXX").string();
        folder = ::mkdtemp(pattern.data());
        EXPECT_TRUE(service.wait_until([&] { return !service.leader_name().empty(); }));
        for (int i = 0; i < count; ++i) {
            auto id = "req-" + std::to_string(i + 1);
            PlayJob job{0.05 * i, id, test::ServiceFixture::submission_body(id, "array", 2), {}};
            fakes::Job known;
            known.tasks = 2;
            if (i % 5 == 4) job.awaits = known.dependencies = {"req-" + std::to_string(i)};
            if (!job.awaits.empty())
                job.body = test::ServiceFixture::with_field(job.body, "awaits",
                                                            json::value_from(job.awaits));
            service.cloud->jobs[id] = known;
            jobs.push_back(job);
        }
        for (auto& n : service.nodes) options.to.push_back({"127.0.0.1", n->api_port()});
        options.poll_s = 0.2;
        options.answer_s = options.status_s = 1;
        options.patience_s = 100;
        options.log = (folder / "log").string();
    }
    ~Stage() { std::filesystem::remove_all(folder); }

    std::unique_ptr<Player> play(std::unordered_map<std::string, Played> known = {}) {
        auto next = std::make_shared<size_t>(0);
        over = false;
        auto player = std::make_unique<Player>(
            service.io, options,
            [this, next]() {
                return *next < jobs.size() ? std::optional(jobs[(*next)++]) : std::nullopt;
            },
            std::move(known));
        boost::asio::co_spawn(service.io, player->run(), [this](std::exception_ptr e) {
            EXPECT_FALSE(e);
            over = true;
        });
        return player;
    }
    static size_t count(const Player& p, Played is) {
        return static_cast<size_t>(std::count_if(p.tracks().begin(), p.tracks().end(),
                                                 [&](auto& t) { return t.second.is == is; }));
    }
    void expect_all_done(const Player& p) {
        EXPECT_EQ(p.tracks().size(), jobs.size());
        for (auto& [id, t] : p.tracks()) {
            EXPECT_EQ(t.is, Played::Done) << id;
            EXPECT_EQ(t.went_back, "") << id;
        }
        for (auto& j : jobs)
            EXPECT_EQ(service.state_service->snapshot().count("f/" + j.id), 1u) << j.id;
    }
    bool over = false;
};

TEST(Play, EveryJobEndsOnceThoughALeaderIsKilledMidway) {
    Stage s(40);
    auto player = s.play();
    ASSERT_TRUE(s.service.wait_until([&] { return player->tracks().size() >= 15; }));
    s.service.crash(s.service.leader_name().back() - '0');
    ASSERT_TRUE(s.service.wait_until([&] { return s.over; }));
    s.expect_all_done(*player);
    for (auto& [id, t] : player->tracks()) EXPECT_EQ(t.final_answers, 2u) << id;
    auto f = player->figures();
    EXPECT_EQ(f.by_state[static_cast<size_t>(Played::Done)], 40u);
    auto latency = json::parse(f.submit);
    EXPECT_EQ(latency.at("count").as_int64(), 40);
    EXPECT_GT(latency.at("p50_s").to_number<double>(), 0);
    size_t rows = 0;
    player->csv([&](const std::string&) { ++rows; });
    EXPECT_EQ(rows, 41u);
}

TEST(Play, APlayThatWasStoppedGoesOnFromItsLog) {
    Stage s(30);
    auto first = s.play();
    ASSERT_TRUE(s.service.wait_until([&] { return first->tracks().size() >= 15; }));
    first->stop();
    ASSERT_TRUE(s.service.wait_until([&] { return s.over; }));
    EXPECT_LT(s.count(*first, Played::Done), 30u);
    auto before = first->tracks();
    // The log breaks off in a line, as after a kill.
    std::ofstream(s.options.log, std::ios::app) << "{\"id\":\"req-30\",\"is\":\"do";
    auto known = read_play_log(s.options.log);
    EXPECT_EQ(known.count("req-30"), 0u);
    for (auto& [id, is] : known) {
        ASSERT_TRUE(before.count(id)) << id;
        EXPECT_EQ(is, before[id].is) << id;
    }
    auto second = s.play(known);
    ASSERT_TRUE(s.service.wait_until([&] { return s.over; }));
    s.expect_all_done(*second);
    // What was settled or accepted is not submitted again.
    for (auto& [id, is] : known) {
        if (is == Played::Sent) continue;
        EXPECT_EQ(second->tracks().at(id).tries, 0u) << id;
    }
    EXPECT_EQ(read_play_log(s.options.log).size(), 30u);
}

TEST(Play, JobsAfterARefusedOneAreNotSent) {
    Stage s(0);
    auto bad = test::ServiceFixture::with_field(
        test::ServiceFixture::submission_body("req-1", "array", 1), "consignor", "nobody");
    auto after = test::ServiceFixture::with_field(
        test::ServiceFixture::submission_body("req-2", "array", 1), "awaits", json::array{"req-1"});
    auto never = test::ServiceFixture::with_field(
        test::ServiceFixture::submission_body("req-3", "array", 1), "awaits", json::array{"req-9"});
    s.jobs = {
        {0, "req-3", never, {"req-9"}}, {0, "req-2", after, {"req-1"}}, {1, "req-1", bad, {}}};
    s.options.in_flight = 1;  // those that wait take no place of the one that they wait for
    auto player = s.play();
    ASSERT_TRUE(s.service.wait_until([&] { return s.over; }));
    EXPECT_EQ(player->tracks().at("req-1").is, Played::Refused);
    EXPECT_EQ(player->tracks().at("req-2").is, Played::NotSent);
    EXPECT_EQ(player->tracks().at("req-3").is, Played::NotSent);
    EXPECT_EQ(s.service.state_service->count_keys("f/"), 0u);
}

TEST(LoadStats, DistributionsKeepEveryJob) {
    Spread spread;
    EXPECT_EQ(spread.at(0.5), 0);
    EXPECT_TRUE(spread.bins(10).empty());
    for (int i = 1; i <= 1000; ++i) spread.add(i);
    spread.add(0);  // at the ends
    spread.add(1e12);
    EXPECT_NEAR(spread.at(0.5), 500, 500 * 0.13);  // twenty steps a decade
    EXPECT_NEAR(spread.at(0.95), 950, 950 * 0.13);
    uint64_t n = 0;
    auto bins = spread.bins(30);
    for (auto& b : bins) n += b.n;
    EXPECT_EQ(n, 1002u);
    EXPECT_LE(bins.size(), 30u);

    // Arrivals out of order, over a second or over years.
    for (double span : {0.5, 50.0, 1e4, 1e9}) {
        Arrivals arrivals;
        std::mt19937 random(3);
        for (int i = 0; i < 500; ++i)
            arrivals.add(span * static_cast<double>(random() % 1000) / 1000 - span / 3);
        uint64_t sum = 0;
        for (auto c : arrivals.counts()) sum += c;
        EXPECT_EQ(sum, 500u) << span;
        EXPECT_LE(arrivals.counts().size(), Arrivals::kBuckets);
        EXPECT_GE(arrivals.bucket_s() * static_cast<double>(arrivals.counts().size()), span * 0.99);
    }
}

TEST(LoadStats, ThePageHoldsEveryClassAndNothingFromElsewhere) {
    LoadStats stats;
    JobSpec s;
    s.tasks = 4;
    s.demand = {2000, 500, 1000};
    s.estimate_s = 1800;
    stats.add(10, s, "night <b>");
    s.kind = JobKind::Gang;
    stats.add(20, s, "sale");
    stats.waited("sale", 33);
    auto v = json::parse(stats.json());
    EXPECT_EQ(v.at("all").at("jobs").as_int64(), 2);
    EXPECT_EQ(v.at("all").at("core_hours").to_number<double>(), 8);
    EXPECT_EQ(v.at("classes").at("sale").at("gangs").as_int64(), 1);
    EXPECT_EQ(v.at("classes").at("sale").at("waiting_s_p50").to_number<double>(), 33);
    EXPECT_FALSE(v.at("classes").at("night <b>").as_object().contains("waiting_s_p50"));
    auto page = stats.html("Load & more");
    EXPECT_NE(page.find("night &lt;b&gt;"), std::string::npos);
    EXPECT_EQ(page.find("<b>"), std::string::npos);
    for (auto* outside : {"http:", "https:", "src=", "@import", "<script"})
        EXPECT_EQ(page.find(outside), std::string::npos) << outside;
}

TEST(Play, JobsAreReadInOrderOfTime) {
    auto pattern = (std::filesystem::temp_directory_path() / "weirmill-jobs-XXXXXX").string();
    std::filesystem::path folder = ::mkdtemp(pattern.data());
    auto line = [](double at, const char* id) {
        return "{\"at_s\":" + std::to_string(at) +
               ",\"submission\":" + test::ServiceFixture::submission_body(id, "array", 1) + "}\n";
    };
    auto read = [&](const std::string& text) {
        auto path = (folder / "jobs").string();
        std::ofstream(path) << text;
        std::string ids;
        JobFile file(path);
        while (auto job = file.next()) ids += job->id + " ";
        return ids;
    };
    EXPECT_EQ(read(line(1, "req-1") + line(1, "req-2") + line(3, "req-3")), "req-1 req-2 req-3 ");
    EXPECT_EQ(read(line(5, "req-1") + line(1, "req-2") + line(3, "req-3") + line(1, "req-4")),
              "req-2 req-4 req-3 req-1 ");
    EXPECT_THROW(read(line(1, "req-1") + "{\"at_s\":1}\n"), Unreadable);
    EXPECT_THROW(JobFile("-"), Unreadable);
    std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace weirmill::traces
