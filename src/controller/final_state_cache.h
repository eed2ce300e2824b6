// Final states of jobs that ended: the newest ones in memory, the rest read from the key-value
// store.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "state/state_log.h"
#include "storage/kv_client.h"

namespace weirmill {

// Bounded, first in first out. Used on the leader's executor only.
class FinalStateCache {
  public:
    explicit FinalStateCache(KvClient& kv) : kv_(kv) {}

    // Null: not in memory, which says nothing about whether the job has ended.
    [[nodiscard]] const FinalState* find(const std::string& id) const;
    [[nodiscard]] bool contains(const std::string& id) const { return find(id) != nullptr; }
    // What is remembered of a job stays: a final state never changes.
    void remember(const std::string& id, const FinalState& state);

    // Reads the final state of a job that is not in the cluster state. Missing: it has not ended,
    // as of some time during the call. `timeout_s` is that of each of the two reads.
    boost::asio::awaitable<KvResult<KvItem>> read(std::string id, double timeout_s);

  private:
    KvClient& kv_;
    std::unordered_map<std::string, FinalState> states_;  // by job id
    std::deque<std::string> order_;                       // of arrival
};

// Nothing: the record is malformed, and as good as not read.
std::optional<FinalState> decode_final_state(const KvItem& item);

}  // namespace weirmill
