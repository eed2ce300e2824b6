#include "storage/kv_client.h"

#include <spdlog/spdlog.h>

#include "protocol/paths.h"
#include "transport/one_shot.h"

namespace weirmill {

namespace asio = boost::asio;
constexpr size_t kMaxPage = 1024 * 1024;
constexpr size_t kMaxWatch = 4 * 1024 * 1024;

KvClient::KvClient(asio::io_context& io, const Settings& s)
    : calls_(io, s.state, kMaxPage),
      leases_(io, s.state, kMaxPage),
      watches_(io, s.state, kMaxWatch) {}

template <class F>
asio::awaitable<KvResult<std::invoke_result_t<F, std::string_view>>> KvClient::ask(
    HttpClient& via, const char* method, std::string target, std::string body, double timeout_s,
    F parse) {
    KvResult<std::invoke_result_t<F, std::string_view>> out;
    auto answer = co_await via.request(method, target, std::move(body), timeout_s);
    if (!answer) co_return out;
    try {
        switch (answer->status) {
            case 200:
                out.value = parse(std::string_view(answer->body));
                out.outcome = KvOutcome::Ok;
                break;
            case 409:
                out.failed = parse_failed(answer->body);
                out.outcome = KvOutcome::Conflict;
                break;
            case 404:
                out.outcome = KvOutcome::Missing;
                break;
            case 429:
            case 503:
                out.too_fast = answer->status == 429;
                out.outcome = KvOutcome::Refused;
                break;
            default:
                spdlog::error("state: {} {} answered {}: {}", method, target, answer->status,
                              answer->body.substr(0, 200));
                out.outcome = KvOutcome::Invalid;
        }
    } catch (const BadMessage& e) {
        spdlog::error("state: malformed answer to {} {}: {}", method, target, e.what());
        out.outcome = KvOutcome::Unknown;
    }
    if (out || out.outcome == KvOutcome::Conflict || out.outcome == KvOutcome::Missing)
        answered_at_ = steady_now();
    co_return out;
}

asio::awaitable<KvResult<KvItem>> KvClient::get(std::string key, double timeout_s) {
    return ask(calls_, "GET", kv_key_target(key), "", timeout_s, parse_kv_item);
}

asio::awaitable<KvResult<KvPage>> KvClient::list(std::string prefix, std::string after, int limit,
                                                 double timeout_s) {
    return ask(calls_, "GET", kv_list_target(prefix, after, limit), "", timeout_s, parse_kv_page);
}

asio::awaitable<KvResult<uint64_t>> KvClient::txn(CasTransaction t, double timeout_s) {
    return ask(calls_, "POST", paths::kTxn, txn_json(t), timeout_s, parse_revision);
}

asio::awaitable<KvResult<uint64_t>> KvClient::grant(double ttl_s, double timeout_s) {
    return ask(leases_, "POST", paths::kLeases, lease_json(static_cast<int64_t>(ttl_s * 1000)),
               timeout_s, parse_lease);
}

asio::awaitable<KvResult<bool>> KvClient::renew(uint64_t lease, double timeout_s) {
    return ask(leases_, "POST", fmt::format("{}/{}{}", paths::kLeases, lease, paths::kRenew), "",
               timeout_s, [](std::string_view) { return true; });
}

asio::awaitable<KvResult<KvWatch>> KvClient::watch(std::string prefix, uint64_t after,
                                                   double wait_s) {
    return ask(watches_, "GET", kv_watch_target(prefix, after, static_cast<int>(wait_s * 1000)), "",
               wait_s + 3, parse_watch);
}

}  // namespace weirmill
