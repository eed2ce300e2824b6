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
// Key prefix of versions that stored each job under a key of its own.
const std::string kLegacyJobPrefix = "j/";

}  // namespace

// Reads the records with fixed keys first, including the head of the log, and then the log's
// segments.
asio::awaitable<std::optional<LoadedMetadata>> StateLoader::load() {
    context_.cluster.clear_jobs_and_machines();
    context_.state_log.clear();
    double started = steady_now();
    segment_count_ = 0;
    metadata_ = {};
    for (const std::string& prefix :
         {kRoundKey, kTypesKey, kLogKey, kSegmentPrefix, kLegacyJobPrefix}) {
        bool loaded = co_await load_prefix(prefix);
        if (!loaded) co_return std::nullopt;
    }
    context_.state_log.finish_loading(steady_now());
    spdlog::info("leader: read {} segments in {:.2f}s", segment_count_, steady_now() - started);
    co_return metadata_;
}

asio::awaitable<bool> StateLoader::load_prefix(std::string prefix) {
    std::string after;
    for (bool more = true; more;) {
        auto page = co_await context_.kv.list(prefix, after, kItemsPerPage, kListTimeout_s);
        if (context_.stopped) co_return false;
        if (!page) {
            if (page.outcome == KvOutcome::Unknown)
                spdlog::info("leader: no answer from the state service while loading; retrying");
            co_return false;
        }
        more = page.value.has_more && !page.value.items.empty();
        for (auto& item : page.value.items) {
            after = item.key;
            try {
                load_item(prefix, item);
            } catch (const BadMessage& e) {
                // A leader that ignored the record could start a task twice, so loading fails and
                // is retried.
                spdlog::error("leader: malformed record {}: {}", item.key, e.what());
                co_return false;
            }
        }
    }
    co_return true;
}

// Throws BadMessage if the record is malformed.
void StateLoader::load_item(const std::string& prefix, const KvItem& item) {
    if (item.key == kRoundKey) {
        context_.state_log.load_single_record_version(item.key, item.version);
        metadata_.preemption_rounds = read::count(read::object(item.value), "number", 0);
    } else if (item.key == kTypesKey) {
        context_.state_log.load_single_record_version(item.key, item.version);
        metadata_.machine_types = boost::json::serialize(item.value);
        if (!context_.cluster.types_known)
            context_.cluster.set_types(parse_machine_types(metadata_.machine_types));
    } else if (item.key == kLogKey) {
        context_.state_log.load_head(item);
    } else if (prefix == kSegmentPrefix) {
        context_.state_log.load_segment(item, steady_now());
        ++segment_count_;
    } else if (prefix == kLegacyJobPrefix) {
        throw BadMessage("record of a version that stored one key per job; see docs/operations.md");
    }
}

}  // namespace weirmill
