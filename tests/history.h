// What users were told, held against the rules of the protocol. It knows nothing of the service: an
// answer is right if some moment between question and answer explains it beside all others.
#pragma once
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace weirmill::test {

enum class Asking { Submission, Poll, Cancellation };

// One request of one user; times in seconds, all of one clock.
struct Exchange {
    Asking asking = Asking::Poll;
    std::string job;
    double asked = 0, answered = std::numeric_limits<double>::infinity();
    int status = 0;       // HTTP; 0: no answer
    std::string state;    // where the status is 200 or 201
    std::string where{};  // for the message alone
};

struct History {
    std::vector<Exchange> exchanges;
    std::map<std::string, std::vector<std::string>> awaits;  // by job: those that it needs
    std::map<std::string, double>
        ended;  // by job: when the last of its tasks ended; left out: nothing is known

    // The first answer that breaks a rule, or nothing.
    std::string contradiction() const;

  private:
    bool cancel_asked(const std::string& job, double by, std::set<std::string>& seen) const;
};

}  // namespace weirmill::test
