#include "leadership/election.h"

#include <spdlog/spdlog.h>

#include "leadership/jitter.h"
#include "state/state_log.h"

namespace weirmill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {
constexpr double kRequestTimeout_s = 1.0;
constexpr double kWatchDuration_s = 10;
constexpr double kMinRetry_s = 0.1, kMaxRetry_s = 1.0;
}  // namespace

Election::Election(asio::io_context& io, const Settings& settings, const Properties& properties,
                   KvClient& kv, Events events)
    : settings_(settings),
      lease_s_(properties.election_lease_s),
      started_at_(steady_now()),
      kv_(kv),
      events_(std::move(events)),
      renewal_(io, settings, properties.election_lease_s, kv) {
    asio::co_spawn(io, election_loop(), asio::detached);
}

void Election::set_leader(const std::string& leader, uint64_t fencing_token) {
    if (leader != leader_ || fencing_token != fencing_token_)
        spdlog::info("election: leader={} token={}", leader.empty() ? "none" : leader,
                     fencing_token);
    leader_ = leader;
    fencing_token_ = fencing_token;
}

void Election::start_term(uint64_t fencing_token, uint64_t lease, double lease_requested_at) {
    term_ = std::make_shared<LeadershipTerm>();
    term_->fencing_token = fencing_token;
    term_->lease = lease;
    term_->won_at = steady_now();
    term_->lease_valid_until = lease_valid_until(lease_requested_at, lease_s_);
}

asio::awaitable<void> Election::election_loop() {
    double pause = 0;
    for (;;) {
        if (pause > 0) co_await sleep_s(pause);
        if (co_await observe_leader())
            pause = co_await run_round();
        else
            pause = std::min(kMaxRetry_s, std::max(kMinRetry_s, pause * 2)) * jitter(0.7, 1.3);
    }
}

asio::awaitable<double> Election::run_round() {
    double pause = 0;
    // The key names this controller although it does not lead: an earlier process of this
    // controller won it, or a campaign that timed out was executed late. No other controller can
    // lead until that lease has ended, so the key is deleted.
    if (!term_ && leader_ == settings_.name && !co_await release_previous_term())
        pause = jitter(0.1, 0.3);
    if (!term_ && leader_.empty()) {
        co_await campaign();
        pause = pending_campaign_lease_ ? 0 : jitter(0.05, 0.25);
    }
    if (term_) {
        co_await lead();
        co_return jitter(0.2, 0.6);
    }
    bool other_leads = !leader_.empty() && leader_ != settings_.name;
    if (other_leads && !co_await watch_leader()) pause = jitter(0.1, 0.4);
    co_return pause;
}

asio::awaitable<void> Election::lead() {
    spdlog::info("election: won token={}", term_->fencing_token);
    events_.on_elected(term_);
    co_await renewal_.renew_loop(term_);
    spdlog::info("election: lost token={}", term_->fencing_token);
    events_.on_term_ended();
    set_leader("", 0);
    // The term ends before the transfer is sent to the key-value store and is never resumed.
    auto term = std::exchange(term_, nullptr);
    unconfirmed_term_ = 0;
    if (auto transfer = term->transferred_to) {
        unconfirmed_transfer_ = *transfer;
        bool confirmed = co_await release_leadership(term->fencing_token, *transfer);
        if (!confirmed) unconfirmed_term_ = term->fencing_token;
    }
}

asio::awaitable<bool> Election::watch_leader() {
    auto watched = co_await kv_.watch(kLeaderKey, revision_, kWatchDuration_s);
    if (!watched) co_return false;
    revision_ = std::max(revision_, watched.value.revision);
    co_return true;
}

// Without this, users and workers of a controller that restarts within its lease would wait until
// that lease has ended. The transaction is conditional on the version of the key, so it cannot end
// a term of another controller.
//
// If that term ended with a transfer that was not confirmed, the transfer is repeated, since the
// successor would not know that it is to campaign first.
asio::awaitable<bool> Election::release_previous_term() {
    if (unconfirmed_term_ != 0 && unconfirmed_term_ == fencing_token_) {
        if (!co_await release_leadership(unconfirmed_term_, unconfirmed_transfer_)) co_return false;
        unconfirmed_term_ = 0;
        set_leader("", 0);
        co_return true;
    }
    CasTransaction txn;
    txn.conditions.push_back({kLeaderKey, fencing_token_});
    txn.changes.push_back({kLeaderKey, "", 0});
    auto deleted = co_await kv_.txn(txn, kRequestTimeout_s);
    if (!deleted) co_return false;
    spdlog::info("election: ended a term of an earlier process token={}", fencing_token_);
    set_leader("", 0);
    co_return true;
}

