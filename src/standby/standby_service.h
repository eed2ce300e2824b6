// The door: serves users through the state service while no leader answers this controller. An
// actor of its own; it owns its copy of the log, and the rate at which it reads and writes.
// docs/design-doors.md has the argument why that is safe beside any leader, and docs/operations.md,
// "When nobody leads", what operators see.
#pragma once
#include <deque>
#include <functional>

#include "metrics/metrics.h"
#include "standby/standby_decisions.h"
#include "state/cluster_state.h"
#include "storage/kv_client.h"
#include "transport/one_shot.h"

namespace weirmill {

class StandbyService {
  public:
    // `resting`: whether this node leads, and so needs no copy of the log.
    StandbyService(boost::asio::io_context& io, const Settings& settings,
                   const Properties& properties, KvClient& state, Metrics& metrics,
                   std::function<bool()> resting);

    // It can serve: every controller collects, the copy of the log is whole, and the state service
    // answered lately.
    bool open() const;
    // Submit, Status and Cancel. 503 with when to come back whenever the state service does not
    // tell enough.
    boost::asio::awaitable<PeerReply> serve(PeerCall call);

  private:
    struct JobLookup {
        JobStanding standing;
        std::optional<PendingRecord> record;
        uint64_t version = 0;  // of the record; 0: none
    };
    boost::asio::awaitable<void> mark_loop();
    boost::asio::awaitable<void> warm_loop();
    boost::asio::awaitable<void> pass_loop();
    boost::asio::awaitable<bool> pass();
    // The view shows all that was recorded before this was asked. `at_once`: without waiting for
    // others who ask.
    boost::asio::awaitable<bool> fresh(bool at_once);
    boost::asio::awaitable<std::optional<JobLookup>> look(std::string id, bool record_too);
    boost::asio::awaitable<PeerReply> submit(std::string body);
    boost::asio::awaitable<PeerReply> refuse(std::string id, PeerReply refusal);
    boost::asio::awaitable<PeerReply> cancel(std::string id);
    boost::asio::awaitable<PeerReply> until_cancelled(std::string id);
    JobLookup in_log(const std::string& id) const;
    bool may_write(double now);
    template <class T>
    bool heard(const KvResult<T>& result);

    boost::asio::io_context& io_;
    const Settings& settings_;
    const Properties& properties_;
    KvClient& kv_;
    Metrics& metrics_;
    std::function<bool()> resting_;
    ClusterState cluster_;  // names, teams, machine types and limits only
    StateLogView view_;
    bool whole_ = false;      // the view
    bool all_adopt_ = false;  // every controller collects
    double heard_at_ = -1e9;
    RateLimiter reads_, writes_;
    // Passes over the log are shared: who asks waits for the first that begins after that.
    bool passing_ = false;
    uint64_t passes_ = 0;
    double began_at_ = -1e9;  // the last of them
    bool hurry_ = false;
    boost::asio::steady_timer apart_;
    std::deque<std::pair<uint64_t, OneShot<bool>>> waiting_;
};

}  // namespace weirmill
