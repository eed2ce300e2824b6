// Rebuilds the cluster state of a new leader from the key-value store.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "controller/leader_context.h"

namespace weirmill {

// What the single records hold that has no place in the cluster state.
struct LoadedNotes {
    uint64_t preemption_rounds = 0;  // number of the last one
    std::string machine_types;       // as recorded; empty: not yet
};

class StateLoader {
  public:
    explicit StateLoader(LeaderContext& context) : context_(context) {}

    // Clears the cluster state and the state log and reads both anew. Nothing: the key-value store
    // did not answer, a record is malformed, or the term is over; the cluster state is of no use.
    boost::asio::awaitable<std::optional<LoadedNotes>> load();

  private:
    boost::asio::awaitable<bool> load_prefix(std::string prefix);
    void load_item(const std::string& prefix, const KvItem& item);

    LeaderContext& context_;
    // Of this load.
    LoadedNotes notes_;
    size_t segments_ = 0;
};

}  // namespace weirmill
