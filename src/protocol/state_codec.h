// The state service's interface.
#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/json_read.h"

namespace weirmill {

struct StateItem {
    std::string key;
    boost::json::value value;
    uint64_t version = 0;
    uint64_t lease = 0;
};
struct StatePage {
    std::vector<StateItem> items;
    bool more = false;
    uint64_t revision = 0;
};
struct StateCondition {
    std::string key;
    uint64_t version = 0;
    bool operator==(const StateCondition&) const = default;
};
struct StateChange {
    std::string key;
    std::string value;  // serialized JSON; empty: delete
    uint64_t lease = 0;
};
struct StateTxn {
    std::vector<StateCondition> conditions;
    std::vector<StateChange> changes;
};

StateItem parse_state_item(std::string_view body);  // all throw BadMessage
StatePage parse_state_page(std::string_view body);
uint64_t parse_revision(std::string_view body);
std::vector<std::string> parse_failed(std::string_view body);
uint64_t parse_lease(std::string_view body);
struct StateEvent {
    StateItem item;  // the value is null where the key was deleted; no lease is told
    bool deleted = false;
};
struct StateWatch {
    uint64_t revision = 0;
    std::vector<StateEvent> events;
};
StateWatch parse_watch(std::string_view body);
std::string txn_json(const StateTxn& txn);
std::string lease_json(int64_t ttl_ms);
std::string state_key_target(const std::string& key);
std::string state_list_target(const std::string& prefix, const std::string& after, int limit);
std::string state_watch_target(const std::string& prefix, uint64_t after, int wait_ms);

}  // namespace weirmill
