// Answers of the leader that say nothing about a job.
#pragma once
#include "controller/leader_context.h"
#include "transport/peer_link.h"

namespace weirmill {

// 503: the caller repeats its request after this many seconds.
PeerReply retry_later(const LeaderContext& context, int seconds = 1);

// 503 by a controller that does not lead for certain, or does not know what is recorded: a standby
// controller, which reads the records, may serve the request instead.
PeerReply undecided(const LeaderContext& context);

}  // namespace weirmill
