#include "controller/leader_replies.h"

namespace weirmill {

PeerReply retry_later(const LeaderContext& context, int seconds) {
    return {503, R"({"error":"not now"})", seconds, context.term->fencing_token};
}

PeerReply leadership_unconfirmed(const LeaderContext& context) {
    auto reply = retry_later(context);
    reply.leadership_unconfirmed = true;
    return reply;
}

}  // namespace weirmill
