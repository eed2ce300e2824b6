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

constexpr const char* kStateNames[] = {"waiting", "sent",     "accepted", "done", "aborted",
                                       "refused", "given_up", "not_sent", "lost"};

// A line of an import's output.
struct ParsedJob {
    double submitted_s;
    JobSpec spec;
    json::value submission;
};
ParsedJob parse_line(std::string_view text, const std::string& path, uint64_t line, Names& names) {
    boost::system::error_code ec;
    auto value = json::parse(json::string_view(text.data(), text.size()), ec);
    auto fail = [&](const char* message) {
        throw FileError(path + ":" + std::to_string(line) + ": " + message);
    };
    auto* object = ec ? nullptr : value.if_object();
    auto* submission = object ? object->if_contains("submission") : nullptr;
    auto* submitted_s = object ? object->if_contains("at_s") : nullptr;
    if (!submission || !submission->is_object() || !submitted_s || !submitted_s->is_number())
        fail("not a line of the output of trace import");
    try {
        return {submitted_s->to_number<double>(), parse_submission(*submission, names),
                std::move(*submission)};
    } catch (const BadMessage& e) {
        fail(e.what());
    }
    return {};  // not reached: fail() throws
}

PlayJob parse_job(std::string_view text, const std::string& path, uint64_t line) {
    Names names;
    auto parsed = parse_line(text, path, line, names);
    return {parsed.submitted_s, parsed.spec.id, json::serialize(parsed.submission),
            std::move(parsed.spec.dependencies)};
}

PlayState to_play_state(JobState state) {
    return state == JobState::Done        ? PlayState::Done
           : state == JobState::Cancelled ? PlayState::Aborted
                                          : PlayState::Accepted;
}

std::string status_path(const std::string& id) { return std::string(paths::kJobs) + "/" + id; }

}  // namespace

const char* play_state_name(PlayState state) { return kStateNames[static_cast<size_t>(state)]; }

std::optional<PlayState> parse_play_state(const std::string& name) {
    for (size_t i = 0; i < std::size(kStateNames); ++i)
        if (name == kStateNames[i]) return static_cast<PlayState>(i);
    return {};
}

JobFile::JobFile(const std::string& path) : path_(path) {
    if (path == "-")
        throw FileError("jobs can't be read from standard input, because the file is read twice");
    bool ordered = true;
    double newest = -INFINITY;
    for_each(path, [&](double submitted_s, const JobSpec&, const Names&) {
        ordered = ordered && submitted_s >= newest;
        newest = std::max(newest, submitted_s);
    });
    lines_ = std::make_unique<LineSource>(path);
    if (ordered) return;
    for (Line line; lines_->next(line);) sorted_.push_back(parse_job(line.text, path, line.number));
    std::stable_sort(sorted_.begin(), sorted_.end(),
                     [](auto& a, auto& b) { return a.submitted_s < b.submitted_s; });
    lines_.reset();
}

void JobFile::for_each(const std::string& path,
                       const std::function<void(double, const JobSpec&, const Names&)>& visit) {
    Names names;
    LineSource lines(path);
    for (Line line; lines.next(line);) {
        auto parsed = parse_line(line.text, path, line.number, names);
        visit(parsed.submitted_s, parsed.spec, names);
    }
    if (!lines.error().empty()) throw FileError(lines.error());
}

std::optional<PlayJob> JobFile::next() {
    if (!lines_)
        return next_sorted_ < sorted_.size() ? std::optional(std::move(sorted_[next_sorted_++]))
                                             : std::nullopt;
    Line line;
    if (!lines_->next(line)) return {};
    return parse_job(line.text, path_, line.number);
}

SubmissionDecision evaluate_submission_answer(const std::optional<HttpResponse>& answer,
                                              double first_sent_s, double now,
                                              double retry_limit_s) {
    if (answer && (answer->status == 200 || answer->status == 201)) return {PlayState::Accepted, 0};
    if (answer && (answer->status == 400 || answer->status == 422)) return {PlayState::Refused, 0};
    constexpr double kMinRetry_s = 1, kMaxRetry_s = 30;
    double retry_after_s =
        std::clamp(answer ? answer->retry_after_s : 0.0, kMinRetry_s, kMaxRetry_s);
    if (now + retry_after_s - first_sent_s > retry_limit_s) return {PlayState::GivenUp, 0};
    return {PlayState::Sent, retry_after_s};
}

