// Renews the lease of a leadership term until the term ends. An actor of Election's, on the
// io_context's one thread.
#pragma once
#include <boost/asio.hpp>
#include <memory>

#include "config/settings.h"
#include "leadership/leadership_term.h"
#include "storage/kv_client.h"
#include "transport/one_shot.h"

namespace weirmill {

class LeaseRenewal {
  public:
    LeaseRenewal(boost::asio::io_context& io, const Settings& settings, double lease_s,
                 KvClient& kv);

    // Renews the lease of `term` and returns once the term has ended: the lease is gone, it stayed
    // unconfirmed for too long, or somebody else set `ended`.
    boost::asio::awaitable<void> renew_loop(std::shared_ptr<LeadershipTerm> term);
    // Makes renew_loop look at `ended` now; at rest it does nothing.
    void wake() { timer_.cancel(); }

  private:
    boost::asio::awaitable<void> renew(std::shared_ptr<LeadershipTerm> term, OneShot<bool> renewed);

    boost::asio::io_context& io_;
    const Settings& settings_;
    double lease_s_;
    KvClient& kv_;
    std::shared_ptr<LeadershipTerm> current_;  // of renew_loop; null: none
    boost::asio::steady_timer timer_;          // between renewals
};

}  // namespace weirmill
