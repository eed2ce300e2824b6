// For clang-tidy only, put before each file by .ci/lint. kj 0.9 leaves `const char* == StringPtr` in C++20 to the compiler's
// turning it round, which clang (P2468) does not do beside an operator!=; gcc 12 does. Without it capnp/blob.h is an error.
#pragma once
#include <kj/string.h>

namespace kj {
inline bool operator==(const char* a, const StringPtr& b) { return b == a; }
inline bool operator!=(const char* a, const StringPtr& b) { return !(b == a); }
}  // namespace kj
