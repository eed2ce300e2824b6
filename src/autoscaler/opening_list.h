// Machines in the order of when they have room for a task.
#pragma once
#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>
#include <vector>

#include "autoscaler/expected_capacity.h"

namespace weirmill {

// When a machine has room for a task.
struct Opening {
    EarliestStart start;
    size_t machine;        // index into the expected capacity
    uint32_t version = 0;  // stale once the machine's has advanced

    friend bool operator<(const Opening& a, const Opening& b) {
        return std::tie(a.start.in_s, a.machine) < std::tie(b.start.in_s, b.machine);
    }
    friend bool operator>(const Opening& a, const Opening& b) { return b < a; }
};

// Openings, soonest first. Changes go into a short list beside the long one, and what they replace
// stays there as stale until the two are merged: removed and inserted at once, each change moved
// half of the long list.
class OpeningList {
  public:
    // Where an iteration stands; valid until the list changes.
    struct Cursor {
        size_t merged = 0, recent = 0;
    };

    void assign(std::vector<Opening> openings) {
        std::ranges::sort(openings, std::less<>());
        merged_ = std::move(openings);
        recent_.clear();
        begin_ = 0;
    }

    void insert(const Opening& o) {
        recent_.insert(std::ranges::upper_bound(recent_, o, std::less<>()), o);
    }

    // Drops stale openings where that is cheap; `stale` tells whether one is.
    template <class Stale>
    void compact(const Stale& stale) {
        while (begin_ < merged_.size() && stale(merged_[begin_])) ++begin_;
        if (recent_.size() < kMaxRecent) return;
        std::vector<Opening> all;
        all.reserve(merged_.size() - begin_ + recent_.size());
        std::merge(merged_.begin() + static_cast<long>(begin_), merged_.end(), recent_.begin(),
                   recent_.end(), std::back_inserter(all));
        std::erase_if(all, stale);
        merged_ = std::move(all);
        recent_.clear();
        begin_ = 0;
    }

    [[nodiscard]] Cursor first() const { return {begin_, 0}; }

    // The first opening from the cursor on that `skip` does not hold for; null: none is left. What
    // is skipped is not looked at again with this cursor.
    template <class Skip>
    const Opening* next(Cursor& c, const Skip& skip) const {
        while (c.merged < merged_.size() && skip(merged_[c.merged])) ++c.merged;
        while (c.recent < recent_.size() && skip(recent_[c.recent])) ++c.recent;
        const auto* merged = c.merged < merged_.size() ? &merged_[c.merged] : nullptr;
        const auto* recent = c.recent < recent_.size() ? &recent_[c.recent] : nullptr;
        if (!merged || !recent) return merged ? merged : recent;
        return *merged < *recent ? merged : recent;
    }

  private:
    static constexpr size_t kMaxRecent = 256;

    std::vector<Opening> merged_, recent_;
    size_t begin_ = 0;  // of merged_: what is before is stale
};

}  // namespace weirmill
