// Standby request path: serves users through the state service while no leader answers this
// controller. An actor that owns its copy of the log and the rates at which it reads and writes; on
// the io_context's one thread. docs/design-standby.md has the argument why that is safe beside any
// leader, and docs/operations.md, "When nobody leads", what operators see.
#pragma once
#include <functional>

#include "metrics/metrics.h"
#include "standby/kv_answers.h"
#include "standby/standby_decisions.h"
#include "standby/state_log_follower.h"
#include "state/cluster_state.h"
#include "storage/kv_client.h"

namespace weirmill {

class StandbyService {
  public:
    // `leads`: whether this node leads, and so needs no copy of the log.
    StandbyService(boost::asio::io_context& io, const Settings& settings,
                   const Properties& properties, KvClient& kv, Metrics& metrics,
                   std::function<bool()> leads);

    // It can serve: every controller adopts pending records, the copy of the log is complete, and
    // the state service answered lately.
    bool available() const;
    // Submit, Status and Cancel. 503 with the time to come back whenever the state service does not
    // tell enough.
    boost::asio::awaitable<PeerReply> serve(PeerCall call);

  private:
    struct JobLookup {
        JobStanding standing;
        std::optional<PendingRecord> pending;
        uint64_t pending_version = 0;  // 0: there is no record
    };
    // In what order a job's records are read.
    enum class LookupOrder : uint8_t {
        LogFirst,      // the pending record only where the log does not hold the job
        PendingFirst,  // the pending record always
    };
    // What a submission's dependencies lead to.
    struct DependencyCheck {
        std::optional<PeerReply> refusal;  // nothing: none
        bool cancelled = false;            // the job is accepted, and cancelled with one of them
    };
    boost::asio::awaitable<void> adopter_loop();
    boost::asio::awaitable<bool> write_adopter_record();
    boost::asio::awaitable<void> read_adopter_records();
    boost::asio::awaitable<void> read_machine_types();
    boost::asio::awaitable<void> refresh_loop();

    // Nothing: not known now.
    boost::asio::awaitable<std::optional<JobLookup>> look_up(std::string id, LookupOrder order);
    boost::asio::awaitable<std::optional<JobLookup>> look_up_records(std::string id);
    // Sets the pending record of `out`. False: not known now.
    boost::asio::awaitable<bool> read_pending(std::string id, JobLookup* out);
    JobLookup look_up_in_view(const std::string& id) const;

    boost::asio::awaitable<PeerReply> status(std::string id);
    boost::asio::awaitable<PeerReply> submit(std::string body);
    boost::asio::awaitable<PeerReply> submit_valid(JobSpec spec);
    boost::asio::awaitable<DependencyCheck> check_dependencies(std::string id,
                                                               std::vector<std::string> on);
    boost::asio::awaitable<PeerReply> accept(std::string id, PendingRecord record);
    boost::asio::awaitable<PeerReply> existing_or_retry(std::string id);
    boost::asio::awaitable<PeerReply> refuse(std::string id, PeerReply refusal);
    boost::asio::awaitable<PeerReply> cancel(std::string id);
    boost::asio::awaitable<bool> record_cancellation(std::string id, JobLookup found);
    boost::asio::awaitable<PeerReply> await_cancellation(std::string id);
    // Whether the rate allows one more write, which is then counted.
    bool take_write();

    const Settings& settings_;
    const Properties& properties_;
    KvClient& kv_;
    Metrics& metrics_;
    std::function<bool()> leads_;
    ClusterState cluster_;  // names, teams, machine types and limits only
    bool all_controllers_adopt_ = false;
    RateLimiter reads_, writes_;
    KvAnswers answers_;
    StateLogFollower log_;
};

}  // namespace weirmill
