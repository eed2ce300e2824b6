// State shared by the components of one leadership term. Leader owns it, and it is used on the
// leader's executor only. It does not change between two messages of the leader's mailbox.
#pragma once
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <random>

#include "config/settings.h"
#include "controller/leader_messages.h"
#include "leadership/election.h"
#include "metrics/metrics.h"
#include "state/cluster_state.h"
#include "state/state_log.h"
#include "storage/kv_client.h"

namespace weirmill {

struct LeaderContext {
    LeaderContext(boost::asio::io_context& io_context, const Settings& platform_settings,
                  const Properties& operator_properties, KvClient& kv_client, Metrics& node_metrics,
                  std::shared_ptr<LeadershipTerm> leadership_term)
        : io(io_context),
          settings(platform_settings),
          properties(operator_properties),
          kv(kv_client),
          metrics(node_metrics),
          term(std::move(leadership_term)),
          cluster(settings),
          state_log(cluster, term->fencing_token, {settings.txn_ops, settings.value_kb}),
          random(std::random_device{}()) {}
    LeaderContext(const LeaderContext&) = delete;  // state_log refers to cluster
    LeaderContext& operator=(const LeaderContext&) = delete;
    LeaderContext(LeaderContext&&) = delete;
    LeaderContext& operator=(LeaderContext&&) = delete;
    ~LeaderContext() = default;

    boost::asio::io_context& io;
    const Settings& settings;
    const Properties& properties;
    KvClient& kv;
    Metrics& metrics;
    std::shared_ptr<LeadershipTerm> term;
    ClusterState cluster;
    StateLog state_log;
    std::mt19937_64 random;
    double now = 0;  // steady clock, seconds; set when the handling of a message begins
    bool scheduling_needed = true;  // the state has changed since the last scheduling pass
    bool stopped = false;           // the term is over: nothing is answered or sent any more

    // Posts a message to the leader's mailbox.
    std::function<void(LeaderMessage)> post;
    // Returns a pointer that keeps the leader, and with it this context, alive. Coroutines hold it.
    std::function<std::shared_ptr<void>()> keep_alive;

    // Returns whether this controller is certain to be the leader at the time `now`.
    [[nodiscard]] bool lease_valid() const { return !term->ended && now < term->lease_valid_until; }
};

}  // namespace weirmill
