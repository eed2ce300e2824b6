// A list of machines, ordered by when a task of one shape can start on them.
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

// The earliest start of a task on one machine.
struct StartSlot {
    EarliestStart start;
    size_t machine;        // index into the expected capacity
    uint32_t version = 0;  // the slot is stale if the machine's version is higher

    friend bool operator<(const StartSlot& a, const StartSlot& b) {
        return std::tie(a.start.in_s, a.machine) < std::tie(b.start.in_s, b.machine);
    }
    friend bool operator>(const StartSlot& a, const StartSlot& b) { return b < a; }
};

// A sorted list of start slots, earliest first. New slots go into a short second list, and the
// slots that they replace stay in the main list as stale entries until compact() merges the two:
// inserting into and erasing from the main list would move half of it for each change.
class StartSlotList {
  public:
    // The position of an iteration; valid until the list changes.
    struct Cursor {
        size_t merged = 0, recent = 0;
    };

    void assign(std::vector<StartSlot> slots) {
        std::ranges::sort(slots, std::less<>());
        merged_ = std::move(slots);
        recent_.clear();
        begin_ = 0;
    }

    void insert(const StartSlot& slot) {
        recent_.insert(std::ranges::upper_bound(recent_, slot, std::less<>()), slot);
    }

    // Removes stale slots from the front of the main list, and all of them once the second list is
    // full. `is_stale` returns whether a slot is stale.
    template <class IsStale>
    void compact(const IsStale& is_stale) {
        while (begin_ < merged_.size() && is_stale(merged_[begin_])) ++begin_;
        if (recent_.size() < kMaxRecent) return;
        std::vector<StartSlot> all;
        all.reserve(merged_.size() - begin_ + recent_.size());
        std::merge(merged_.begin() + static_cast<long>(begin_), merged_.end(), recent_.begin(),
                   recent_.end(), std::back_inserter(all));
        std::erase_if(all, is_stale);
        merged_ = std::move(all);
        recent_.clear();
        begin_ = 0;
    }

    [[nodiscard]] Cursor first() const { return {begin_, 0}; }

    // Returns the first slot at or after the cursor for which `skip` is false, or null. The cursor
    // moves past the skipped slots, which are not visited again.
    template <class Skip>
    const StartSlot* next(Cursor& cursor, const Skip& skip) const {
        while (cursor.merged < merged_.size() && skip(merged_[cursor.merged])) ++cursor.merged;
        while (cursor.recent < recent_.size() && skip(recent_[cursor.recent])) ++cursor.recent;
        const auto* merged = cursor.merged < merged_.size() ? &merged_[cursor.merged] : nullptr;
        const auto* recent = cursor.recent < recent_.size() ? &recent_[cursor.recent] : nullptr;
        if (!merged || !recent) return merged ? merged : recent;
        return *merged < *recent ? merged : recent;
    }

  private:
    static constexpr size_t kMaxRecent = 256;  // slots in the second list before a merge

    std::vector<StartSlot> merged_, recent_;
    size_t begin_ = 0;  // the slots of merged_ before this index are stale
};

}  // namespace weirmill
