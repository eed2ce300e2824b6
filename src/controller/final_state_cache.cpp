#include "controller/final_state_cache.h"

#include <spdlog/spdlog.h>

#include "state/pending_records.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {
constexpr size_t kMaxStates = 20000;  // kept in memory
}  // namespace

const FinalState* FinalStateCache::find(const std::string& id) const {
    auto it = states_.find(id);
    return it == states_.end() ? nullptr : &it->second;
}

void FinalStateCache::remember(const std::string& id, const FinalState& state) {
    if (states_.emplace(id, state).second) order_.push_back(id);
    if (order_.size() <= kMaxStates) return;
    states_.erase(order_.front());
    order_.pop_front();
}

// A pending record is read first, as jobs move from there to the log and on: while it stands, a
// missing final state says nothing.
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
