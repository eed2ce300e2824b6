#include "protocol/kv_codec.h"

namespace weirmill {

namespace json = boost::json;

namespace {

KvItem read_item(const json::value& v) {
    auto& o = read::object(v);
    KvItem item;
    item.key = read::text(o, "path");
    auto* value = o.if_contains("value");
    if (!value) read::throw_invalid("value");
    item.value = *value;
    item.version = read::count(o, "stamp");
    item.lease = read::count(o, "permit", 0);
    return item;
}

}  // namespace

KvItem parse_kv_item(std::string_view body) { return read_item(read::parse(body)); }

KvPage parse_kv_page(std::string_view body) {
    auto v = read::parse(body);
    auto& o = read::object(v);
    KvPage page;
    for (auto& item : read::array(o, "pairs")) page.items.push_back(read_item(item));
    page.has_more = read::flag(o, "has_next", false);
    page.revision = read::count(o, "ledger");
    return page;
}

uint64_t parse_revision(std::string_view body) {
    auto v = read::parse(body);
    return read::count(read::object(v), "ledger");
}

std::vector<std::string> parse_failed_conditions(std::string_view body) {
    auto v = read::parse(body);
    std::vector<std::string> out;
    for (auto& key : read::array(read::object(v), "failed")) {
        if (!key.is_string()) read::throw_invalid("failed");
        out.emplace_back(key.get_string());
    }
    return out;
}

uint64_t parse_lease(std::string_view body) {
    auto v = read::parse(body);
    return read::count(read::object(v), "permit");
}

KvWatch parse_watch(std::string_view body) {
    auto v = read::parse(body);
    auto& o = read::object(v);
    KvWatch watch{read::count(o, "ledger"), {}};
    for (auto& e : read::array(o, "events")) {
        auto& event = read::object(e);
        auto* value = event.if_contains("value");
        bool deleted = read::field(event, "drop") != nullptr;
        if (!deleted && !value) read::throw_invalid("value");
        watch.events.push_back({{read::text(event, deleted ? "drop" : "write"),
                                 deleted ? nullptr : *value, read::count(event, "stamp"), 0},
                                deleted});
    }
    return watch;
}

std::string txn_json(const CasTransaction& txn) {
    // Values are serialized JSON already, so they are inserted as text rather than parsed again.
    std::string out = R"({"when":[)";
    for (size_t i = 0; i < txn.conditions.size(); ++i) {
        if (i) out += ',';
        out += R"({"path":)" + json::serialize(json::string(txn.conditions[i].key)) +
               R"(,"stamp":)" + std::to_string(txn.conditions[i].version) + '}';
    }
    out += R"(],"then":[)";
    for (size_t i = 0; i < txn.changes.size(); ++i) {
        auto& c = txn.changes[i];
        if (i) out += ',';
        auto key = json::serialize(json::string(c.key));
        if (c.value.empty()) {
            out += R"({"drop":)" + key + '}';
        } else {
            out += R"({"write":)" + key + R"(,"value":)" + c.value;
            if (c.lease) out += R"(,"permit":)" + std::to_string(c.lease);
            out += '}';
        }
    }
    out += "]}";
    return out;
}

std::string lease_json(int64_t ttl_ms) { return json::serialize(json::object{{"ttl_ms", ttl_ms}}); }

std::string kv_key_target(const std::string& key) { return "/keys/" + key; }

std::string kv_list_target(const std::string& prefix, const std::string& after, int limit) {
    std::string target = "/keys?starts=" + prefix + "&most=" + std::to_string(limit);
    if (!after.empty()) target += "&from=" + after;
    return target;
}

std::string kv_watch_target(const std::string& prefix, uint64_t after, int wait_ms) {
    return "/follow?starts=" + prefix + "&from=" + std::to_string(after) +
           "&block_ms=" + std::to_string(wait_ms);
}

}  // namespace weirmill
