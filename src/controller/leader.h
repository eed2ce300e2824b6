// The leader of the cluster, as an actor: it owns the cluster state and handles the messages of its
// mailbox one at a time. One object exists for each leadership term.
#pragma once
#include <boost/asio/experimental/channel.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "controller/final_state_cache.h"
#include "controller/heartbeat_handler.h"
#include "controller/instance_manager.h"
#include "controller/job_admission.h"
#include "controller/leader_context.h"
#include "controller/pending_adoption.h"
#include "controller/scheduling_loop.h"
#include "controller/state_log_writer.h"
#include "controller/stop_sender.h"
#include "controller/task_lifecycle.h"
#include "controller/user_requests.h"
#include "scheduler/overload_forecast.h"

namespace weirmill {

// Constructs and connects the components of a leadership term and dispatches messages to them. Each
// component owns its state; they share LeaderContext. Used on one executor only.
class Leader : public std::enable_shared_from_this<Leader> {
  public:
    Leader(boost::asio::io_context& io, const Settings& settings, const Properties& properties,
           KvClient& kv, Metrics& metrics, std::shared_ptr<LeadershipTerm> term);
    void start();
    // Ends the term: the leader answers and sends nothing any more.
    void stop();

    // Returns whether the records are loaded and the leader accepts requests.
    bool ready() const { return ready_; }
    bool lease_valid(double now) const {
        return !context_.term->ended && now < context_.term->lease_valid_until;
    }
    // Returns whether the lease is valid and no leadership transfer is in progress.
    bool may_decide() const { return lease_valid(context_.now) && !on_quiesced_; }
    uint64_t fencing_token() const { return context_.term->fencing_token; }
    // Adds the current values of this leader's gauges to `out`, by metric name.
    void add_gauges(std::map<std::string, double>& out) const;

    // Starts no new work, and calls `on_quiesced` once the work in progress is complete or a
    // deadline has passed.
    void transfer_leadership(std::function<void()> on_quiesced);
    const ClusterState& cluster() const { return context_.cluster; }
    // Sets the function that forwards stop commands through peers.
    void set_relay(PeerRelay relay) { stop_sender_.set_relay(std::move(relay)); }

    // Handles a request of a user or a worker, which arrived at this node's own HTTP server or over
    // a peer link. Replies within a few seconds in any case.
    boost::asio::awaitable<PeerReply> request(PeerCall call);

  private:
    using Mailbox =
        boost::asio::experimental::channel<void(boost::system::error_code, LeaderMessage)>;

    boost::asio::awaitable<void> run(std::shared_ptr<Leader> self);
    // Loads all records and returns the pending ones. Returns nothing if the term ends first.
    boost::asio::awaitable<std::optional<PendingRecordsChanged>> load();
    void become_ready(const PendingRecordsChanged& pending);
    boost::asio::awaitable<void> tick_loop(std::shared_ptr<Leader> self);

    void post(LeaderMessage message);
    void handle(RequestReceived& message);
    void handle(FinalStateRead& message) { users_.final_state_read(message); }
    void handle(DependenciesRead& message);
    void handle(TransactionFinished& message) { log_writer_.transaction_finished(message); }
    void handle(TransactionOutcomeUnknown&) { log_writer_.outcome_unknown(); }
    void handle(PendingRecordsChanged& message) { adoption_.apply_changes(message); }
    void handle(MachineTypesRead& message) { instance_manager_.handle(message); }
    void handle(MachineListRead& message) { instance_manager_.handle(message); }
    void handle(MachinesProvisioned& message) { instance_manager_.handle(message); }
    void handle(ScaleOutFinished& message);
    void handle(MachinesTerminated& message) { instance_manager_.handle(message); }
    void handle(TimerTick&);
    void handle(TransferRequested& message);
    void log_capacity();
    void finish_transfer_if_quiesced();

    JobCallbacks job_callbacks();

    LeaderContext context_;
    StopSender stop_sender_;
    TaskLifecycle task_lifecycle_;
    SchedulingLoop scheduling_loop_;
    HeartbeatHandler heartbeat_handler_;
    InstanceManager instance_manager_;
    FinalStateCache final_states_;
    JobAdmission admission_;
    PendingAdoption adoption_;
    UserRequests users_;
    StateLogWriter log_writer_;
    Mailbox mailbox_;
    OverloadForecast forecast_;
    // Number of requests in the mailbox, and the total size of their bodies.
    size_t queued_requests_ = 0;
    size_t queued_bytes_ = 0;
    bool ready_ = false;
    // Set during a leadership transfer.
    std::function<void()> on_quiesced_;
    double quiesce_deadline_ = 0;  // steady clock, seconds

    // When the next periodic tasks are due. Times on the steady clock, seconds.
    double next_preemption_at_ = 0;
    double next_machine_check_at_ = 0;
    double next_autoscale_at_ = 0;
    double next_capacity_log_at_ = 0;
};

}  // namespace weirmill
