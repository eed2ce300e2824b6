// For clang-tidy only: .ci/lint includes this header before each file. capnp/blob.h compares
// `const char* == StringPtr`, for which kj 0.9 relies on the reversed operator== of C++20. clang
// does not consider the reversed operator beside a declared operator!= (P2468) and reports an
// error; gcc 12 accepts it. These operators make the comparison valid for both.
#pragma once
#include <kj/string.h>

namespace kj {
inline bool operator==(const char* a, const StringPtr& b) { return b == a; }
inline bool operator!=(const char* a, const StringPtr& b) { return !(b == a); }
}  // namespace kj
