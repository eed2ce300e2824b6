// Rebuilds the cluster state of a new leader from the key-value store.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "controller/leader_context.h"

namespace weirmill {

// Values of records that are not part of the cluster state.
struct LoadedMetadata {
    uint64_t preemption_rounds = 0;  // number of the last preemption round
    std::string machine_types;       // the record's JSON text; empty if there is no record
};

// Reads all records of an earlier leader. Used on the leader's executor only.
class StateLoader {
  public:
    explicit StateLoader(LeaderContext& context) : context_(context) {}

    // Clears the cluster state and the state log and rebuilds both. Returns nothing if the
    // key-value store did not answer, a record is malformed or the term is over; the cluster state
    // is then incomplete and must not be used.
    boost::asio::awaitable<std::optional<LoadedMetadata>> load();

  private:
    boost::asio::awaitable<bool> load_prefix(std::string prefix);
    void load_item(const std::string& prefix, const KvItem& item);

    LeaderContext& context_;
    // Results of the current load.
    LoadedMetadata metadata_;
    size_t segment_count_ = 0;
};

}  // namespace weirmill
