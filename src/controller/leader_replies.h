// Replies of the leader that do not depend on a job.
#pragma once
#include "controller/leader_context.h"
#include "transport/peer_link.h"

namespace weirmill {

// Returns a reply with status 503 that asks the caller to repeat its request after `seconds`.
PeerReply retry_later(const LeaderContext& context, int seconds = 1);

// Returns a reply with status 503 and the `leadership_unconfirmed` flag: this controller is not
// certain to lead or does not know what is recorded. A standby controller may serve the request
// from the records.
PeerReply leadership_unconfirmed(const LeaderContext& context);

}  // namespace weirmill
