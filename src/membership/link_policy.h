// Decisions that depend on links: which controller should lead, which controller relays for another
// and which candidate campaigns first. Pure functions of the known links and a given time. No
// function decides whether a machine or task is gone or who holds the leadership, so a wrong or
// outdated view may cost time but cannot violate an invariant (docs/design-membership.md).
#pragma once
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "config/settings.h"
#include "leadership/leadership_transfer.h"
#include "protocol/links.h"

namespace weirmill {

// Times in seconds that follow from the platform's settings and the protocol ("Workers": a worker
// waits 4 s for a response and tries the next controller 1 s later).
struct LinkTimeouts {
    // Maximum time between heartbeats of a worker that uses no relay.
    double direct_heartbeat_s;
    // Within this, a worker that one controller does not answer has tried all others.
    double controller_cycle_s;
    // Within this, a worker that no controller answers has tried all of them.
    double worker_round_s;
    // How long another leader must be preferred before a transfer.
    double min_preference_s;
    // Pause between two transfers; it doubles with each one in short succession.
    double transfer_pause_s;
    // Time from a transfer until the successor has answered every worker.
    double failover_s;
    // How long the links that a peer reported remain valid.
    double view_expiry_s;
    static LinkTimeouts from_settings(const Settings& s);
};

// The links of a peer, as far as this controller knows them.
struct PeerView {
    std::string name;
    LinkStatus links;
    // The peer was in contact with this controller recently. If false, the links come from the
    // record that the peer has stored.
    bool reachable = false;
};

// A leadership term of this controller and for how long it has led.
struct LeadingTerm {
    uint64_t fencing_token = 0;
    double led_s = 0;
};

// Returns those of `others` whose worker counts show which workers can't use the leader of `term`.
// Counts about an earlier leader, or about the time without one, do not show it: the workers that
// they include may not have tried this leader yet. Counts of unknown origin are accepted once every
// worker has had the time to try all controllers.
[[nodiscard]] std::vector<PeerView> peers_counting_for_term(std::span<const PeerView> others,
                                                            const LeadingTerm& term,
                                                            const LinkTimeouts& times);

// Returns which of `others` should lead in place of a leader with the links `mine`, or nothing if
// that leader should stay. A peer is preferred if it reaches far more of the workers. A peer is
// also preferred if far more workers report to it directly and the leader has lost most of its own
// direct workers. If no controller reaches the workers, the leader stays. Ties are broken by name,
// so that every controller makes the same decision.
[[nodiscard]] std::optional<std::string> preferred_leader(const LinkStatus& mine,
                                                          std::span<const PeerView> others);

// Returns how many workers a controller with `own` direct workers reaches, its reachable peers
// included. This is the maximum over these controllers and not the sum, as the same workers try all
// of them.
[[nodiscard]] uint32_t workers_through_peers(uint32_t own, std::span<const PeerView> others);

// Returns a peer that can relay to a leader that this controller can't reach, or nothing.
[[nodiscard]] std::optional<std::string> relay_to_leader(const std::string& leader,
                                                         std::span<const PeerView> others);
// Returns a reachable peer that reaches the key-value store, for a controller that does not, or
// nothing.
[[nodiscard]] std::optional<std::string> relay_to_kv(std::span<const PeerView> others);

// Returns how long a controller lets other candidates go first in a campaign, in seconds. A
// negative value means that it campaigns at once because it is the successor of a transfer.
[[nodiscard]] double campaign_wait(const std::string& self, const LinkStatus& own,
                                   std::span<const PeerView> others, const TransferRecord& last,
                                   double max_clock_error_s, double wall_time);

}  // namespace weirmill
