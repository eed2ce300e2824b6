// What users were told, held against the rules of the protocol. It knows nothing of the service: an
// answer is right if some moment between question and answer explains it beside all others.
#pragma once
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace weirmill::test {

enum class RequestKind { Submission, Poll, Cancellation };

// One request of one user; times in seconds, all of one clock.
struct RequestRecord {
    RequestKind kind = RequestKind::Poll;
    std::string job;
    double sent_at = 0, answered_at = std::numeric_limits<double>::infinity();
    int status = 0;          // HTTP; 0: no answer
    std::string job_status;  // where the status is 200 or 201
    std::string node{};      // for the message alone
};

struct RequestHistory {
    std::vector<RequestRecord> requests;
    std::map<std::string, std::vector<std::string>> dependencies;  // by job: those that it needs
    std::map<std::string, double>
        job_ended_at;  // by job: when the last of its tasks ended; left out: nothing is known

    // The first answer that breaks a rule, or nothing.
    std::string find_violation() const;

  private:
    bool cancel_requested(const std::string& job, double by, std::set<std::string>& seen) const;
};

}  // namespace weirmill::test
