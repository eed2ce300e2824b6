#include "history.h"

#include <gtest/gtest.h>

namespace weirmill::test {
namespace {

constexpr auto S = RequestKind::Submission, P = RequestKind::Poll, C = RequestKind::Cancellation;

TEST(History, EachKindOfContradictionIsFoundAndWhatIsConcurrentPasses) {
    struct Row {
        const char* what;
        std::vector<RequestRecord> exchanges;
        const char* found;  // how the message begins; empty: all is well
        std::map<std::string, std::vector<std::string>> awaits{};
        std::map<std::string, double> ended{};
    };
    const RequestRecord submitted{S, "a", 0, 1, 201, "queued"};
    const Row rows[] = {
        {"a life",
         {submitted,
          {P, "a", 2, 3, 200, "running"},
          {P, "a", 4, 5, 200, "done"},
          {P, "a", 6, 7, 200, "done"}},
         ""},
        {"running after done",
         {submitted, {P, "a", 2, 3, 200, "done"}, {P, "a", 4, 5, 200, "running"}},
         "went_back"},
        {"asked before done was told, answered after it",
         {submitted, {P, "a", 2, 4, 200, "done"}, {P, "a", 3, 9, 200, "running"}},
         ""},
        {"queued by a repeated submission after a cancellation",
         {submitted, {C, "a", 2, 3, 200, "aborted"}, {S, "a", 4, 5, 200, "queued"}},
         "went_back"},
        {"an end by a repeated submission, then running",
         {submitted, {S, "a", 2, 3, 200, "done"}, {P, "a", 4, 5, 200, "running"}},
         "went_back"},
        {"a cancellation answered with done, then cancelled",
         {submitted, {C, "a", 2, 3, 200, "done"}, {P, "a", 4, 5, 200, "aborted"}},
         "went_back"},
        {"two ends, even at the same time",
         {submitted, {C, "a", 2, 9, 200, "aborted"}, {P, "a", 2, 9, 200, "done"}},
         "went_back"},
        {"cancelled by nobody", {submitted, {P, "a", 2, 3, 200, "aborted"}}, "went_back: nobody"},
        {"cancelled before it was asked for",
         {submitted, {P, "a", 2, 3, 200, "aborted"}, {C, "a", 4, 5, 200, "aborted"}},
         "went_back: nobody"},
        {"cancelled on a request that was never answered",
         {submitted, {C, "a", 2, 1e9, 0, ""}, {P, "a", 3, 4, 200, "aborted"}},
         ""},
        {"cancelled with the one that it needs",
         {submitted,
          {S, "b", 2, 3, 201, "queued"},
          {C, "a", 4, 5, 200, "aborted"},
          {P, "b", 6, 7, 200, "aborted"}},
         "",
         {{"b", {"a"}}}},
        {"cancelled beside one that it does not need",
         {submitted,
          {S, "b", 2, 3, 201, "queued"},
          {C, "a", 4, 5, 200, "aborted"},
          {P, "b", 6, 7, 200, "aborted"}},
         "went_back: nobody"},
        {"a cancellation that tells running",
         {submitted, {C, "a", 2, 3, 200, "running"}},
         "neither"},
        {"not now, at any time",
         {submitted,
          {C, "a", 2, 3, 200, "aborted"},
          {P, "a", 4, 5, 503, ""},
          {S, "a", 4, 5, 429, ""}},
         ""},
        {"unknown after it was accepted", {submitted, {P, "a", 2, 3, 404, ""}}, "forgotten"},
        {"unknown while it is accepted",
         {{S, "a", 0, 4, 201, "queued"}, {P, "a", 1, 5, 404, ""}},
         ""},
        {"refused for good after it was accepted",
         {submitted, {S, "a", 2, 3, 422, ""}},
         "forgotten"},
        {"malformed after it was accepted", {submitted, {S, "a", 2, 3, 400, ""}}, "forgotten"},
        {"never submitted", {{P, "z", 0, 1, 200, "queued"}}, "invented"},
        {"known before it was submitted",
         {{P, "a", 0, 1, 200, "queued"}, {S, "a", 2, 3, 201, "queued"}},
         "invented"},
        {"never submitted, not known", {{P, "z", 0, 1, 404, ""}}, ""},
        {"done before its last task",
         {submitted, {P, "a", 2, 3, 200, "done"}},
         "not_done",
         {},
         {{"a", 4}}},
        {"done after its last task", {submitted, {P, "a", 2, 6, 200, "done"}}, "", {}, {{"a", 4}}},
    };
    for (auto& row : rows) {
        auto found = RequestHistory{row.exchanges, row.awaits, row.ended}.find_violation();
        if (*row.found)
            EXPECT_TRUE(found.starts_with(row.found)) << row.what << ": " << found;
        else
            EXPECT_EQ(found, "") << row.what;
    }
}

}  // namespace
}  // namespace weirmill::test
