// Tests of playing a trace: the evaluation of single answers, and plays over loopback against the
// service with fakes of its environment.
#include "traces/play.h"

#include <filesystem>
#include <fstream>
#include <random>

#include "service_fixture.h"
#include "traces/stats.h"

namespace weirmill::traces {
namespace {

namespace json = boost::json;

TEST(TracePlay, EvaluatesSubmissionAnswers) {
    struct Row {
        std::optional<HttpResponse> answer;
        double now;
        PlayState state;
        double retry_after_s;
    };
    const Row rows[] = {
        {HttpResponse{201, "", 0}, 10, PlayState::Accepted, 0},
        {HttpResponse{200, "", 0}, 10, PlayState::Accepted, 0},
        {HttpResponse{400, "", 0}, 10, PlayState::Refused, 0},
        {HttpResponse{422, "", 0}, 10, PlayState::Refused, 0},
        {std::nullopt, 10, PlayState::Sent, 1},
        {HttpResponse{503, "", 0}, 10, PlayState::Sent, 1},
        {HttpResponse{503, "", 7}, 10, PlayState::Sent, 7},
        {HttpResponse{429, "", 90}, 10, PlayState::Sent, 30},
        {HttpResponse{302, "", 0}, 10, PlayState::Sent, 1},
        // The retry limit is 60 s after the first request: a retry after that is not made.
        {HttpResponse{503, "", 7}, 62, PlayState::Sent, 7},
        {HttpResponse{503, "", 7}, 64, PlayState::GivenUp, 0},
        {std::nullopt, 70, PlayState::GivenUp, 0},
        {HttpResponse{201, "", 0}, 70, PlayState::Accepted, 0},
    };
    for (auto& row : rows) {
        auto decision = evaluate_submission_answer(row.answer, 10, row.now, 60);
        EXPECT_EQ(decision.state, row.state)
            << row.now << " " << (row.answer ? row.answer->status : 0);
        EXPECT_EQ(decision.retry_after_s, row.retry_after_s);
    }
}

TEST(TracePlay, DetectsContradictingAnswers) {
    struct Row {
        std::vector<const char*> answers;  // "404": unknown to the service; "?": no answer
        PlayState state;
        const char* contradiction;
        uint32_t final_answers;
    };
    const Row rows[] = {
        {{"queued", "running", "queued", "done", "done"},
         PlayState::Done,
         "",
         2},  // preempted in between
        {{"?", "queued", "aborted", "?"}, PlayState::Aborted, "", 1},
        {{"queued", "404"}, PlayState::Accepted, "accepted, then unknown", 0},
        {{"done", "running"}, PlayState::Done, "done, then accepted", 1},
        {{"done", "404"}, PlayState::Done, "done, then unknown", 1},
        {{"aborted", "done", "queued"}, PlayState::Aborted, "aborted, then done", 1},
        {{"nonsense", "done"}, PlayState::Done, "", 1},
        // A job that is unknown for more than 60 s is lost, unless it becomes known again. The
        // answers come 25 s apart.
        {{"queued", "404", "404", "404", "404"}, PlayState::Lost, "accepted, then unknown", 0},
        {{"queued", "404", "404", "queued", "404", "404"},
         PlayState::Accepted,
         "accepted, then unknown",
         0},
    };
    for (auto& row : rows) {
        JobProgress progress;
        progress.state = PlayState::Accepted;
        double now = 0;
        for (std::string answer : row.answers) {
            auto body = "{\"name_id\":\"req-1\",\"status\":\"" + answer + "\"}";
            apply_status_answer(
                progress,
                answer == "?" ? std::nullopt
                              : std::optional(HttpResponse{answer == "404" ? 404 : 200, body, 0}),
                now += 25, 60);
        }
        EXPECT_EQ(progress.state, row.state) << row.answers.back();
        EXPECT_EQ(progress.contradiction, row.contradiction);
        EXPECT_EQ(progress.final_answers, row.final_answers);
    }
}

// A service of three nodes with fakes of its environment, and jobs to play against it.
struct PlayFixture {
    test::ServiceFixture service{3};
    std::filesystem::path folder;
    std::vector<PlayJob> jobs;
    PlayOptions options;

