#include "controller/state_loader.h"

#include <spdlog/spdlog.h>

#include <boost/json.hpp>

#include "protocol/cloud_codec.h"
#include "transport/one_shot.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

constexpr int kItemsPerPage = 50;
constexpr double kListTimeout_s = 3;
// Of versions that kept a key for each job.
const std::string kJobPrefix = "j/";

}  // namespace

// Single records first, the head of the log among them, then its segments, page by page.
asio::awaitable<std::optional<LoadedNotes>> StateLoader::load() {
    context_.cluster.clear_work();
    context_.state_log.clear();
    double started = steady_now();
    segments_ = 0;
    notes_ = {};
    for (const std::string& prefix : {kRoundKey, kTypesKey, kLogKey, kSegmentPrefix, kJobPrefix}) {
        bool loaded = co_await load_prefix(prefix);
        if (!loaded) co_return std::nullopt;
    }
    context_.state_log.loaded(steady_now());
    spdlog::info("leader: read {} segments in {:.2f}s", segments_, steady_now() - started);
    co_return notes_;
}

asio::awaitable<bool> StateLoader::load_prefix(std::string prefix) {
    std::string after;
    for (bool more = true; more;) {
        auto page = co_await context_.kv.list(prefix, after, kItemsPerPage, kListTimeout_s);
        if (context_.stopped) co_return false;
        if (!page) {
            if (page.outcome == KvOutcome::Unknown)
                spdlog::info("leader: loading waits for the state service");
            co_return false;
        }
        more = page.value.has_more && !page.value.items.empty();
        for (auto& item : page.value.items) {
            after = item.key;
            try {
                load_item(prefix, item);
            } catch (const BadMessage& e) {
                // Leading without a record could start a task twice: another try, never a guess.
                spdlog::error("leader: malformed record {}: {}", item.key, e.what());
                co_return false;
            }
        }
    }
    co_return true;
}

// Throws BadMessage.
void StateLoader::load_item(const std::string& prefix, const KvItem& item) {
    if (item.key == kRoundKey) {
        context_.state_log.load_note(item.key, item.version);
        notes_.preemption_rounds = read::count(read::object(item.value), "number", 0);
    } else if (item.key == kTypesKey) {
        context_.state_log.load_note(item.key, item.version);
        notes_.machine_types = boost::json::serialize(item.value);
        if (!context_.cluster.types_known)
            context_.cluster.set_types(parse_machine_types(notes_.machine_types));
    } else if (item.key == kLogKey) {
        context_.state_log.load_head(item);
    } else if (prefix == kSegmentPrefix) {
        context_.state_log.load_segment(item, steady_now());
        ++segments_;
    } else if (prefix == kJobPrefix) {
        throw BadMessage("of a version that kept a key for each job; see docs/operations.md");
    }
}

}  // namespace weirmill
