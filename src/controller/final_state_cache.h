// Final states of jobs that have ended. Recent ones are cached in memory; older ones are read from
// the key-value store.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "state/state_log.h"
#include "storage/kv_client.h"

namespace weirmill {

// Cache of bounded size that evicts the oldest entry first. Used on the leader's executor only.
class FinalStateCache {
  public:
    // `kv` must outlive this object.
    explicit FinalStateCache(KvClient& kv) : kv_(kv) {}

    // Returns the cached final state, or null if it is not cached. A job that is not cached may
    // have ended nevertheless.
    [[nodiscard]] const FinalState* find(const std::string& id) const;
    [[nodiscard]] bool contains(const std::string& id) const { return find(id) != nullptr; }
    // Adds the final state of a job. An existing entry is kept, because a final state never
    // changes.
    void insert(const std::string& id, const FinalState& state);

    // Reads the final state of a job that is not in the cluster state. KvOutcome::Missing means
    // that the job had not ended at some time during the call. `timeout_s` applies to each of the
    // two reads.
    boost::asio::awaitable<KvResult<KvItem>> read(std::string id, double timeout_s);

  private:
    KvClient& kv_;
    std::unordered_map<std::string, FinalState> states_;  // by job id
    std::deque<std::string> insertion_order_;             // job ids, the oldest first
};

// Parses a final state record. Logs a malformed record and returns nothing; callers treat it as
// one that could not be read.
std::optional<FinalState> decode_final_state(const KvItem& item);

}  // namespace weirmill
