#include "storage/kv_client.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "protocol/paths.h"
#include "transport/one_shot.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

constexpr size_t kMaxPageBytes = size_t{1024} * 1024;
constexpr size_t kMaxWatchBytes = 4 * kMaxPageBytes;
constexpr double kWatchSpare_s = 3;  // for the answer, beside the time that a watch may wait
constexpr size_t kMaxLoggedBytes = 200;

KvOutcome outcome_of(unsigned status) {
    switch (status) {
        case 200:
            return KvOutcome::Ok;
        case 404:
            return KvOutcome::Missing;
        case 409:
            return KvOutcome::Conflict;
        case 429:
        case 503:
            return KvOutcome::Refused;
        default:
            return KvOutcome::Invalid;
    }
}

}  // namespace

KvClient::KvClient(asio::io_context& io, const Settings& s)
    : calls_(io, s.state, kMaxPageBytes),
      leases_(io, s.state, kMaxPageBytes),
      watches_(io, s.state, kMaxWatchBytes) {}

template <class F>
asio::awaitable<KvResult<std::invoke_result_t<F, std::string_view>>> KvClient::send(HttpClient* via,
                                                                                    Request request,
                                                                                    F parse) {
    KvResult<std::invoke_result_t<F, std::string_view>> result;
    result.operation = request.operation;
    auto answer = co_await via->request(request.method, request.target, std::move(request.body),
                                        request.timeout_s);
    if (!answer) co_return result;
    auto outcome = outcome_of(static_cast<unsigned>(answer->status));
    try {
        if (outcome == KvOutcome::Ok) result.value = parse(std::string_view(answer->body));
        if (outcome == KvOutcome::Conflict) result.failed = parse_failed_conditions(answer->body);
        result.too_fast = answer->status == 429;
        result.outcome = outcome;
    } catch (const BadMessage& e) {
        // Outcome Unknown, as without an answer.
        spdlog::error("state: malformed answer to {} {}: {}", request.method, request.target,
                      e.what());
    }
    if (outcome == KvOutcome::Invalid)
        spdlog::error("state: {} {} answered {}: {}", request.method, request.target,
                      answer->status, answer->body.substr(0, kMaxLoggedBytes));
    if (result.answered()) answered_at_ = steady_now();
    co_return result;
}

asio::awaitable<KvResult<KvItem>> KvClient::get(const std::string& key, double timeout_s) {
    return send(&calls_, {KvOperation::Get, "GET", kv_key_target(key), "", timeout_s},
                parse_kv_item);
}

asio::awaitable<KvResult<KvPage>> KvClient::list(const std::string& prefix,
                                                 const std::string& after, int limit,
                                                 double timeout_s) {
    return send(&calls_,
                {KvOperation::List, "GET", kv_list_target(prefix, after, limit), "", timeout_s},
                parse_kv_page);
}

asio::awaitable<KvResult<uint64_t>> KvClient::txn(const CasTransaction& txn, double timeout_s) {
    return send(&calls_,
                {KvOperation::Transaction, "POST", paths::kTransactions, txn_json(txn), timeout_s},
                parse_revision);
}

asio::awaitable<KvResult<uint64_t>> KvClient::grant(double ttl_s, double timeout_s) {
    auto body = lease_json(static_cast<int64_t>(ttl_s * 1000));
    return send(&leases_,
                {KvOperation::GrantLease, "POST", paths::kLeases, std::move(body), timeout_s},
                parse_lease);
}

asio::awaitable<KvResult<bool>> KvClient::renew(uint64_t lease, double timeout_s) {
    auto target = fmt::format("{}/{}{}", paths::kLeases, lease, paths::kRenew);
    return send(&leases_, {KvOperation::RenewLease, "POST", std::move(target), "", timeout_s},
                [](std::string_view) { return true; });
}

asio::awaitable<KvResult<KvWatch>> KvClient::watch(const std::string& prefix, uint64_t after,
                                                   double wait_s) {
    auto target = kv_watch_target(prefix, after, static_cast<int>(wait_s * 1000));
    return send(&watches_,
                {KvOperation::Watch, "GET", std::move(target), "", wait_s + kWatchSpare_s},
                parse_watch);
}

}  // namespace weirmill
