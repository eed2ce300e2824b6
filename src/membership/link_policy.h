// Decisions about links: who should lead, who speaks for whom, whether a node is of use to users.
// Pure functions of what is known of links and a given time; no one of them says that anything is
// gone or who holds the leadership, so a wrong or old view costs time, never a rule
// (docs/design-membership.md).
#pragma once
#include <optional>
#include <span>
#include <string>
#include <tuple>

#include "config/settings.h"
#include "protocol/links.h"

namespace weirmill {

// Times that follow from the platform's settings and the protocol ("Workers": a worker waits 4 s
// for an answer and tries the next controller 1 s later).
struct LinkTimeouts {
    double heard_s;  // a leader: a worker that reports to it directly was heard within this
    double cycle_s;  // a worker that can't do with its controller has tried all of them within this
    double firm_s;   // a better leader must stay better for this long
    double hold_s;   // after a hand-over no other for this long, doubled with each that follows
    double fresh_s;  // a peer's word older than this does not count
    static LinkTimeouts of(const Settings& s);
};

struct PeerView {
    std::string name;
    LinkStatus links;
    bool heard =
        false;  // by this controller itself, lately; else its word came through the state service
};

// Who of these should lead in place of one with the links `mine`; nothing: it stays. One that
// reaches far more of the workers, else one that far more of them come to while this one has lost
// most of its own. A fleet that is silent to all is no reason.
std::optional<std::string> preferred_leader(const LinkStatus& mine,
                                            std::span<const PeerView> others);

// What a controller with `own` links reaches, the peers that it hears included: the most of any, as
// the same workers try them all.
uint32_t reach_through(uint32_t own, std::span<const PeerView> others);

// The peer through which a leader that this controller can't reach may be reached; nothing: none.
std::optional<std::string> relay_to_leader(const std::string& leader,
                                           std::span<const PeerView> others);
// A peer that this controller hears and that reaches the state service, where this one does not.
std::optional<std::string> relay_to_kv(std::span<const PeerView> others);

// Hand-overs of late, as the last one left them under `m/yield`.
struct TransferRecord {
    std::string from, to;
    uint32_t count = 0;  // in short succession
    double at = 0;       // by the time of day, seconds
    bool operator==(const TransferRecord&) const = default;
};
// Whether another may follow yet; `wall` by the time of day, off by at most `clock_off_s` on each
// controller.
bool may_transfer(const TransferRecord& last, const LinkTimeouts& times, double clock_off_s,
                  double wall);
TransferRecord next_transfer(const TransferRecord& last, const LinkTimeouts& times,
                             std::string from, std::string to, double wall);

// How long a controller lets others go first in a campaign, seconds; negative: it is the one to
// whom was yielded, and waits for nobody.
double campaign_wait(const std::string& self, const LinkStatus& own,
                     std::span<const PeerView> others, const TransferRecord& last,
                     double clock_off_s, double wall);

}  // namespace weirmill
