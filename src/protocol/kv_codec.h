// Codec of the HTTP API of the key-value store, which is the platform's state service. Pure
// functions. The version of a key is the revision of the last transaction that wrote it; version 0
// means that the key does not exist.
#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/json_read.h"

namespace weirmill {

// A key with its value.
struct KvItem {
    std::string key;
    boost::json::value value;
    uint64_t version = 0;
    uint64_t lease = 0;  // 0: the key is not attached to a lease
};
// One page of a listing.
struct KvPage {
    std::vector<KvItem> items;
    bool has_more = false;  // further pages follow
    uint64_t revision = 0;
};
// Holds if the key has this version.
struct KvCondition {
    std::string key;
    uint64_t version = 0;
    bool operator==(const KvCondition&) const = default;
};
// Writes or deletes one key.
struct KvChange {
    std::string key;
    std::string value;  // serialized JSON; empty: delete
    uint64_t lease = 0;
};
// A compare-and-swap transaction: the store applies all changes atomically if every condition
// holds, and none of them otherwise.
struct CasTransaction {
    std::vector<KvCondition> conditions;
    std::vector<KvChange> changes;
};

// All parsers throw BadMessage.
KvItem parse_kv_item(std::string_view body);
KvPage parse_kv_page(std::string_view body);
uint64_t parse_revision(std::string_view body);
// Returns the keys whose conditions failed.
std::vector<std::string> parse_failed_conditions(std::string_view body);
uint64_t parse_lease(std::string_view body);

// One change of a watched key.
struct KvEvent {
    KvItem item;  // the value is null if the key was deleted; `lease` is not set
    bool deleted = false;
};
// The response to a watch request.
struct KvWatch {
    uint64_t revision = 0;
    std::vector<KvEvent> events;
};
KvWatch parse_watch(std::string_view body);

// Request bodies and request targets.
std::string txn_json(const CasTransaction& txn);
std::string lease_json(int64_t ttl_ms);
std::string kv_key_target(const std::string& key);
std::string kv_list_target(const std::string& prefix, const std::string& after, int limit);
std::string kv_watch_target(const std::string& prefix, uint64_t after, int wait_ms);

}  // namespace weirmill
