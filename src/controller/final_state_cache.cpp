#include "controller/final_state_cache.h"

#include <spdlog/spdlog.h>

#include "state/pending_records.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {
constexpr size_t kMaxCachedStates = 20000;
}  // namespace

const FinalState* FinalStateCache::find(const std::string& id) const {
    auto it = states_.find(id);
    return it == states_.end() ? nullptr : &it->second;
}

void FinalStateCache::insert(const std::string& id, const FinalState& state) {
    if (states_.emplace(id, state).second) insertion_order_.push_back(id);
    if (insertion_order_.size() <= kMaxCachedStates) return;
    states_.erase(insertion_order_.front());
    insertion_order_.pop_front();
}

// Reads the pending record first, because a job's data moves from the pending record to the log and
// then to the final state. While the pending record exists, a missing final state does not show
// that the job has not ended, and the outcome is Unknown.
asio::awaitable<KvResult<KvItem>> FinalStateCache::read(std::string id, double timeout_s) {
    auto pending = co_await kv_.get(pending_key(id), timeout_s);
    KvResult<KvItem> result;
    if (pending.outcome != KvOutcome::Missing && !pending) co_return result;
    result = co_await kv_.get(final_key(id), timeout_s);
    if (pending && result.outcome == KvOutcome::Missing) result.outcome = KvOutcome::Unknown;
    co_return result;
}

std::optional<FinalState> decode_final_state(const KvItem& item) {
    try {
        return parse_final(item.value);
    } catch (const BadMessage& e) {
        spdlog::error("leader: malformed record {}: {}", item.key, e.what());
        return {};
    }
}

}  // namespace weirmill
