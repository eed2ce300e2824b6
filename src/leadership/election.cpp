#include "leadership/election.h"

#include <spdlog/spdlog.h>

#include <random>

#include "membership/link_records.h"
#include "state/state_log.h"
#include "transport/one_shot.h"

namespace weirmill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {
constexpr double kCall_s = 1.0;
double jitter(double low, double high) {
    static std::mt19937_64 engine{std::random_device{}()};
    return std::uniform_real_distribution<double>(low, high)(engine);
}
}  // namespace

Election::Election(asio::io_context& io, const Settings& settings, const Properties& properties,
                   KvClient& state, Events events)
    : io_(io),
      settings_(settings),
      lease_s_(properties.election_lease_s),
      started_(steady_now()),
      kv_(state),
      events_(std::move(events)),
      wake_(io) {
    asio::co_spawn(io, run(), asio::detached);
}

void Election::learn(const std::string& leader, uint64_t fencing_token) {
    if (leader != leader_ || fencing_token != fencing_token_)
        spdlog::info("election: leader={} token={}", leader.empty() ? "none" : leader,
                     fencing_token);
    leader_ = leader;
    fencing_token_ = fencing_token;
}

asio::awaitable<void> Election::run() {
    double pause = 0;
    for (;;) {
        if (pause > 0) co_await sleep_s(pause);
        if (!co_await observe()) {
            pause = std::min(1.0, std::max(0.1, pause * 2)) * jitter(0.7, 1.3);
            continue;
        }
        pause = 0;
        // The key names this controller, which does not lead: a life of it before this one did, or
        // a campaign that it had given up was executed late. Nobody else can lead before that lease
        // is over, and nobody does.
        if (!term_ && leader_ == settings_.name && !co_await drop_own_leadership())
            pause = jitter(0.1, 0.3);
        if (!term_ && leader_.empty()) {
            co_await campaign();
            pause = unsure_lease_ ? 0 : jitter(0.05, 0.25);
        }
        if (term_) {
            co_await hold();
            events_.lost();
            learn("", 0);
            // The tenure has ended before the state service hears of it, and is never taken up
            // again.
            auto term = std::exchange(term_, nullptr);
            if (term->transferred_to)
                co_await release_leadership(term->fencing_token, *term->transferred_to);
            pause = jitter(0.2, 0.6);
        } else if (!leader_.empty() && leader_ != settings_.name) {
            auto watched = co_await kv_.watch(kLeaderKey, revision_, 10);
            if (watched)
                revision_ = std::max(revision_, watched.value.revision);
            else
                pause = jitter(0.1, 0.4);
        }
    }
}

// Of a process that was back within its lease, users and workers once waited until that was over.
// The transaction is conditional on the key's version, so that it can end no other tenure.
asio::awaitable<bool> Election::drop_own_leadership() {
    CasTransaction txn;
    txn.conditions.push_back({kLeaderKey, fencing_token_});
    txn.changes.push_back({kLeaderKey, "", 0});
    auto dropped = co_await kv_.txn(std::move(txn), kCall_s);
    if (!dropped) co_return false;
    spdlog::info("election: ends token={} of an earlier life", fencing_token_);
    learn("", 0);
    co_return true;
}

