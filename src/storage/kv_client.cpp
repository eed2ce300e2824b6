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
constexpr double kWatchResponseMargin_s = 3;  // added to the waiting time of a watch
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
    : request_client_(io, s.state, kMaxPageBytes),
      lease_client_(io, s.state, kMaxPageBytes),
      watch_client_(io, s.state, kMaxWatchBytes) {}

template <class F>
asio::awaitable<KvResult<std::invoke_result_t<F, std::string_view>>> KvClient::send(
    HttpClient* client, Request request, F parse) {
    KvResult<std::invoke_result_t<F, std::string_view>> result;
    result.operation = request.operation;
    auto response = co_await client->request(request.method, request.target,
                                             std::move(request.body), request.timeout_s);
    if (!response) co_return result;
    auto outcome = outcome_of(static_cast<unsigned>(response->status));
    try {
        if (outcome == KvOutcome::Ok) result.value = parse(std::string_view(response->body));
        if (outcome == KvOutcome::Conflict)
            result.failed_keys = parse_failed_conditions(response->body);
        result.rate_limited = response->status == 429;
        result.outcome = outcome;
    } catch (const BadMessage& e) {
        // The outcome stays Unknown, as it does without a response.
        spdlog::error("state: malformed response to {} {}: {}", request.method, request.target,
                      e.what());
    }
    if (outcome == KvOutcome::Invalid)
        spdlog::error("state: {} {} answered {}: {}", request.method, request.target,
                      response->status, response->body.substr(0, kMaxLoggedBytes));
    if (result.answered()) answered_at_ = steady_now();
    co_return result;
}

asio::awaitable<KvResult<KvItem>> KvClient::get(const std::string& key, double timeout_s) {
    return send(&request_client_, {KvOperation::Get, "GET", kv_key_target(key), "", timeout_s},
                parse_kv_item);
}

asio::awaitable<KvResult<KvPage>> KvClient::list(const std::string& prefix,
                                                 const std::string& after, int limit,
                                                 double timeout_s) {
    return send(&request_client_,
                {KvOperation::List, "GET", kv_list_target(prefix, after, limit), "", timeout_s},
                parse_kv_page);
}

asio::awaitable<KvResult<uint64_t>> KvClient::txn(const CasTransaction& txn, double timeout_s) {
    return send(&request_client_,
                {KvOperation::Transaction, "POST", paths::kTransactions, txn_json(txn), timeout_s},
                parse_revision);
}

asio::awaitable<KvResult<uint64_t>> KvClient::grant_lease(double ttl_s, double timeout_s) {
    auto body = lease_json(static_cast<int64_t>(ttl_s * 1000));
    return send(&lease_client_,
                {KvOperation::GrantLease, "POST", paths::kLeases, std::move(body), timeout_s},
                parse_lease);
}

asio::awaitable<KvResult<bool>> KvClient::renew_lease(uint64_t lease, double timeout_s) {
    auto target = fmt::format("{}/{}{}", paths::kLeases, lease, paths::kRenew);
    return send(&lease_client_, {KvOperation::RenewLease, "POST", std::move(target), "", timeout_s},
                [](std::string_view) { return true; });
}

asio::awaitable<KvResult<KvWatch>> KvClient::watch(const std::string& prefix, uint64_t after,
                                                   double wait_s) {
    auto target = kv_watch_target(prefix, after, static_cast<int>(wait_s * 1000));
    return send(&watch_client_,
                {KvOperation::Watch, "GET", std::move(target), "", wait_s + kWatchResponseMargin_s},
                parse_watch);
}

}  // namespace weirmill