    explicit PlayFixture(int count) {
        auto pattern = (std::filesystem::temp_directory_path() / "weirmill-play-XXXXXX").string();
        folder = ::mkdtemp(pattern.data());
        EXPECT_TRUE(service.wait_until([&] { return !service.leader_name().empty(); }));
        for (int i = 0; i < count; ++i) {
            auto id = "req-" + std::to_string(i + 1);
            PlayJob job{0.05 * i, id, test::ServiceFixture::submission_body(id, "array", 2), {}};
            fakes::Job fake_job;
            fake_job.tasks = 2;
            if (i % 5 == 4) job.dependencies = fake_job.dependencies = {"req-" + std::to_string(i)};
            if (!job.dependencies.empty())
                job.body = test::ServiceFixture::with_field(job.body, "awaits",
                                                            json::value_from(job.dependencies));
            service.cloud->jobs[id] = fake_job;
            jobs.push_back(job);
        }
        for (auto& node : service.nodes)
            options.endpoints.push_back({"127.0.0.1", node->api_port()});
        options.poll_interval_s = 0.2;
        options.submit_timeout_s = options.status_timeout_s = 1;
        options.retry_limit_s = 100;
        options.log_path = (folder / "log").string();
    }
    ~PlayFixture() { std::filesystem::remove_all(folder); }

