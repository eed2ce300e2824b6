// Manages the cloud instances that the workers run on. One object exists for each leadership term,
// and it is used on the leader's executor only.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "autoscaler/autoscaler.h"
#include "controller/cloud_client.h"
#include "controller/heartbeat_handler.h"
#include "controller/leader_context.h"
#include "controller/leader_messages.h"
#include "controller/stop_sender.h"
#include "controller/task_lifecycle.h"

namespace weirmill {

// Keeps the machines of the cluster state consistent with the cloud's machine list and with the
// workers' leases, provisions the machines that the autoscaler requests, and terminates machines
// that are idle or lost. Its coroutines only call the cloud; they post the results to the leader's
// mailbox, from which the `handle` functions apply them.
class InstanceManager {
  public:
    // `may_decide` returns whether the lease is valid and no leadership transfer is in progress.
    InstanceManager(LeaderContext& context, TaskLifecycle& task_lifecycle, StopSender& stop_sender,
                    HeartbeatHandler& heartbeat_handler, std::function<bool()> may_decide)
        : context_(context),
          task_lifecycle_(task_lifecycle),
          stop_sender_(stop_sender),
          heartbeat_handler_(heartbeat_handler),
          may_decide_(std::move(may_decide)),
          cloud_(context) {}

    // Starts to poll the machine types, until the term is over.
    void start_polling_types();
    // Starts to poll the machine list, until the term is over.
    void start_polling_list();
    // Sets the record of the machine types that an earlier leader wrote.
    void set_recorded_types(std::string record) { recorded_types_ = std::move(record); }
    // Provisions no machine before this time (steady clock, seconds).
    void defer_scale_out(double until) { provision_not_before_ = until; }

    void handle(MachineTypesRead& message);
    void handle(MachineListRead& message);
    void handle(MachinesProvisioned& message);
    void handle(ScaleOutFinished&) { provisioning_ = false; }
    void handle(MachinesTerminated& message);

    // Handles machines whose lease has expired or that are lost. Called about twice a second.
    void check_machines();
    // Runs one pass of the autoscaler, which terminates, drains and provisions machines.
    void autoscale();
    // Returns whether the machine with this name was terminated. An outdated list or a late
    // heartbeat may still contain it.
    [[nodiscard]] bool is_terminated(const std::string& name) const {
        return terminated_at_.contains(name);
    }

  private:
    // The facts about the whole fleet that decide whether a single machine is replaced.
    struct FleetSummary {
        std::vector<bool> silent_zones;  // by zone index
        size_t up = 0;
        size_t downlink_lost = 0;
    };
    [[nodiscard]] FleetSummary summarize_fleet() const;
    void check_machine(Index index, Machine& machine, const FleetSummary& fleet);
    void handle_expired_lease(Index index, Machine& machine);
    // The `abandon_` functions mark a machine for termination if their condition holds.
    void abandon_without_downlink(Machine& machine, const FleetSummary& fleet) const;
    void abandon_silent(Machine& machine, const FleetSummary& fleet) const;
    void abandon_unlisted(Machine& machine) const;
    void abandon_failed_boot(Machine& machine);
    [[nodiscard]] bool is_no_longer_listed(const Machine& machine) const;
    [[nodiscard]] bool is_offered(const Machine& machine) const;
    [[nodiscard]] double replacement_s(const Machine& machine, bool zone_silent) const;
    void mark_machine_gone(Index index, const char* reason);

    void apply_listed_machine(const ListedMachine& listed);
    void scale_in();
    void drain_one_machine();
    void scale_out();

    boost::asio::awaitable<void> poll_types(std::shared_ptr<void> keep_alive);
    boost::asio::awaitable<void> poll_list(std::shared_ptr<void> keep_alive);
    boost::asio::awaitable<std::optional<std::vector<ListedMachine>>> read_list();
    boost::asio::awaitable<void> provision(std::shared_ptr<void> keep_alive,
                                           std::vector<ScaleOutRequest> requests);
    boost::asio::awaitable<std::optional<std::vector<std::string>>> provision_one(
        ScaleOutRequest request);
    boost::asio::awaitable<void> terminate(std::shared_ptr<void> keep_alive,
                                           std::vector<std::string> names);

    LeaderContext& context_;
    TaskLifecycle& task_lifecycle_;
    StopSender& stop_sender_;
    HeartbeatHandler& heartbeat_handler_;
    std::function<bool()> may_decide_;
    CloudClient cloud_;

    std::string recorded_types_;           // the record in the key-value store when this term began
    std::string recorded_without_prices_;  // the types that this leader recorded, without prices
    bool list_received_ = false;           // the machine list was read at least once
    bool provisioning_ = false;            // a scale-out pass is in progress
    bool terminating_ = false;             // a termination request is in progress
    uint64_t provision_requests_ = 0;      // number of provisioning requests in this term
    std::map<std::string, double> terminated_at_;  // by machine name; steady clock, seconds
    // Times on the steady clock, seconds.
    double provision_not_before_ = 0;
    double next_drain_at_ = 0;
    double responses_blocked_at_ = -1e9;  // when this leader last could not answer heartbeats
};

}  // namespace weirmill
