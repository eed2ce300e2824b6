#include "history.h"

#include <gtest/gtest.h>

namespace weirmill::test {
namespace {

constexpr auto S = RequestKind::Submission, P = RequestKind::Poll, C = RequestKind::Cancellation;

TEST(RequestHistory, FindsEachKindOfViolation) {
    struct Row {
        const char* what;
        std::vector<RequestRecord> exchanges;
        const char* violation;  // prefix of the message; empty if there is no violation
        std::map<std::string, std::vector<std::string>> awaits{};
        std::map<std::string, double> ended{};
    };
    const RequestRecord submitted{S, "a", 0, 1, 201, "queued"};
    const Row rows[] = {
        {"a job that runs to its end",
         {submitted,
          {P, "a", 2, 3, 200, "running"},
          {P, "a", 4, 5, 200, "done"},
          {P, "a", 6, 7, 200, "done"}},
         ""},
        {"running after done",
         {submitted, {P, "a", 2, 3, 200, "done"}, {P, "a", 4, 5, 200, "running"}},
         "went_back"},
        {"sent before the response done, answered after it",
         {submitted, {P, "a", 2, 4, 200, "done"}, {P, "a", 3, 9, 200, "running"}},
         ""},
        {"queued by a repeated submission after a cancellation",
         {submitted, {C, "a", 2, 3, 200, "aborted"}, {S, "a", 4, 5, 200, "queued"}},
         "went_back"},
        {"done for a repeated submission, then running",
         {submitted, {S, "a", 2, 3, 200, "done"}, {P, "a", 4, 5, 200, "running"}},
         "went_back"},
        {"a cancellation answered with done, then cancelled",
         {submitted, {C, "a", 2, 3, 200, "done"}, {P, "a", 4, 5, 200, "aborted"}},
         "went_back"},
        {"two final states at the same time",
         {submitted, {C, "a", 2, 9, 200, "aborted"}, {P, "a", 2, 9, 200, "done"}},
         "went_back"},
        {"aborted without a cancellation",
         {submitted, {P, "a", 2, 3, 200, "aborted"}},
         "went_back: nobody"},
        {"aborted before the cancellation",
         {submitted, {P, "a", 2, 3, 200, "aborted"}, {C, "a", 4, 5, 200, "aborted"}},
         "went_back: nobody"},
        {"aborted by a cancellation without a response",
         {submitted, {C, "a", 2, 1e9, 0, ""}, {P, "a", 3, 4, 200, "aborted"}},
         ""},
        {"aborted with its dependency",
         {submitted,
          {S, "b", 2, 3, 201, "queued"},
          {C, "a", 4, 5, 200, "aborted"},
          {P, "b", 6, 7, 200, "aborted"}},
         "",
         {{"b", {"a"}}}},
        {"aborted with a job that it does not depend on",
         {submitted,
          {S, "b", 2, 3, 201, "queued"},
          {C, "a", 4, 5, 200, "aborted"},
          {P, "b", 6, 7, 200, "aborted"}},
         "went_back: nobody"},
        {"a cancellation answered with running",
         {submitted, {C, "a", 2, 3, 200, "running"}},
         "neither"},
        {"temporary errors after the final state",
         {submitted,
          {C, "a", 2, 3, 200, "aborted"},
          {P, "a", 4, 5, 503, ""},
          {S, "a", 4, 5, 429, ""}},
         ""},
        {"unknown after it was accepted", {submitted, {P, "a", 2, 3, 404, ""}}, "forgotten"},
        {"unknown while it is accepted",
         {{S, "a", 0, 4, 201, "queued"}, {P, "a", 1, 5, 404, ""}},
         ""},
        {"rejected after it was accepted", {submitted, {S, "a", 2, 3, 422, ""}}, "forgotten"},
        {"malformed after it was accepted", {submitted, {S, "a", 2, 3, 400, ""}}, "forgotten"},
        {"never submitted", {{P, "z", 0, 1, 200, "queued"}}, "invented"},
        {"known before it was submitted",
         {{P, "a", 0, 1, 200, "queued"}, {S, "a", 2, 3, 201, "queued"}},
         "invented"},
        {"unknown and never submitted", {{P, "z", 0, 1, 404, ""}}, ""},
        {"done before its last task",
         {submitted, {P, "a", 2, 3, 200, "done"}},
         "not_done",
         {},
         {{"a", 4}}},
        {"done after its last task", {submitted, {P, "a", 2, 6, 200, "done"}}, "", {}, {{"a", 4}}},
    };
    for (auto& row : rows) {
        auto found = RequestHistory{row.exchanges, row.awaits, row.ended}.find_violation();
        if (*row.violation)
            EXPECT_TRUE(found.starts_with(row.violation)) << row.what << ": " << found;
        else
            EXPECT_EQ(found, "") << row.what;
    }
}

}  // namespace
}  // namespace weirmill::test
