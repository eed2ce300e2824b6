// Submissions of a trace, played against a service in time: the client that the protocol asks for.
//
// Owns: what is known of every job that was played, and the log from which a play can go on. A
// job's id is that of its line: a play that is resumed submits nothing a second time under another
// one.
//
// Before the first request for a job its id is in the log as "sent", and after every answer that
// settles something the log says so. A play that goes on from a log sends jobs that were "sent"
// again (the service knows the id, or takes it now), polls those that were accepted, and leaves
// those alone that are settled.
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
#include "traces/input.h"
#include "transport/http_client.h"

namespace weirmill::traces {

struct PlayJob {
    double at_s = 0;  // time of submission in the trace
    std::string id, body;
    std::vector<std::string> awaits;
};

// Jobs of an import's output, in order of time. A file that is not in order is held in memory and
// sorted.
class JobFile {
  public:
    explicit JobFile(const std::string& path);  // throws Unreadable, also for a line that is no job
    std::optional<PlayJob> next();
    // Every job of a file in the file's order: its time, and the submission with its names. Throws
    // Unreadable.
    static void each(const std::string& path,
                     const std::function<void(double at_s, const JobSpec&, const Names&)>& job);

  private:
    std::string path_;
    std::unique_ptr<LineSource> lines_;
    std::vector<PlayJob> sorted_;
    size_t at_ = 0;
};

enum class Played : uint8_t {
    Waiting,  // for its time, or for jobs that it waits for
    Sent,     // no answer that settles it yet
    Accepted,
    Done,
    Aborted,
    Refused,  // can never run
    GivenUp,  // not taken in the time that a user goes on trying
    NotSent,  // a job that it waits for was not taken
    Lost,     // taken, then unknown for as long as a user would go on trying
};
const char* played_name(Played state);
std::optional<Played> played_of(const std::string& name);
inline bool settled(Played p) {
    return p != Played::Waiting && p != Played::Sent && p != Played::Accepted;
}

// What answers have said of a job, and whether one of them went back.
struct Track {
    Played is = Played::Waiting;
    double due_s = -1, sent_s = -1, accepted_s = -1, started_s = -1,
           ended_s = -1;         // since the play began; < 0: not yet
    uint32_t tries = 0;          // requests to submit it
    uint32_t final_answers = 0;  // that said done or aborted, all of them the same
    double unknown_s =
        -1;  // since when the service says that it does not know the job; < 0: it does
    std::string went_back;  // what an answer took back; empty: none did
};

// What to do with the answer to a submission. `first_s`, `now`: when it was first sent, and the
// time.
struct Judgement {
    Played is = Played::Sent;
    double again_s = 0;  // Sent: try again after this
};
Judgement judge_submission(const std::optional<HttpResponse>& answer, double first_s, double now,
                           double patience_s);
// Takes the answer to a poll into account; pure but for `track`. False: it told nothing.
bool judge_status(Track& track, const std::optional<HttpResponse>& answer, double now,
                  double patience_s);

struct PlayOptions {
    std::vector<Endpoint> to;
    double speed = 1;         // of the trace's time
    size_t in_flight = 1000;  // jobs that were sent and are not settled
    double patience_s = 60;   // a submission is tried again for so long
    double poll_s = 5;
    double answer_s = 5, status_s = 2;  // waited for an answer
    std::string log;                    // a path; empty: none is kept
};

struct PlayFigures {
    uint64_t jobs = 0, by_state[9] = {};
    uint64_t tries = 0, went_back = 0;
    std::string submit, start,
        end;  // latencies, JSON: submission to acceptance, acceptance to running, to the end
    std::string json() const;
};

class Player {
  public:
    using Source = std::function<std::optional<PlayJob>()>;
    // `log`: what an earlier play knew, by id. Throws Unreadable if the log can't be written.
    Player(boost::asio::io_context& io, PlayOptions options, Source source,
           std::unordered_map<std::string, Played> log = {});
    ~Player();
    // Ends when every job is settled, or soon after stop().
    boost::asio::awaitable<void> run();
    // Nothing more is submitted; what is under way is left as the log says.
    void stop();
    PlayFigures figures() const;
    // A row for each job, in no order of time; the header first.
    void csv(const std::function<void(const std::string&)>& row) const;
    const std::unordered_map<std::string, Track>& tracks() const { return tracks_; }

  private:
    struct Log;
    boost::asio::awaitable<void> play(PlayJob job, Track& track);
    boost::asio::awaitable<bool> awaited(const PlayJob& job);
    boost::asio::awaitable<void> submit(const PlayJob& job, Track& track);
    boost::asio::awaitable<void> poll(const std::string& id, Track& track);
    boost::asio::awaitable<void> follow(const std::string& id, Track& track);
    boost::asio::awaitable<void> pause(double seconds);  // cut short by stop()
    HttpClient& client();
    void set(const std::string& id, Track& track, Played is);
    double now() const;

    boost::asio::io_context& io_;
    PlayOptions options_;
    Source source_;
    std::unordered_map<std::string, Played> known_;
    std::unordered_map<std::string, Track> tracks_;
    std::vector<std::unique_ptr<HttpClient>> clients_;
    size_t next_client_ = 0;
    std::unique_ptr<Log> log_;
    boost::asio::steady_timer changed_;
    double begin_ = 0;
    size_t in_flight_ = 0, playing_ = 0;
    bool all_read_ = false, stopped_ = false;
};

// What an earlier play's log says: the last word on each id. A line that was cut is left out.
std::unordered_map<std::string, Played> read_play_log(const std::string& path);

}  // namespace weirmill::traces
