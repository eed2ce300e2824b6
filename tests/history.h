// Checks the responses that users received against the guarantees of the protocol, without
// knowledge of the service's internals. A response is valid if it is consistent with all others for
// some point in time between the request and the response.
#pragma once
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace weirmill::test {

enum class RequestKind { Submission, Poll, Cancellation };

// A request of a user and its response. All times are seconds on the same clock.
struct RequestRecord {
    RequestKind kind = RequestKind::Poll;
    std::string job;
    double sent_at = 0, answered_at = std::numeric_limits<double>::infinity();
    int status = 0;          // HTTP status, or 0 if there was no response
    std::string job_status;  // set if the HTTP status is 200 or 201
    std::string node{};      // used in messages only
};

struct RequestHistory {
    std::vector<RequestRecord> requests;
    std::map<std::string, std::vector<std::string>> dependencies;  // by job
    // When the last task of a job completed; jobs whose time is not known have no entry.
    std::map<std::string, double> job_ended_at;

    // Returns a description of the first response that breaks a guarantee, or an empty string.
    std::string find_violation() const;

  private:
    bool cancel_requested(const std::string& job, double by, std::set<std::string>& seen) const;
};

}  // namespace weirmill::test
