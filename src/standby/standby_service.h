// Serves users' requests from the key-value store while no leader answers this controller.
//
// An actor that runs on the io_context's single thread. It owns its copy of the state log and the
// rate limits of its reads and writes. docs/design-standby.md explains why it is safe alongside any
// leader; "When nobody leads" in docs/operations.md describes what operators see.
#pragma once
#include <functional>

#include "metrics/metrics.h"
#include "standby/kv_response_tracker.h"
#include "standby/standby_decisions.h"
#include "standby/state_log_follower.h"
#include "state/cluster_state.h"
#include "storage/kv_client.h"

namespace weirmill {

class StandbyService {
  public:
    // `is_leader` returns whether this controller leads; the leader needs no copy of the log.
    StandbyService(boost::asio::io_context& io, const Settings& settings,
                   const Properties& properties, KvClient& kv, Metrics& metrics,
                   std::function<bool()> is_leader);

    // Returns whether requests can be served: the standby service is enabled, every controller
    // adopts pending records, the copy of the log is complete, the machine types are known, and the
    // key-value store has answered recently.
    bool available() const;
    // Answers a Submit, Status or Cancel call. If the answer can't be derived from the key-value
    // store now, replies 503 with a retry time.
    boost::asio::awaitable<PeerReply> serve(PeerCall call);

  private:
    struct JobLookup {
        JobStatus status;
        std::optional<PendingRecord> pending;
        uint64_t pending_version = 0;  // 0: there is no pending record
    };
    // The order in which a job's records are read.
    enum class LookupOrder : uint8_t {
        LogFirst,      // reads the pending record only if the log does not hold the job
        PendingFirst,  // always reads the pending record
    };
    // The result of checking a submission's dependencies.
    struct DependencyCheck {
        std::optional<PeerReply> refusal;  // empty: the submission may be accepted
        bool cancelled = false;  // a dependency is cancelled, so the job is accepted as cancelled
    };
    boost::asio::awaitable<void> adopter_loop();
    boost::asio::awaitable<bool> write_adopter_record();
    boost::asio::awaitable<void> read_adopter_records();
    boost::asio::awaitable<void> read_machine_types();
    boost::asio::awaitable<void> refresh_loop();

    // Returns nothing if a read failed.
    boost::asio::awaitable<std::optional<JobLookup>> look_up(std::string id, LookupOrder order);
    boost::asio::awaitable<std::optional<JobLookup>> look_up_records(std::string id);
    // Sets the pending record and its version in `result`. Returns false if the read failed.
    boost::asio::awaitable<bool> read_pending(std::string id, JobLookup* result);
    JobLookup look_up_in_log(const std::string& id) const;

    boost::asio::awaitable<PeerReply> status(std::string id);
    boost::asio::awaitable<PeerReply> submit(std::string body);
    boost::asio::awaitable<PeerReply> submit_parsed(JobSpec spec);
    boost::asio::awaitable<DependencyCheck> check_dependencies(
        std::string id, std::vector<std::string> dependencies);
    boost::asio::awaitable<PeerReply> accept_submission(std::string id, PendingRecord record);
    boost::asio::awaitable<PeerReply> reply_for_existing_job(std::string id);
    boost::asio::awaitable<PeerReply> refuse_submission(std::string id, PeerReply refusal);
    boost::asio::awaitable<PeerReply> cancel(std::string id);
    boost::asio::awaitable<bool> record_cancellation(std::string id, JobLookup found);
    boost::asio::awaitable<PeerReply> await_cancellation(std::string id);
    // Counts one write against the rate limit. Returns false if the limit allows none now.
    bool try_take_write();

    const Settings& settings_;
    const Properties& properties_;
    KvClient& kv_;
    Metrics& metrics_;
    std::function<bool()> is_leader_;
    ClusterState cluster_;  // holds only names, teams, machine types and limits
    bool all_controllers_adopt_ = false;
    RateLimiter read_limiter_, write_limiter_;
    KvResponseTracker kv_responses_;
    StateLogFollower log_follower_;
};

}  // namespace weirmill
