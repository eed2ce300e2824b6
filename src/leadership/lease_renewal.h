// Renews the lease of a leadership term until the term ends. Owned by Election; runs on the single
// thread of the io_context.
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

    // Renews the lease of `term` and returns once the term has ended. A term ends when its lease no
    // longer exists, when the lease stays unconfirmed for too long, or when the owner sets `ended`.
    boost::asio::awaitable<void> renew_loop(std::shared_ptr<LeadershipTerm> term);
    // Makes renew_loop check `ended` at once. Does nothing if the loop is not running.
    void wake() { timer_.cancel(); }

  private:
    boost::asio::awaitable<void> renew(std::shared_ptr<LeadershipTerm> term, OneShot<bool> renewed);

    boost::asio::io_context& io_;
    const Settings& settings_;
    double lease_s_;
    KvClient& kv_;
    std::shared_ptr<LeadershipTerm> current_;  // term of the running renew_loop, or null
    boost::asio::steady_timer timer_;          // pause between two renewals
};

}  // namespace weirmill