// Reads who leads. False: not known now.
asio::awaitable<bool> Election::observe() {
    double started = steady_now();
    auto page = co_await kv_.list(kLeaderKey, "", 1, kCall_s);
    if (!page) co_return false;
    revision_ = page.value.revision;
    if (page.value.items.empty() || page.value.items[0].key != kLeaderKey) {
        learn("", 0);
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
    if (unsure_lease_ != 0 && item.lease == unsure_lease_) {
        // The campaign without an answer was won after all. The lease must be proven alive first.
        started = steady_now();
        auto renewed = co_await kv_.renew(unsure_lease_, kCall_s);
        if (!renewed) co_return false;
        term_ = std::make_shared<LeadershipTerm>();
        term_->fencing_token = item.version;
        term_->lease = unsure_lease_;
        term_->won = steady_now();
        term_->lease_valid_until = lease_valid_until(started, lease_s_);
    }
    unsure_lease_ = 0;
    learn(name, item.version);
    co_return true;
}

asio::awaitable<void> Election::campaign() {
    double wait = events_.campaign_wait ? co_await events_.campaign_wait() : 0;
    if (wait >= 0)
        co_await sleep_s(wait + campaign_delay(steady_now() - started_) +
                         jitter(0.0, kCampaignSpread_s));
    // A campaign without an answer may yet be carried out: its lease is kept alive for that, and
    // the next one goes with it. Each with a lease of its own, where every transaction took longer
    // than a lease nobody was ever elected.
    double started = steady_now();
    auto lease = unsure_lease_;
    if (lease != 0 && !co_await kv_.renew(lease, kCall_s)) {
        unsure_lease_ = 0;
        co_return;
    }
    if (lease == 0) {
        auto granted = co_await kv_.grant(lease_s_, kCall_s);
        if (!granted) co_return;
        lease = granted.value;
    }
    CasTransaction txn;
    txn.conditions.push_back({kLeaderKey, 0});
    txn.changes.push_back(
        {kLeaderKey, json::serialize(json::object{{"name", settings_.name}}), lease});
    auto won = co_await kv_.txn(std::move(txn), std::min(kCall_s, lease_s_ / 2));
    if (won) {
        term_ = std::make_shared<LeadershipTerm>();
        term_->fencing_token = won.value;
        term_->lease = lease;
        term_->won = steady_now();
        term_->lease_valid_until = lease_valid_until(started, lease_s_);
        unsure_lease_ = 0;
        learn(settings_.name, won.value);
    } else if (won.outcome == KvOutcome::Unknown) {
        unsure_lease_ = lease;
    }
}

// An answer is of use for as long as the lease counts from its request, while the next renewals are
// on their way. Given up on after a quarter of the lease, a state service that took 0.7 s for each
// answer kept its leader unsure, and nobody else could lead.
asio::awaitable<void> Election::renew(std::shared_ptr<LeadershipTerm> term, OneShot<bool> renewed) {
    double started = steady_now();
    auto result = co_await kv_.renew(term->lease, std::max(0.3, lease_s_));
    if (result)
        term->lease_valid_until =
            std::max(term->lease_valid_until, lease_valid_until(started, lease_s_));
    if (result.outcome == KvOutcome::Missing) {
        term->ended = true;
        if (term == term_) wake_.cancel();
    }
    renewed.set(static_cast<bool>(result));
}

asio::awaitable<void> Election::hold() {
    auto term = term_;
    spdlog::info("election: won token={}", term->fencing_token);
    events_.won(term);
    double pause = lease_s_ / 4;
    while (!term->ended) {
        wake_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            std::chrono::duration<double>(pause)));
        co_await wake_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (term->ended) break;
        OneShot<bool> renewed(io_.get_executor());
        asio::co_spawn(io_, renew(term, renewed), asio::detached);
        if (co_await renewed.wait(std::max(0.3, lease_s_ / 4)) == true) {
            pause = lease_s_ / 4;
        } else {
            // Down or unanswered: again soon, without adding to a flood. The lease may come back to
            // life with the service, as it has its full time again after an outage.
            pause = jitter(0.2, 0.5);
            if (steady_now() > term->lease_valid_until + answering_grace(settings_) + 600)
                term->ended = true;
        }
    }
    term->ended = true;
    spdlog::info("election: lost token={}", term->fencing_token);
}

void Election::step_down(TransferRecord to) {
    if (!term_ || term_->ended) return;
    term_->transferred_to = std::move(to);
    term_->ended = true;
    wake_.cancel();
}

// Without an answer nothing is lost: the lease is not renewed any more.
asio::awaitable<void> Election::release_leadership(uint64_t fencing_token, TransferRecord to) {
    auto txn = transfer_transaction(kLeaderKey, fencing_token, to);
    auto result = co_await kv_.txn(std::move(txn), kCall_s);
    spdlog::info("election: yields token={} to {} for the {}. time{}", fencing_token, to.to,
                 to.count, result ? "" : ", not confirmed");
}

}  // namespace weirmill
