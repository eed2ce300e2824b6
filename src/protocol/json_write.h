// Appends JSON values to a string without building a document. Trace files have millions of lines,
// for which building a document is too slow.
#pragma once
#include <charconv>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace weirmill::write {

// Appends `s`, which is UTF-8, as a JSON string.
inline void text(std::string& out, std::string_view s) {
    out += '"';
    size_t unwritten_from = 0;
    for (size_t i = 0; i < s.size(); ++i) {
        auto c = static_cast<unsigned char>(s[i]);
        if (c != '"' && c != '\\' && c >= 0x20) [[likely]]
            continue;
        out.append(s, unwritten_from, i - unwritten_from);
        unwritten_from = i + 1;
        if (c >= 0x20) {
            out += '\\';
            out += s[i];
        } else {
            static constexpr char kHex[] = "0123456789abcdef";
            out += "\\u00";
            out += kHex[c >> 4];
            out += kHex[c & 15];
        }
    }
    out.append(s, unwritten_from);
    out += '"';
}

template <std::integral Number>
void number(std::string& out, Number v) {
    char buffer[24];
    out.append(buffer, std::to_chars(buffer, buffer + sizeof buffer, v).ptr);
}

// Appends the shortest text that parses back to the same number; `v` must be finite. Most numbers
// are integers, which are formatted faster.
inline void number(std::string& out, double v) {
    // The range check comes first because the cast is undefined for larger values.
    if (v > -1e15 && v < 1e15)
        if (auto integer = static_cast<int64_t>(v); static_cast<double>(integer) == v)
            return number(out, integer);
    char buffer[40];
    out.append(buffer, std::to_chars(buffer, buffer + sizeof buffer, v).ptr);
}

inline void flag(std::string& out, bool v) { out += v ? "true" : "false"; }

}  // namespace weirmill::write
