// The state service's interface.
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
struct CasTransaction {
    std::vector<KvCondition> conditions;
    std::vector<KvChange> changes;
};

KvItem parse_kv_item(std::string_view body);  // all throw BadMessage
KvPage parse_kv_page(std::string_view body);
uint64_t parse_revision(std::string_view body);
std::vector<std::string> parse_failed(std::string_view body);
uint64_t parse_lease(std::string_view body);
struct KvEvent {
    KvItem item;  // the value is null where the key was deleted; no lease is told
    bool deleted = false;
};
struct KvWatch {
    uint64_t revision = 0;
    std::vector<KvEvent> events;
};
KvWatch parse_watch(std::string_view body);
std::string txn_json(const CasTransaction& txn);
std::string lease_json(int64_t ttl_ms);
std::string kv_key_target(const std::string& key);
std::string kv_list_target(const std::string& prefix, const std::string& after, int limit);
std::string kv_watch_target(const std::string& prefix, uint64_t after, int wait_ms);

}  // namespace weirmill