bool apply_status_answer(JobProgress& progress, const std::optional<HttpResponse>& answer,
                         double now, double retry_limit_s) {
    auto record_contradiction = [&](const std::string& contradiction) {
        if (progress.contradiction.empty()) progress.contradiction = contradiction;
    };
    // The service must not forget a job that it accepted.
    if (answer && answer->status == 404) {
        record_contradiction(std::string(play_state_name(progress.state)) + ", then unknown");
        if (progress.unknown_since_s < 0) progress.unknown_since_s = now;
        // Without this limit, a play would never end if the service forgot a job.
        if (!is_final(progress.state) && now - progress.unknown_since_s > retry_limit_s)
            progress.state = PlayState::Lost;
        return false;
    }
    auto job_state = answer && answer->status == 200 ? parse_job_state(answer->body) : std::nullopt;
    if (!job_state) return false;
    progress.unknown_since_s = -1;
    auto state = to_play_state(*job_state);
    if (is_final(progress.state)) {
        if (state != progress.state)
            record_contradiction(std::string(play_state_name(progress.state)) + ", then " +
                                 play_state_name(state));
        else
            ++progress.final_answers;
        return true;
    }
    if ((job_state == JobState::Running || state == PlayState::Done) && progress.started_s < 0)
        progress.started_s = now;
    if (is_final(state)) {
        progress.state = state;
        progress.ended_s = now;
        ++progress.final_answers;
    }
    return true;
}

// Writes the play log. Flushes after each line, so that the log has every state change even if the
// process is killed.
struct Player::Log {
    std::ofstream out;
    std::string path;
    void append(const std::string& id, PlayState state) {
        std::string line = "{\"id\":";
        write::text(line, id);
        line += ",\"is\":\"";
        line += play_state_name(state);
        line += "\"}\n";
        if (!(out << line << std::flush)) throw FileError(path + ": can't be written");
    }
};

std::unordered_map<std::string, PlayState> read_play_log(const std::string& path) {
    std::unordered_map<std::string, PlayState> states;
    LineSource lines(path);
    for (Line line; lines.next(line);) {
        boost::system::error_code ec;
        auto value = json::parse(json::string_view(line.text.data(), line.text.size()), ec);
        auto* object = ec ? nullptr : value.if_object();
        auto* id = object ? object->if_contains("id") : nullptr;
        auto* state = object ? object->if_contains("is") : nullptr;
        if (!id || !state || !id->is_string() || !state->is_string()) continue;
        if (auto parsed = parse_play_state(std::string(state->get_string())))
            states[std::string(id->get_string())] = *parsed;
    }
    return states;
}

Player::Player(asio::io_context& io, PlayOptions options, Source source,
               std::unordered_map<std::string, PlayState> resumed_states)
    : io_(io),
      options_(std::move(options)),
      source_(std::move(source)),
      resumed_states_(std::move(resumed_states)),
      changed_(io) {
    constexpr size_t kMaxAnswerBytes = 64 * 1024;
    for (auto& endpoint : options_.endpoints)
        clients_.push_back(std::make_unique<HttpClient>(io, endpoint, kMaxAnswerBytes));
    if (!options_.log_path.empty()) {
        log_ = std::make_unique<Log>();
        log_->path = options_.log_path;
        // If the last line of an earlier play is cut off, the first line of this play must not be
        // appended to it.
        bool truncated = false;
        if (std::ifstream old_log(options_.log_path, std::ios::binary | std::ios::ate);
            old_log && old_log.tellg() > 0) {
            old_log.seekg(-1, std::ios::end);
            truncated = old_log.get() != '\n';
        }
        log_->out.open(options_.log_path, std::ios::binary | std::ios::app);
        if (truncated) log_->out << '\n';
        if (!log_->out) throw FileError(options_.log_path + ": can't be written");
    }
    changed_.expires_at(asio::steady_timer::time_point::max());
}

Player::~Player() = default;

double Player::now() const { return steady_now() - begin_s_; }

HttpClient& Player::next_client() { return *clients_[next_client_index_++ % clients_.size()]; }