    std::unique_ptr<Player> play(std::unordered_map<std::string, PlayState> resumed_states = {}) {
        auto next = std::make_shared<size_t>(0);
        finished = false;
        auto player = std::make_unique<Player>(
            service.io, options,
            [this, next]() {
                return *next < jobs.size() ? std::optional(jobs[(*next)++]) : std::nullopt;
            },
            std::move(resumed_states));
        boost::asio::co_spawn(service.io, player->run(), [this](std::exception_ptr e) {
            EXPECT_FALSE(e);
            finished = true;
        });
        return player;
    }
    static size_t count(const Player& player, PlayState state) {
        return static_cast<size_t>(
            std::count_if(player.progress().begin(), player.progress().end(),
                          [&](auto& entry) { return entry.second.state == state; }));
    }
    void expect_all_done(const Player& player) {
        EXPECT_EQ(player.progress().size(), jobs.size());
        for (auto& [id, progress] : player.progress()) {
            EXPECT_EQ(progress.state, PlayState::Done) << id;
            EXPECT_EQ(progress.contradiction, "") << id;
        }
        for (auto& job : jobs)
            EXPECT_EQ(service.state_service->snapshot().count("f/" + job.id), 1u) << job.id;
    }
    bool finished = false;
};

TEST(TracePlay, EveryJobEndsOnceDespiteALeaderCrash) {
    PlayFixture fixture(40);
    auto player = fixture.play();
    ASSERT_TRUE(fixture.service.wait_until([&] { return player->progress().size() >= 15; }));
    fixture.service.crash(fixture.service.leader_name().back() - '0');
    ASSERT_TRUE(fixture.service.wait_until([&] { return fixture.finished; }));
    fixture.expect_all_done(*player);
    for (auto& [id, progress] : player->progress()) EXPECT_EQ(progress.final_answers, 2u) << id;
    auto summary = player->summary();
    EXPECT_EQ(summary.by_state[static_cast<size_t>(PlayState::Done)], 40u);
    auto latency = json::parse(summary.submit_latency);
    EXPECT_EQ(latency.at("count").as_int64(), 40);
    EXPECT_GT(latency.at("p50_s").to_number<double>(), 0);
    size_t rows = 0;
    player->csv([&](const std::string&) { ++rows; });
    EXPECT_EQ(rows, 41u);
}

TEST(TracePlay, AStoppedPlayResumesFromItsLog) {
    PlayFixture fixture(30);
    auto first = fixture.play();
    ASSERT_TRUE(fixture.service.wait_until([&] { return first->progress().size() >= 15; }));
    first->stop();
    ASSERT_TRUE(fixture.service.wait_until([&] { return fixture.finished; }));
    EXPECT_LT(fixture.count(*first, PlayState::Done), 30u);
    auto progress_at_stop = first->progress();
    // The last line of the log is cut off, as after a kill.
    std::ofstream(fixture.options.log_path, std::ios::app) << "{\"id\":\"req-30\",\"is\":\"do";
    auto resumed_states = read_play_log(fixture.options.log_path);
    EXPECT_EQ(resumed_states.count("req-30"), 0u);
    for (auto& [id, state] : resumed_states) {
        ASSERT_TRUE(progress_at_stop.count(id)) << id;
        EXPECT_EQ(state, progress_at_stop[id].state) << id;
    }
    auto second = fixture.play(resumed_states);
    ASSERT_TRUE(fixture.service.wait_until([&] { return fixture.finished; }));
    fixture.expect_all_done(*second);
    // Jobs that were accepted or in a final state are not submitted again.
    for (auto& [id, state] : resumed_states) {
        if (state == PlayState::Sent) continue;
        EXPECT_EQ(second->progress().at(id).submit_attempts, 0u) << id;
    }
    EXPECT_EQ(read_play_log(fixture.options.log_path).size(), 30u);
}

TEST(TracePlay, DependantsOfARefusedJobAreNotSent) {
    PlayFixture fixture(0);
    auto refused = test::ServiceFixture::with_field(
        test::ServiceFixture::submission_body("req-1", "array", 1), "consignor", "nobody");
    auto dependant = test::ServiceFixture::with_field(
        test::ServiceFixture::submission_body("req-2", "array", 1), "awaits", json::array{"req-1"});
    auto unknown_dependency = test::ServiceFixture::with_field(
        test::ServiceFixture::submission_body("req-3", "array", 1), "awaits", json::array{"req-9"});
    fixture.jobs = {{0, "req-3", unknown_dependency, {"req-9"}},
                    {0, "req-2", dependant, {"req-1"}},
                    {1, "req-1", refused, {}}};
    fixture.options.max_in_flight = 1;  // jobs that wait for dependencies do not count
    auto player = fixture.play();
    ASSERT_TRUE(fixture.service.wait_until([&] { return fixture.finished; }));
    EXPECT_EQ(player->progress().at("req-1").state, PlayState::Refused);
    EXPECT_EQ(player->progress().at("req-2").state, PlayState::NotSent);
    EXPECT_EQ(player->progress().at("req-3").state, PlayState::NotSent);
    EXPECT_EQ(fixture.service.state_service->count_keys("f/"), 0u);
}

TEST(LoadStats, HistogramsCountEveryJob) {
    LogHistogram histogram;
    EXPECT_EQ(histogram.quantile(0.5), 0);
    EXPECT_TRUE(histogram.bins(10).empty());
    for (int i = 1; i <= 1000; ++i) histogram.add(i);
    histogram.add(0);  // values outside the range
    histogram.add(1e12);
    EXPECT_NEAR(histogram.quantile(0.5), 500, 500 * 0.13);  // twenty bins per decade
    EXPECT_NEAR(histogram.quantile(0.95), 950, 950 * 0.13);
    uint64_t total = 0;
    auto bins = histogram.bins(30);
    for (auto& bin : bins) total += bin.count;
    EXPECT_EQ(total, 1002u);
    EXPECT_LE(bins.size(), 30u);

    // Arrivals that are not sorted, within half a second up to many years.
    for (double span_s : {0.5, 50.0, 1e4, 1e9}) {
        ArrivalHistogram arrivals;
        std::mt19937 random(3);
        for (int i = 0; i < 500; ++i)
            arrivals.add(span_s * static_cast<double>(random() % 1000) / 1000 - span_s / 3);
        uint64_t total = 0;
        for (auto count : arrivals.counts()) total += count;
        EXPECT_EQ(total, 500u) << span_s;
        EXPECT_LE(arrivals.counts().size(), ArrivalHistogram::kMaxBuckets);
        EXPECT_GE(arrivals.bucket_s() * static_cast<double>(arrivals.counts().size()),
                  span_s * 0.99);
    }
}

TEST(LoadStats, HtmlPageIsCompleteAndSelfContained) {
    LoadStats stats;
    JobSpec spec;
    spec.tasks = 4;
    spec.demand = {2000, 500, 1000};
    spec.estimate_s = 1800;
    stats.add_job(10, spec, "night <b>");
    spec.kind = JobKind::Gang;
    stats.add_job(20, spec, "sale");
    stats.add_waiting_time("sale", 33);
    auto value = json::parse(stats.json());
    EXPECT_EQ(value.at("all").at("jobs").as_int64(), 2);
    EXPECT_EQ(value.at("all").at("core_hours").to_number<double>(), 8);
    EXPECT_EQ(value.at("classes").at("sale").at("gangs").as_int64(), 1);
    EXPECT_EQ(value.at("classes").at("sale").at("waiting_s_p50").to_number<double>(), 33);
    EXPECT_FALSE(value.at("classes").at("night <b>").as_object().contains("waiting_s_p50"));
    auto page = stats.html("Load & more");
    EXPECT_NE(page.find("night &lt;b&gt;"), std::string::npos);
    EXPECT_EQ(page.find("<b>"), std::string::npos);
    for (auto* external_reference : {"http:", "https:", "src=", "@import", "<script"})
        EXPECT_EQ(page.find(external_reference), std::string::npos) << external_reference;
}

TEST(TracePlay, JobFileIsReadInOrderOfTime) {
    auto pattern = (std::filesystem::temp_directory_path() / "weirmill-jobs-XXXXXX").string();
    std::filesystem::path folder = ::mkdtemp(pattern.data());
    auto line = [](double submitted_s, const char* id) {
        return "{\"at_s\":" + std::to_string(submitted_s) +
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
    EXPECT_THROW(read(line(1, "req-1") + "{\"at_s\":1}\n"), FileError);
    EXPECT_THROW(JobFile("-"), FileError);
    std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace weirmill::traces
