#include "traces/play.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/histogram.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <fstream>

#include "protocol/json_write.h"
#include "protocol/paths.h"
#include "protocol/user_codec.h"
#include "transport/one_shot.h"

namespace weirmill::traces {

namespace asio = boost::asio;
namespace json = boost::json;
namespace hist = boost::histogram;

namespace {

constexpr const char* kNames[] = {"waiting", "sent",     "accepted", "done", "aborted",
                                  "refused", "given_up", "not_sent", "lost"};

// One line of an import's output.
struct ParsedJob {
    double at_s;
    JobSpec spec;
    json::value submission;
};
ParsedJob parse_line(std::string_view text, const std::string& path, uint64_t line, Names& names) {
    boost::system::error_code ec;
    auto v = json::parse(json::string_view(text.data(), text.size()), ec);
    auto wrong = [&](const char* what) {
        throw Unreadable(path + ":" + std::to_string(line) + ": " + what);
    };
    auto* o = ec ? nullptr : v.if_object();
    auto* s = o ? o->if_contains("submission") : nullptr;
    auto* at = o ? o->if_contains("at_s") : nullptr;
    if (!s || !s->is_object() || !at || !at->is_number()) wrong("not a line of an import's output");
    try {
        return {at->to_number<double>(), parse_submission(*s, names), std::move(*s)};
    } catch (const BadMessage& e) {
        wrong(e.what());
    }
    return {};  // not reached
}

PlayJob parse_job(std::string_view text, const std::string& path, uint64_t line) {
    Names names;
    auto parsed = parse_line(text, path, line, names);
    return {parsed.at_s, parsed.spec.id, json::serialize(parsed.submission),
            std::move(parsed.spec.dependencies)};
}

Played played(JobState state) {
    return state == JobState::Done        ? Played::Done
           : state == JobState::Cancelled ? Played::Aborted
                                          : Played::Accepted;
}

std::string target(const std::string& id) { return std::string(paths::kJobs) + "/" + id; }

}  // namespace

const char* played_name(Played state) { return kNames[static_cast<size_t>(state)]; }

std::optional<Played> played_of(const std::string& name) {
    for (size_t i = 0; i < std::size(kNames); ++i)
        if (name == kNames[i]) return static_cast<Played>(i);
    return {};
}

JobFile::JobFile(const std::string& path) : path_(path) {
    if (path == "-") throw Unreadable("jobs are read twice: standard input can't be played");
    bool ordered = true;
    double newest = -INFINITY;
    each(path, [&](double at_s, const JobSpec&, const Names&) {
        ordered = ordered && at_s >= newest;
        newest = std::max(newest, at_s);
    });
    lines_ = std::make_unique<LineSource>(path);
    if (ordered) return;
    for (Line line; lines_->next(line);) sorted_.push_back(parse_job(line.text, path, line.number));
    std::stable_sort(sorted_.begin(), sorted_.end(),
                     [](auto& a, auto& b) { return a.at_s < b.at_s; });
    lines_.reset();
}

void JobFile::each(const std::string& path,
                   const std::function<void(double, const JobSpec&, const Names&)>& job) {
    Names names;
    LineSource lines(path);
    for (Line line; lines.next(line);) {
        auto parsed = parse_line(line.text, path, line.number, names);
        job(parsed.at_s, parsed.spec, names);
    }
    if (!lines.broken().empty()) throw Unreadable(lines.broken());
}

std::optional<PlayJob> JobFile::next() {
    if (!lines_)
        return at_ < sorted_.size() ? std::optional(std::move(sorted_[at_++])) : std::nullopt;
    Line line;
    if (!lines_->next(line)) return {};
    return parse_job(line.text, path_, line.number);
}

Judgement judge_submission(const std::optional<HttpResponse>& answer, double first_s, double now,
                           double patience_s) {
    if (answer && (answer->status == 200 || answer->status == 201)) return {Played::Accepted, 0};
    if (answer && (answer->status == 400 || answer->status == 422)) return {Played::Refused, 0};
    constexpr double kLongestWait_s = 30;
    double after = std::clamp(answer ? answer->retry_after_s : 0.0, 1.0, kLongestWait_s);
    if (now + after - first_s > patience_s) return {Played::GivenUp, 0};
    return {Played::Sent, after};
}

bool judge_status(Track& track, const std::optional<HttpResponse>& answer, double now,
                  double patience_s) {
    auto back = [&](const std::string& what) {
        if (track.went_back.empty()) track.went_back = what;
    };
    // An accepted job is never unknown again.
    if (answer && answer->status == 404) {
        back(std::string(played_name(track.is)) + ", then unknown");
        if (track.unknown_s < 0) track.unknown_s = now;
        // Without an end a play of a service that forgets would have none.
        if (!settled(track.is) && now - track.unknown_s > patience_s) track.is = Played::Lost;
        return false;
    }
    auto state = answer && answer->status == 200 ? parse_job_state(answer->body) : std::nullopt;
    if (!state) return false;
    track.unknown_s = -1;
    auto is = played(*state);
    if (settled(track.is)) {
        if (is != track.is)
            back(std::string(played_name(track.is)) + ", then " + played_name(is));
        else
            ++track.final_answers;
        return true;
    }
    if ((state == JobState::Running || is == Played::Done) && track.started_s < 0)
        track.started_s = now;
    if (settled(is)) {
        track.is = is;
        track.ended_s = now;
        ++track.final_answers;
    }
    return true;
}

// Written and flushed line by line: what is told of a job in it was true then, whatever becomes of
// the player.
struct Player::Log {
    std::ofstream out;
    std::string path;
    void line(const std::string& id, Played is) {
        std::string text = "{\"id\":";
        write::text(text, id);
        text += ",\"is\":\"";
        text += played_name(is);
        text += "\"}\n";
        if (!(out << text << std::flush)) throw Unreadable(path + ": can't be written");
    }
};

std::unordered_map<std::string, Played> read_play_log(const std::string& path) {
    std::unordered_map<std::string, Played> out;
    LineSource lines(path);
    for (Line line; lines.next(line);) {
        boost::system::error_code ec;
        auto v = json::parse(json::string_view(line.text.data(), line.text.size()), ec);
        auto* o = ec ? nullptr : v.if_object();
        auto* id = o ? o->if_contains("id") : nullptr;
        auto* is = o ? o->if_contains("is") : nullptr;
        if (!id || !is || !id->is_string() || !is->is_string()) continue;
        if (auto p = played_of(std::string(is->get_string())))
            out[std::string(id->get_string())] = *p;
    }
    return out;
}

Player::Player(asio::io_context& io, PlayOptions options, Source source,
               std::unordered_map<std::string, Played> log)
    : io_(io),
      options_(std::move(options)),
      source_(std::move(source)),
      known_(std::move(log)),
      changed_(io) {
    constexpr size_t kLongestAnswer = 64 * 1024;
    for (auto& to : options_.to)
        clients_.push_back(std::make_unique<HttpClient>(io, to, kLongestAnswer));
    if (!options_.log.empty()) {
        log_ = std::make_unique<Log>();
        log_->path = options_.log;
        // A cut line of an earlier play must not run into the first of this one.
        bool cut = false;
        if (std::ifstream old(options_.log, std::ios::binary | std::ios::ate);
            old && old.tellg() > 0) {
            old.seekg(-1, std::ios::end);
            cut = old.get() != '\n';
        }
        log_->out.open(options_.log, std::ios::binary | std::ios::app);
        if (cut) log_->out << '\n';
        if (!log_->out) throw Unreadable(options_.log + ": can't be written");
    }
    changed_.expires_at(asio::steady_timer::time_point::max());
}

Player::~Player() = default;

double Player::now() const { return steady_now() - begin_; }

HttpClient& Player::client() { return *clients_[next_client_++ % clients_.size()]; }

void Player::set(const std::string& id, Track& track, Played is) {
    track.is = is;
    if (log_) log_->line(id, is);
    changed_.cancel();  // wakes whoever waits for some job
}

void Player::stop() {
    stopped_ = true;
    changed_.cancel();
}

asio::awaitable<void> Player::pause(double seconds) {
    // One wait for both: the pause itself, and the sign to stop, looked for a few times a second.
    constexpr double kGlance_s = 0.2;
    for (double end = now() + seconds; !stopped_ && now() < end;)
        co_await sleep_s(std::max(0.001, std::min(kGlance_s, end - now())));
}

asio::awaitable<void> Player::run() {
    begin_ = steady_now();
    std::optional<double> origin;
    std::exception_ptr failed;
    auto done = [&](std::exception_ptr e) {
        --playing_;
        if (e && !failed) failed = e;
        if (e) stop();
        changed_.cancel();
    };
    while (!stopped_) {
        auto job = source_();
        if (!job) break;
        auto [it, added] = tracks_.emplace(job->id, Track{});
        if (!added) continue;  // a second line of an id is the same job
        auto& track = it->second;
        auto before = known_.find(job->id);
        if (before != known_.end() && settled(before->second)) {
            track.is = before->second;
            continue;
        }
        if (before == known_.end()) {
            if (!origin) origin = job->at_s - now() * options_.speed;
            track.due_s = (job->at_s - *origin) / options_.speed;
            co_await pause(track.due_s - now());
        } else {
            track.is = before->second;
            track.due_s = now();
        }
        while (!stopped_ && in_flight_ >= options_.in_flight)
            co_await changed_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (stopped_) break;
        ++playing_;
        ++in_flight_;
        asio::co_spawn(io_, play(std::move(*job), track), done);
    }
    all_read_ = !stopped_;
    changed_.cancel();
    while (playing_ > 0) co_await changed_.async_wait(asio::as_tuple(asio::use_awaitable));
    if (failed) std::rethrow_exception(failed);
}

// Whether the jobs that it waits for are taken: false if one of them never will be.
asio::awaitable<bool> Player::awaited(const PlayJob& job) {
    for (auto& id : job.awaits)
        for (;;) {
            if (stopped_) co_return false;
            auto it = tracks_.find(id);
            if (it == tracks_.end() && all_read_) co_return false;
            if (it != tracks_.end()) {
                auto is = it->second.is;
                if (is == Played::Accepted || is == Played::Done || is == Played::Aborted) break;
                if (settled(is)) co_return false;
            }
            co_await changed_.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    co_return true;
}

asio::awaitable<void> Player::play(PlayJob job, Track& track) {
    if (track.is == Played::Accepted) {
        track.accepted_s = now();  // by an earlier play
    } else {
        // A job that waits for others takes no place of theirs.
        --in_flight_;
        changed_.cancel();
        bool may = co_await awaited(job);
        ++in_flight_;
        if (may)
            co_await submit(job, track);
        else if (!stopped_)
            set(job.id, track, Played::NotSent);
    }
    if (track.is == Played::Accepted) co_await follow(job.id, track);
    --in_flight_;
}

asio::awaitable<void> Player::submit(const PlayJob& job, Track& track) {
    set(job.id, track, Played::Sent);
    track.sent_s = now();
    while (!stopped_) {
        ++track.tries;
        auto answer = co_await client().request("POST", std::string(paths::kJobs), job.body,
                                                options_.answer_s);
        auto judged = judge_submission(answer, track.sent_s, now(), options_.patience_s);
        if (judged.is == Played::Sent) {
            co_await pause(judged.again_s);
            continue;
        }
        if (judged.is == Played::Accepted) track.accepted_s = now();
        set(job.id, track, judged.is);
        co_return;
    }
}

asio::awaitable<void> Player::poll(const std::string& id, Track& track) {
    co_await pause(options_.poll_s);
    if (stopped_) co_return;
    auto answer = co_await client().request("GET", target(id), "", options_.status_s);
    judge_status(track, answer, now(), options_.patience_s);
}

asio::awaitable<void> Player::follow(const std::string& id, Track& track) {
    while (!stopped_ && !settled(track.is)) co_await poll(id, track);
    if (stopped_) co_return;
    set(id, track, track.is);
    // A final answer stands: another node is asked once more.
    while (!stopped_ && track.final_answers < 2 && track.went_back.empty())
        co_await poll(id, track);
}

namespace {

// Latencies from a millisecond to three hours, in steps of a twentieth of a decade.
auto latencies() {
    return hist::make_histogram(
        hist::axis::regular<double, hist::axis::transform::log>(140, 1e-3, 1e4));
}

template <class Histogram>
std::string latency_json(const Histogram& h) {
    double all = hist::algorithm::sum(h);
    std::string out = "{\"count\":";
    write::number(out, static_cast<uint64_t>(all));
    for (auto [name, share] : {std::pair{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}}) {
        double below = 0, upper = 0;
        for (auto&& x : hist::indexed(h, hist::coverage::all)) {
            below += *x;
            upper = x.bin().upper();
            if (all > 0 && below >= share * all) break;
        }
        out += std::string(",\"") + name + "_s\":";
        if (all == 0 || !std::isfinite(upper))
            out += "null";
        else
            write::number(out, std::round(upper * 1e4) / 1e4);
    }
    return out + "}";
}

}  // namespace

PlayFigures Player::figures() const {
    PlayFigures f;
    auto submit = latencies(), start = latencies(), end = latencies();
    for (auto& [id, t] : tracks_) {
        ++f.jobs;
        ++f.by_state[static_cast<size_t>(t.is)];
        f.tries += t.tries;
        f.went_back += !t.went_back.empty();
        if (t.sent_s >= 0 && t.accepted_s >= 0) submit(t.accepted_s - t.sent_s);
        if (t.accepted_s >= 0 && t.started_s >= 0) start(t.started_s - t.accepted_s);
        if (t.accepted_s >= 0 && t.ended_s >= 0) end(t.ended_s - t.accepted_s);
    }
    f.submit = latency_json(submit);
    f.start = latency_json(start);
    f.end = latency_json(end);
    return f;
}

std::string PlayFigures::json() const {
    std::string out = "{\"jobs\":";
    write::number(out, jobs);
    for (size_t i = 0; i < std::size(by_state); ++i) {
        out += std::string(",\"") + kNames[i] + "\":";
        write::number(out, by_state[i]);
    }
    out += ",\"tries\":";
    write::number(out, tries);
    out += ",\"went_back\":";
    write::number(out, went_back);
    return out + ",\"submission\":" + submit + ",\"start\":" + start + ",\"end\":" + end + "}";
}

void Player::csv(const std::function<void(const std::string&)>& row) const {
    row("id,state,due_s,sent_s,accepted_s,started_s,ended_s,tries,final_answers,went_back\n");
    for (auto& [id, t] : tracks_) {
        std::string out = id + "," + played_name(t.is);
        for (double v : {t.due_s, t.sent_s, t.accepted_s, t.started_s, t.ended_s}) {
            out += ',';
            if (v >= 0) write::number(out, std::round(v * 1e4) / 1e4);
        }
        out += ',' + std::to_string(t.tries) + ',' + std::to_string(t.final_answers) + ",\"" +
               t.went_back + "\"\n";
        row(out);
    }
}

}  // namespace weirmill::traces