void Player::set_state(const std::string& id, JobProgress& progress, PlayState state) {
    progress.state = state;
    if (log_) log_->append(id, state);
    changed_.cancel();  // wakes all waiters
}

void Player::stop() {
    stopped_ = true;
    changed_.cancel();
}

asio::awaitable<void> Player::sleep_unless_stopped(double seconds) {
    // Sleeps in short steps, so that stop() ends the sleep soon.
    constexpr double kStopCheckInterval_s = 0.2;
    for (double end = now() + seconds; !stopped_ && now() < end;)
        co_await sleep_s(std::max(0.001, std::min(kStopCheckInterval_s, end - now())));
}

asio::awaitable<void> Player::run() {
    begin_s_ = steady_now();
    std::optional<double> trace_begin_s;  // the trace's time at which the play began
    std::exception_ptr failure;
    auto on_job_end = [&](std::exception_ptr e) {
        --active_jobs_;
        if (e && !failure) failure = e;
        if (e) stop();
        changed_.cancel();
    };
    while (!stopped_) {
        auto job = source_();
        if (!job) break;
        auto [it, added] = progress_.emplace(job->id, JobProgress{});
        if (!added) continue;  // an earlier line has the same id
        auto& progress = it->second;
        auto resumed = resumed_states_.find(job->id);
        if (resumed != resumed_states_.end() && is_final(resumed->second)) {
            progress.state = resumed->second;
            continue;
        }
        if (resumed == resumed_states_.end()) {
            if (!trace_begin_s) trace_begin_s = job->submitted_s - now() * options_.speed;
            progress.due_s = (job->submitted_s - *trace_begin_s) / options_.speed;
            co_await sleep_unless_stopped(progress.due_s - now());
        } else {
            progress.state = resumed->second;
            progress.due_s = now();
        }
        while (!stopped_ && in_flight_ >= options_.max_in_flight)
            co_await changed_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (stopped_) break;
        ++active_jobs_;
        ++in_flight_;
        asio::co_spawn(io_, play_job(std::move(*job), progress), on_job_end);
    }
    source_exhausted_ = !stopped_;
    changed_.cancel();
    while (active_jobs_ > 0) co_await changed_.async_wait(asio::as_tuple(asio::use_awaitable));
    if (failure) std::rethrow_exception(failure);
}

