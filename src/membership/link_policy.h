// Decisions about links: who should lead, who relays for whom, who campaigns first. Pure functions
// of what is known of links and a given time. None of them declares that anything is gone or who
// holds the leadership, so a wrong or old view costs time but never breaks a rule
// (docs/design-membership.md).
#pragma once
#include <optional>
#include <span>
#include <string>

#include "config/settings.h"
#include "leadership/leadership_transfer.h"
#include "protocol/links.h"

namespace weirmill {

// Times, in seconds, that follow from the platform's settings and the protocol ("Workers": a worker
// waits 4 s for an answer and tries the next controller 1 s later).
struct LinkTimeouts {
    double direct_heartbeat_s;  // a worker that reports to the leader directly does so within this
    double controller_cycle_s;  // a worker that can't use its controller has tried all within this
    double preference_s;        // a preferred leader must stay preferred for this long
    double transfer_pause_s;    // between transfers; doubles with each in short succession
    double view_expiry_s;       // what a peer reported counts for this long
    static LinkTimeouts of(const Settings& s);
};

// What this controller knows of a peer's links.
struct PeerView {
    std::string name;
    LinkStatus links;
    bool reachable = false;  // it answered this controller lately; else known by its stored record
};

// Who of `others` should lead in place of one with the links `mine`; nothing: it stays. That is one
// that reaches far more of the workers, else one to which far more of them come directly while this
// one has lost most of its own. A fleet that is silent to all is no reason. Equal ones are taken by
// name, so that every controller decides alike.
[[nodiscard]] std::optional<std::string> preferred_leader(const LinkStatus& mine,
                                                          std::span<const PeerView> others);

// Workers that a controller with `own` direct workers reaches, reachable peers included: the most
// of any, as the same workers try them all.
[[nodiscard]] uint32_t workers_through_peers(uint32_t own, std::span<const PeerView> others);

// The peer through which a leader that this controller can't reach may be reached; nothing: none.
[[nodiscard]] std::optional<std::string> relay_to_leader(const std::string& leader,
                                                         std::span<const PeerView> others);
// A reachable peer that reaches the state service, where this controller does not.
[[nodiscard]] std::optional<std::string> relay_to_kv(std::span<const PeerView> others);

// How long a controller lets others go first in a campaign, seconds; negative: it is the successor
// of a transfer, and waits for nobody.
[[nodiscard]] double campaign_wait(const std::string& self, const LinkStatus& own,
                                   std::span<const PeerView> others, const TransferRecord& last,
                                   double clock_off_s, double wall);

}  // namespace weirmill