asio::awaitable<bool> Election::observe_leader() {
    auto page = co_await kv_.list(kLeaderKey, "", 1, kRequestTimeout_s);
    if (!page) co_return false;
    revision_ = page.value.revision;
    if (page.value.items.empty() || page.value.items[0].key != kLeaderKey) {
        set_leader("", 0);
        co_return true;
    }
    auto& item = page.value.items[0];
    std::string name;
    try {
        name = read::text(read::object(item.value), "name");
    } catch (const BadMessage& e) {
        spdlog::error("election: malformed value of key {}: {}", kLeaderKey, e.what());
        co_return false;
    }
    bool won = pending_campaign_lease_ != 0 && item.lease == pending_campaign_lease_;
    if (won && !co_await resume_pending_campaign(item.version)) co_return false;
    pending_campaign_lease_ = 0;
    set_leader(name, item.version);
    co_return true;
}

// The campaign was won, but its lease may have expired since, so it is renewed before the term
// starts.
asio::awaitable<bool> Election::resume_pending_campaign(uint64_t fencing_token) {
    double requested_at = steady_now();
    auto renewed = co_await kv_.renew_lease(pending_campaign_lease_, kRequestTimeout_s);
    if (!renewed) co_return false;
    start_term(fencing_token, pending_campaign_lease_, requested_at);
    co_return true;
}

// A campaign without a response may still be executed. Its lease is kept alive and used by the next
// campaign. If each campaign obtained a new lease, no leader would ever be elected while every
// transaction takes longer than the lease.
asio::awaitable<std::optional<uint64_t>> Election::campaign_lease() {
    if (pending_campaign_lease_ == 0) {
        auto granted = co_await kv_.grant_lease(lease_s_, kRequestTimeout_s);
        if (!granted) co_return std::nullopt;
        co_return granted.value;
    }
    auto lease = pending_campaign_lease_;
    if (co_await kv_.renew_lease(lease, kRequestTimeout_s)) co_return lease;
    pending_campaign_lease_ = 0;
    co_return std::nullopt;
}

asio::awaitable<void> Election::campaign() {
    double wait = events_.campaign_wait ? co_await events_.campaign_wait() : 0;
    if (wait >= 0)
        co_await sleep_s(wait + campaign_delay(steady_now() - started_at_) +
                         jitter(0.0, kCampaignJitter_s));
    double requested_at = steady_now();
    auto lease = co_await campaign_lease();
    if (!lease) co_return;
    CasTransaction txn;
    txn.conditions.push_back({kLeaderKey, 0});
    txn.changes.push_back(
        {kLeaderKey, json::serialize(json::object{{"name", settings_.name}}), *lease});
    auto result = co_await kv_.txn(txn, std::min(kRequestTimeout_s, lease_s_ / 2));
    if (result) {
        start_term(result.value, *lease, requested_at);
        pending_campaign_lease_ = 0;
        set_leader(settings_.name, result.value);
    } else if (result.outcome == KvOutcome::Unknown) {
        pending_campaign_lease_ = *lease;
    }
}

void Election::step_down(TransferRecord transfer) {
    if (!term_ || term_->ended) return;
    term_->transferred_to = std::move(transfer);
    term_->ended = true;
    renewal_.wake();
}

// Without a response the term has ended all the same, as its lease is not renewed any more.
asio::awaitable<bool> Election::release_leadership(uint64_t fencing_token,
                                                   TransferRecord transfer) {
    auto txn = transfer_transaction(kLeaderKey, fencing_token, transfer);
    auto result = co_await kv_.txn(txn, kRequestTimeout_s);
    spdlog::info("election: transferred token={} to {}, transfers in short succession={}{}",
                 fencing_token, transfer.to, transfer.count, result ? "" : ", not confirmed");
    if (events_.on_transfer_sent) events_.on_transfer_sent(static_cast<bool>(result));
    co_return static_cast<bool>(result);
}

}  // namespace weirmill
