// Pending records: submissions and cancellations that a standby controller accepts from users and
// writes to the key-value store while it can't reach a leader.
//
// Keys: `d/<id>` holds a submission or cancellation that a standby controller accepted and no
// leader has adopted yet; `v/<name>` states that a controller's version adopts pending records. A
// controller that is not the leader writes no other transactions than these. docs/design-standby.md
// explains why each of their conditions is needed, and tests/standby_model_test.cpp removes them
// one by one. Pure functions.
#pragma once
#include <boost/json.hpp>
#include <string>

#include "protocol/kv_codec.h"

namespace weirmill {

inline const std::string kPendingPrefix = "d/";
inline const std::string kAdopterPrefix = "v/";
std::string pending_key(const std::string& id);
std::string adopter_key(const std::string& controller);

// An accepted job, an accepted job that was then cancelled, or (if `job` is null) a request to
// cancel a job that the state log holds.
struct PendingRecord {
    boost::json::value job;     // as submission_json writes it
    double submitted_wall = 0;  // time of day in seconds
    bool cancelled = false;
    bool accepted() const { return !job.is_null(); }
};
std::string pending_record(const PendingRecord& r);
PendingRecord parse_pending_record(const boost::json::value& v);  // throws BadMessage

// Accepts a job, on condition that no standby controller has accepted it before and that it has not
// ended.
CasTransaction accept_transaction(const std::string& id, const PendingRecord& r);
// Cancels a job, on condition that its pending record still has the version that was read (0: there
// is none). The caller must read afterwards whether the cancellation takes effect: the job may have
// been adopted or may have ended.
CasTransaction cancel_transaction(const std::string& id, uint64_t version, PendingRecord r);
// States that this controller adopts pending records whenever it is the leader.
CasTransaction adopter_transaction(const std::string& controller);

}  // namespace weirmill
