// Messages of the key-value store's HTTP interface (the platform's state service). Pure functions.
// A version is the revision of the last transaction that wrote a key; 0: there is no such key.
#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/json_read.h"

namespace weirmill {

struct KvItem {
    std::string key;
    boost::json::value value;
    uint64_t version = 0;
    uint64_t lease = 0;
};
struct KvPage {
    std::vector<KvItem> items;
    bool more = false;
    uint64_t revision = 0;
};
// The key has this version.
struct KvCondition {
    std::string key;
    uint64_t version = 0;
    bool operator==(const KvCondition&) const = default;
};
struct KvChange {
    std::string key;
    std::string value;  // serialized JSON; empty: delete
    uint64_t lease = 0;
};
// A compare-and-swap transaction: all changes are applied at once if every condition holds, else
// none.
struct CasTransaction {
    std::vector<KvCondition> conditions;
    std::vector<KvChange> changes;
};

// All parsers throw BadMessage.
KvItem parse_kv_item(std::string_view body);
KvPage parse_kv_page(std::string_view body);
uint64_t parse_revision(std::string_view body);
// The keys whose conditions failed.
std::vector<std::string> parse_failed(std::string_view body);
uint64_t parse_lease(std::string_view body);

struct KvEvent {
    KvItem item;  // the value is null where the key was deleted; without its lease
    bool deleted = false;
};
struct KvWatch {
    uint64_t revision = 0;
    std::vector<KvEvent> events;
};
KvWatch parse_watch(std::string_view body);

// Requests: bodies and targets.
std::string txn_json(const CasTransaction& txn);
std::string lease_json(int64_t ttl_ms);
std::string kv_key_target(const std::string& key);
std::string kv_list_target(const std::string& prefix, const std::string& after, int limit);
std::string kv_watch_target(const std::string& prefix, uint64_t after, int wait_ms);

}  // namespace weirmill
