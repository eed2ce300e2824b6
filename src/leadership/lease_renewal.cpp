#include "leadership/lease_renewal.h"

#include <algorithm>

#include "leadership/election.h"
#include "leadership/jitter.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {
constexpr double kMinWait_s = 0.3;         // for one answer, however short the lease
constexpr double kMaxUnconfirmed_s = 600;  // beyond the answering grace
constexpr double kRenewalsPerLease = 4;
}  // namespace

LeaseRenewal::LeaseRenewal(asio::io_context& io, const Settings& settings, double lease_s,
                           KvClient& kv)
    : io_(io), settings_(settings), lease_s_(lease_s), kv_(kv), timer_(io) {}

// An answer is of use for as long as the lease counts from its request, while the next renewals are
// on their way: with a time-out of a quarter of the lease, a state service that took 0.7 s for each
// answer would keep its leader without a confirmed lease, and nobody else could lead.
asio::awaitable<void> LeaseRenewal::renew(std::shared_ptr<LeadershipTerm> term,
                                          OneShot<bool> renewed) {
    double started = steady_now();
    auto result = co_await kv_.renew(term->lease, std::max(kMinWait_s, lease_s_));
    if (result)
        term->lease_valid_until =
            std::max(term->lease_valid_until, lease_valid_until(started, lease_s_));
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
        if (co_await renewed.wait(std::max(kMinWait_s, interval)) == true) {
            pause = interval;
            continue;
        }
        // The state service is down or late: again soon, without adding to a flood. The lease may
        // become valid again with the service, as it has its full time again after an outage.
        pause = jitter(0.2, 0.5);
        if (steady_now() > term->lease_valid_until + answering_grace(settings_) + kMaxUnconfirmed_s)
            term->ended = true;
    }
    term->ended = true;
    current_.reset();
}

}  // namespace weirmill
