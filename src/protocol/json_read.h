// Checked access to JSON values. A missing field and a null one are the same.
#pragma once
#include <boost/json.hpp>
#include <cmath>
#include <optional>
#include <stdexcept>
#include <string>

namespace weirmill {

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

inline const json::value* field(const json::object& o, const char* name) {
    auto* v = o.if_contains(name);
    return v && !v->is_null() ? v : nullptr;
}

[[noreturn]] inline void bad(const char* name) {
    throw BadMessage(std::string(name) + " is missing or invalid");
}

inline std::string text(const json::object& o, const char* name, size_t longest = 200) {
    auto* v = field(o, name);
    if (!v || !v->is_string() || v->get_string().empty() || v->get_string().size() > longest)
        bad(name);
    return std::string(v->get_string());
}

inline bool flag(const json::object& o, const char* name, std::optional<bool> missing = {}) {
    auto* v = field(o, name);
    if (!v && missing) return *missing;
    if (!v || !v->is_bool()) bad(name);
    return v->get_bool();
}

inline double number(const json::object& o, const char* name, std::optional<double> missing = {},
                     double most = 1e9) {
    auto* v = field(o, name);
    if (!v && missing) return *missing;
    if (!v || !v->is_number()) bad(name);
    double d = v->to_number<double>();
    if (!std::isfinite(d) || d < 0 || d > most) bad(name);
    return d;
}

inline uint64_t count(const json::object& o, const char* name,
                      std::optional<uint64_t> missing = {}) {
    auto* v = field(o, name);
    if (!v && missing) return *missing;
    if (v && v->is_uint64()) return v->get_uint64();
    if (v && v->is_int64() && v->get_int64() >= 0) return static_cast<uint64_t>(v->get_int64());
    bad(name);
}

inline const json::array& array(const json::object& o, const char* name) {
    auto* v = field(o, name);
    if (!v || !v->is_array()) bad(name);
    return v->get_array();
}

}  // namespace read
}  // namespace weirmill
