// Checked access to JSON values. A null field counts as missing.
#pragma once
#include <boost/json.hpp>
#include <cmath>
#include <optional>
#include <stdexcept>
#include <string>

namespace weirmill {

// A message that is not valid JSON or has a missing or invalid field.
struct BadMessage : std::runtime_error {
    using std::runtime_error::runtime_error;
};

namespace read {

namespace json = boost::json;

inline json::value parse(std::string_view text) {
    boost::system::error_code ec;
    json::parse_options options;
    options.max_depth = 16;
    auto v = json::parse(json::string_view(text.data(), text.size()), ec, {}, options);
    if (ec) throw BadMessage("not JSON");
    return v;
}

inline const json::object& object(const json::value& v) {
    if (auto* o = v.if_object()) return *o;
    throw BadMessage("not an object");
}

// Returns null if the field is missing.
inline const json::value* field(const json::object& o, const char* name) {
    auto* v = o.if_contains(name);
    return v && !v->is_null() ? v : nullptr;
}

// Throws BadMessage that names the missing or invalid field.
[[noreturn]] inline void throw_invalid(const char* name) {
    throw BadMessage(std::string(name) + " is missing or invalid");
}

// Reads a string that is not empty.
inline std::string text(const json::object& o, const char* name, size_t max_bytes = 200) {
    auto* v = field(o, name);
    if (!v || !v->is_string() || v->get_string().empty() || v->get_string().size() > max_bytes)
        throw_invalid(name);
    return std::string(v->get_string());
}

// `default_value` is returned for a missing field; without one, a missing field is an error.
inline bool flag(const json::object& o, const char* name, std::optional<bool> default_value = {}) {
    auto* v = field(o, name);
    if (!v && default_value) return *default_value;
    if (!v || !v->is_bool()) throw_invalid(name);
    return v->get_bool();
}

// Reads a finite number from 0 to `max`.
inline double number(const json::object& o, const char* name,
                     std::optional<double> default_value = {}, double max = 1e9) {
    auto* v = field(o, name);
    if (!v && default_value) return *default_value;
    if (!v || !v->is_number()) throw_invalid(name);
    double d = v->to_number<double>();
    if (!std::isfinite(d) || d < 0 || d > max) throw_invalid(name);
    return d;
}

// Reads a non-negative integer.
inline uint64_t count(const json::object& o, const char* name,
                      std::optional<uint64_t> default_value = {}) {
    auto* v = field(o, name);
    if (!v && default_value) return *default_value;
    if (v && v->is_uint64()) return v->get_uint64();
    if (v && v->is_int64() && v->get_int64() >= 0) return static_cast<uint64_t>(v->get_int64());
    throw_invalid(name);
}

inline const json::array& array(const json::object& o, const char* name) {
    auto* v = field(o, name);
    if (!v || !v->is_array()) throw_invalid(name);
    return v->get_array();
}

}  // namespace read
}  // namespace weirmill
