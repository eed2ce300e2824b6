// Plays the submissions of an imported trace against a running service, at the times of the trace
// or a multiple of its speed. The player is a client of the service's HTTP interface.
//
// Owns: the state of every job that was played, and the log from which a play can be resumed. A job
// keeps the id of its line in the import's output, so a resumed play never submits it a second time
// under another id.
//
// The log has a line "sent" before the first request for a job, and a line for every later state.
// A resumed play submits jobs again that are "sent" (the service either knows the id or accepts it
// now), polls those that are accepted, and does nothing for those in a final state.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/types.h"
#include "traces/line_source.h"
#include "transport/http_client.h"

namespace weirmill::traces {

struct PlayJob {
    double submitted_s = 0;  // in the trace
    std::string id;
    std::string body;  // of the submission request
    std::vector<std::string> dependencies;
};

// The jobs of an import's output in order of submission time. A file that is not in that order is
// loaded into memory and sorted.
class JobFile {
  public:
    // Throws FileError if the file can't be read or one of its lines is not a job.
    explicit JobFile(const std::string& path);
    std::optional<PlayJob> next();
    // Calls `visit` for every job in the order of the file, with its submission time in the trace
    // and its submission; the names are those to which the submission's indices refer. Throws
    // FileError.
    static void for_each(
        const std::string& path,
        const std::function<void(double submitted_s, const JobSpec&, const Names&)>& visit);

  private:
    std::string path_;
    std::unique_ptr<LineSource> lines_;
    std::vector<PlayJob> sorted_;
    size_t next_sorted_ = 0;
};

enum class PlayState : uint8_t {
    Waiting,  // for its submission time or its dependencies
    Sent,     // submitted; no answer has accepted or refused it yet
    Accepted,
    Done,
    Aborted,
    Refused,  // the service can never run it
    GivenUp,  // not accepted within the retry limit
    NotSent,  // a job on which it depends was not accepted
    Lost,     // accepted, then unknown to the service for longer than the retry limit
};
const char* play_state_name(PlayState state);
std::optional<PlayState> parse_play_state(const std::string& name);
inline bool is_final(PlayState state) {
    return state != PlayState::Waiting && state != PlayState::Sent && state != PlayState::Accepted;
}

// The state of one job in a play. Times are in seconds since the play began; below 0: not yet.
struct JobProgress {
    PlayState state = PlayState::Waiting;
    double due_s = -1, sent_s = -1, accepted_s = -1, started_s = -1, ended_s = -1;
    uint32_t submit_attempts = 0;
    uint32_t final_answers = 0;   // answers that reported the same final state
    double unknown_since_s = -1;  // the service has not known the job since then; < 0: it does
    // The first answer that contradicts an earlier one, such as "done, then unknown"; empty: none.
    std::string contradiction;
};

// The next step after an answer to a submission.
struct SubmissionDecision {
    PlayState state = PlayState::Sent;
    double retry_after_s = 0;  // for the state Sent
};
// Decides from the answer to a submission; nullopt means that none came. `first_sent_s` is the time
// of the first request for this job.
SubmissionDecision evaluate_submission_answer(const std::optional<HttpResponse>& answer,
                                              double first_sent_s, double now,
                                              double retry_limit_s);
// Updates `progress` from the answer to a status request. Returns false if the answer has no state
// of the job.
bool apply_status_answer(JobProgress& progress, const std::optional<HttpResponse>& answer,
                         double now, double retry_limit_s);

struct PlayOptions {
    std::vector<Endpoint> endpoints;
    double speed = 1;             // seconds of the trace in one second of the play
    size_t max_in_flight = 1000;  // jobs that are submitted and not in a final state
    double retry_limit_s = 60;    // a submission is retried for this long after its first request
    double poll_interval_s = 5;
    double submit_timeout_s = 5, status_timeout_s = 2;
    std::string log_path;  // empty: no log is written
};

struct PlaySummary {
    uint64_t jobs = 0, by_state[9] = {};
    uint64_t submit_attempts = 0, contradictions = 0;
    // Distributions of latencies as JSON: from submission to acceptance, from acceptance to the
    // first status that shows the job running, and from acceptance to its end.
    std::string submit_latency, start_latency, end_latency;
    std::string json() const;
};

// Plays the jobs of a source against the service, each in a coroutine of its own.
class Player {
  public:
    using Source = std::function<std::optional<PlayJob>()>;
    // `resumed_states` has the states of an earlier play by job id. Throws FileError if the log
    // can't be written.
    Player(boost::asio::io_context& io, PlayOptions options, Source source,
           std::unordered_map<std::string, PlayState> resumed_states = {});
    ~Player();
    // Returns when every job is in a final state, or soon after stop().
    boost::asio::awaitable<void> run();
    // Ends the play. Jobs that are not in a final state keep the state that the log has.
    void stop();
    PlaySummary summary() const;
    // Passes the header and then one row for each job to `write_row`. Rows are not sorted.
    void csv(const std::function<void(const std::string&)>& write_row) const;
    const std::unordered_map<std::string, JobProgress>& progress() const { return progress_; }

  private:
    struct Log;
    boost::asio::awaitable<void> play_job(PlayJob job, JobProgress& progress);
    boost::asio::awaitable<bool> wait_for_dependencies(const PlayJob& job);
    boost::asio::awaitable<void> submit(const PlayJob& job, JobProgress& progress);
    boost::asio::awaitable<void> poll(const std::string& id, JobProgress& progress);
    boost::asio::awaitable<void> poll_until_final(const std::string& id, JobProgress& progress);
    boost::asio::awaitable<void> sleep_unless_stopped(double seconds);
    HttpClient& next_client();
    void set_state(const std::string& id, JobProgress& progress, PlayState state);
    double now() const;  // seconds since the play began

    boost::asio::io_context& io_;
    PlayOptions options_;
    Source source_;
    std::unordered_map<std::string, PlayState> resumed_states_;
    std::unordered_map<std::string, JobProgress> progress_;
    std::vector<std::unique_ptr<HttpClient>> clients_;
    size_t next_client_index_ = 0;
    std::unique_ptr<Log> log_;
    boost::asio::steady_timer changed_;  // cancelled to wake all waiters when any state changes
    double begin_s_ = 0;                 // steady clock
    size_t in_flight_ = 0;               // jobs that count against max_in_flight
    size_t active_jobs_ = 0;             // coroutines of play_job()
    bool source_exhausted_ = false, stopped_ = false;
};

// Returns the last state of each job in an earlier play's log. Ignores a line that is cut off.
std::unordered_map<std::string, PlayState> read_play_log(const std::string& path);

}  // namespace weirmill::traces