// Waits until all dependencies of the job are accepted. Returns false if one of them can no longer
// be accepted, or if the play is stopped.
asio::awaitable<bool> Player::wait_for_dependencies(const PlayJob& job) {
    for (auto& id : job.dependencies)
        for (;;) {
            if (stopped_) co_return false;
            auto it = progress_.find(id);
            if (it == progress_.end() && source_exhausted_) co_return false;
            if (it != progress_.end()) {
                auto state = it->second.state;
                if (state == PlayState::Accepted || state == PlayState::Done ||
                    state == PlayState::Aborted)
                    break;
                if (is_final(state)) co_return false;
            }
            co_await changed_.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    co_return true;
}

asio::awaitable<void> Player::play_job(PlayJob job, JobProgress& progress) {
    if (progress.state == PlayState::Accepted) {
        progress.accepted_s = now();  // by an earlier play
    } else {
        // A job that waits for its dependencies does not count as in flight, as it could otherwise
        // keep them from being submitted.
        --in_flight_;
        changed_.cancel();
        bool can_submit = co_await wait_for_dependencies(job);
        ++in_flight_;
        if (can_submit)
            co_await submit(job, progress);
        else if (!stopped_)
            set_state(job.id, progress, PlayState::NotSent);
    }
    if (progress.state == PlayState::Accepted) co_await poll_until_final(job.id, progress);
    --in_flight_;
}

asio::awaitable<void> Player::submit(const PlayJob& job, JobProgress& progress) {
    set_state(job.id, progress, PlayState::Sent);
    progress.sent_s = now();
    while (!stopped_) {
        ++progress.submit_attempts;
        auto answer = co_await next_client().request("POST", std::string(paths::kJobs), job.body,
                                                     options_.submit_timeout_s);
        auto decision =
            evaluate_submission_answer(answer, progress.sent_s, now(), options_.retry_limit_s);
        if (decision.state == PlayState::Sent) {
            co_await sleep_unless_stopped(decision.retry_after_s);
            continue;
        }
        if (decision.state == PlayState::Accepted) progress.accepted_s = now();
        set_state(job.id, progress, decision.state);
        co_return;
    }
}

asio::awaitable<void> Player::poll(const std::string& id, JobProgress& progress) {
    co_await sleep_unless_stopped(options_.poll_interval_s);
    if (stopped_) co_return;
    auto answer =
        co_await next_client().request("GET", status_path(id), "", options_.status_timeout_s);
    apply_status_answer(progress, answer, now(), options_.retry_limit_s);
}

asio::awaitable<void> Player::poll_until_final(const std::string& id, JobProgress& progress) {
    while (!stopped_ && !is_final(progress.state)) co_await poll(id, progress);
    if (stopped_) co_return;
    set_state(id, progress, progress.state);
    // A final state must not change: asks the next node as well.
    while (!stopped_ && progress.final_answers < 2 && progress.contradiction.empty())
        co_await poll(id, progress);
}

namespace {

// Returns a histogram for latencies from one millisecond to 10000 seconds, with twenty bins for
// each decade.
auto latency_histogram() {
    return hist::make_histogram(
        hist::axis::regular<double, hist::axis::transform::log>(140, 1e-3, 1e4));
}

template <class Histogram>
std::string latency_json(const Histogram& histogram) {
    double count = hist::algorithm::sum(histogram);
    std::string out = "{\"count\":";
    write::number(out, static_cast<uint64_t>(count));
    for (auto [percentile, q] : {std::pair{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}}) {
        double cumulative = 0, upper = 0;
        for (auto&& bin : hist::indexed(histogram, hist::coverage::all)) {
            cumulative += *bin;
            upper = bin.bin().upper();
            if (count > 0 && cumulative >= q * count) break;
        }
        out += std::string(",\"") + percentile + "_s\":";
        if (count == 0 || !std::isfinite(upper))
            out += "null";
        else
            write::number(out, std::round(upper * 1e4) / 1e4);
    }
    return out + "}";
}

}  // namespace

PlaySummary Player::summary() const {
    PlaySummary summary;
    auto submit = latency_histogram(), start = latency_histogram(), end = latency_histogram();
    for (auto& [id, job] : progress_) {
        ++summary.jobs;
        ++summary.by_state[static_cast<size_t>(job.state)];
        summary.submit_attempts += job.submit_attempts;
        summary.contradictions += !job.contradiction.empty();
        if (job.sent_s >= 0 && job.accepted_s >= 0) submit(job.accepted_s - job.sent_s);
        if (job.accepted_s >= 0 && job.started_s >= 0) start(job.started_s - job.accepted_s);
        if (job.accepted_s >= 0 && job.ended_s >= 0) end(job.ended_s - job.accepted_s);
    }
    summary.submit_latency = latency_json(submit);
    summary.start_latency = latency_json(start);
    summary.end_latency = latency_json(end);
    return summary;
}

std::string PlaySummary::json() const {
    std::string out = "{\"jobs\":";
    write::number(out, jobs);
    for (size_t i = 0; i < std::size(by_state); ++i) {
        out += std::string(",\"") + kStateNames[i] + "\":";
        write::number(out, by_state[i]);
    }
    out += ",\"tries\":";
    write::number(out, submit_attempts);
    out += ",\"went_back\":";
    write::number(out, contradictions);
    return out + ",\"submission\":" + submit_latency + ",\"start\":" + start_latency +
           ",\"end\":" + end_latency + "}";
}

void Player::csv(const std::function<void(const std::string&)>& write_row) const {
    write_row("id,state,due_s,sent_s,accepted_s,started_s,ended_s,tries,final_answers,went_back\n");
    for (auto& [id, job] : progress_) {
        std::string row = id + "," + play_state_name(job.state);
        for (double time_s : {job.due_s, job.sent_s, job.accepted_s, job.started_s, job.ended_s}) {
            row += ',';
            if (time_s >= 0) write::number(row, std::round(time_s * 1e4) / 1e4);
        }
        row += ',' + std::to_string(job.submit_attempts) + ',' + std::to_string(job.final_answers) +
               ",\"" + job.contradiction + "\"\n";
        write_row(row);
    }
}

}  // namespace weirmill::traces
