// JSON as text, appended piece by piece: for lines that are written by the million.
#pragma once
#include <charconv>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace weirmill::write {

// `s` is UTF-8.
inline void text(std::string& out, std::string_view s) {
    out += '"';
    size_t from = 0;
    for (size_t i = 0; i < s.size(); ++i) {
        auto c = static_cast<unsigned char>(s[i]);
        if (c != '"' && c != '\\' && c >= 0x20) [[likely]]
            continue;
        out.append(s, from, i - from);
        from = i + 1;
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
    out.append(s, from);
    out += '"';
}

template <std::integral Number>
void number(std::string& out, Number v) {
    char buffer[24];
    out.append(buffer, std::to_chars(buffer, buffer + sizeof buffer, v).ptr);
}

// The shortest form that reads back as the same number; `v` is finite. Most are whole, which is
// quicker to write.
inline void number(std::string& out, double v) {
    // The range first: beyond it the cast is undefined.
    if (v > -1e15 && v < 1e15)
        if (auto whole = static_cast<int64_t>(v); static_cast<double>(whole) == v)
            return number(out, whole);
    char buffer[40];
    out.append(buffer, std::to_chars(buffer, buffer + sizeof buffer, v).ptr);
}

inline void flag(std::string& out, bool v) { out += v ? "true" : "false"; }

}  // namespace weirmill::write
