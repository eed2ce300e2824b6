#include "leadership/lease_renewal.h"

#include <algorithm>

#include "leadership/election.h"
#include "leadership/jitter.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {
// Minimum time to wait for a response, however short the lease is.
constexpr double kMinResponseTimeout_s = 0.3;
// A term ends once its lease has stayed unconfirmed for this long after the grace period.
constexpr double kMaxLeaseUnconfirmed_s = 600;
constexpr double kRenewalsPerLease = 4;
}  // namespace

LeaseRenewal::LeaseRenewal(asio::io_context& io, const Settings& settings, double lease_s,
                           KvClient& kv)
    : io_(io), settings_(settings), lease_s_(lease_s), kv_(kv), timer_(io) {}

// The timeout is the whole lease, as the lease counts from the request and a late response is still
// useful while the next renewals are in flight. With a timeout of a quarter of the lease, a
// key-value store that took 0.7 s for each response would leave the leader without a confirmed
// lease, while no other controller could lead.
asio::awaitable<void> LeaseRenewal::renew(std::shared_ptr<LeadershipTerm> term,
                                          OneShot<bool> renewed) {
    double requested_at = steady_now();
    auto result = co_await kv_.renew_lease(term->lease, std::max(kMinResponseTimeout_s, lease_s_));
    if (result)
        term->lease_valid_until =
            std::max(term->lease_valid_until, lease_valid_until(requested_at, lease_s_));
    if (result.outcome == KvOutcome::Missing) {
        term->ended = true;
        if (term == current_) wake();
    }
    renewed.set(static_cast<bool>(result));
}

asio::awaitable<void> LeaseRenewal::renew_loop(std::shared_ptr<LeadershipTerm> term) {
    current_ = term;
    const double interval = lease_s_ / kRenewalsPerLease;
    double pause = interval;
    while (!term->ended) {
        timer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            std::chrono::duration<double>(pause)));
        co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (term->ended) break;
        OneShot<bool> renewed(io_.get_executor());
        asio::co_spawn(io_, renew(term, renewed), asio::detached);
        if (co_await renewed.wait(std::max(kMinResponseTimeout_s, interval)) == true) {
            pause = interval;
            continue;
        }
        // The key-value store is down or slow. The renewal is retried soon, at a random time so
        // that the controllers do not send their retries at once. The lease may become valid again,
        // as the key-value store restarts each lease with its full duration after an outage.
        pause = jitter(0.2, 0.5);
        if (steady_now() >
            term->lease_valid_until + leader_grace_period(settings_) + kMaxLeaseUnconfirmed_s)
            term->ended = true;
    }
    term->ended = true;
    current_.reset();
}

}  // namespace weirmill
