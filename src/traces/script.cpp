#include "traces/script.h"

#include <cstdlib>
#include <lua.hpp>

namespace weirmill::traces {

namespace {

void over_budget(lua_State* lua, lua_Debug*) {
    luaL_error(lua, "more than %d instructions", Script::kInstructions);
}

// Run inside a protected call: opening libraries allocates, and may fail for want of memory.
int open_libraries(lua_State* lua) {
    luaL_requiref(lua, LUA_GNAME, luaopen_base, 1);
    luaL_requiref(lua, LUA_TABLIBNAME, luaopen_table, 1);
    luaL_requiref(lua, LUA_STRLIBNAME, luaopen_string, 1);
    luaL_requiref(lua, LUA_MATHLIBNAME, luaopen_math, 1);
    // Ways to files, to code that was not in the script, and to answers that differ from run to
    // run. pcall would catch the end of the budget.
    for (auto* name : {"dofile", "loadfile", "load", "print", "warn", "collectgarbage", "pcall",
                       "xpcall", "require"}) {
        lua_pushnil(lua);
        lua_setglobal(lua, name);
    }
    lua_getglobal(lua, "math");
    for (auto* name : {"random", "randomseed"}) {
        lua_pushnil(lua);
        lua_setfield(lua, -2, name);
    }
    lua_getglobal(lua, "string");
    // Their work is done in C, beyond the count of instructions; that of find and match is bounded
    // by the short texts that scripts are given.
    for (auto* name : {"rep", "dump", "gsub", "gmatch"}) {
        lua_pushnil(lua);
        lua_setfield(lua, -2, name);
    }
    return 0;
}

std::string error_text(lua_State* lua) {
    auto* text = lua_tostring(lua, -1);
    std::string out = text ? text : "an error that is no text";
    lua_settop(lua, 0);
    return out;
}

struct TextField {
    const char* name;
    std::string Draft::* field;
};
struct NumberField {
    const char* name;
    double Draft::* field;
};
struct FlagField {
    const char* name;
    bool Draft::* field;
};
constexpr TextField kTexts[] = {{"user", &Draft::user},   {"group", &Draft::group},
                                {"queue", &Draft::queue}, {"class", &Draft::job_class},
                                {"team", &Draft::team},   {"urgency", &Draft::urgency}};
constexpr NumberField kNumbers[] = {{"submitted_s", &Draft::submitted_s},
                                    {"run_s", &Draft::run_s},
                                    {"tasks", &Draft::tasks},
                                    {"cores", &Draft::cores},
                                    {"gpus", &Draft::gpus},
                                    {"mem_gb", &Draft::mem_gb}};
constexpr FlagField kFlags[] = {{"gang", &Draft::gang}, {"loaners", &Draft::loaners}};

// job(draft) -> table | nil, sentence; protected as a whole.
int call_job(lua_State* lua) {
    auto& draft = *static_cast<const Draft*>(lua_touserdata(lua, 1));
    lua_getglobal(lua, "job");
    lua_newtable(lua);
    lua_pushlstring(lua, draft.key.data(), draft.key.size());
    lua_setfield(lua, -2, "key");
    for (auto& t : kTexts) {
        auto& text = draft.*t.field;
        lua_pushlstring(lua, text.data(), text.size());
        lua_setfield(lua, -2, t.name);
    }
    for (auto& n : kNumbers) {
        if (std::isnan(draft.*n.field)) continue;  // nil: not told
        lua_pushnumber(lua, draft.*n.field);
        lua_setfield(lua, -2, n.name);
    }
    if (draft.priority >= 0) {
        lua_pushinteger(lua, draft.priority);
        lua_setfield(lua, -2, "priority");
    }
    for (auto& f : kFlags) {
        lua_pushboolean(lua, draft.*f.field);
        lua_setfield(lua, -2, f.name);
    }
    lua_call(lua, 1, 2);
    return 2;
}

}  // namespace

void* Script::allocate(void* memory, void* block, size_t old_size, size_t new_size) {
    auto& m = *static_cast<Memory*>(memory);
    if (!block) old_size = 0;
    if (new_size == 0) {
        std::free(block);
        m.used -= old_size;
        return nullptr;
    }
    if (new_size > old_size && m.used + (new_size - old_size) > kMemory) return nullptr;
    auto* out = std::realloc(block, new_size);
    if (out) m.used += new_size - old_size;
    return out;
}

Script::Script(const std::string& path) : memory_(std::make_unique<Memory>()) {
    lua_ = lua_newstate(allocate, memory_.get());
    if (!lua_) throw ScriptError("no memory for Lua");
    lua_pushcfunction(lua_, open_libraries);
    lua_sethook(lua_, over_budget, LUA_MASKCOUNT, kInstructions);
    // Text only: a precompiled chunk can break Lua's own safety.
    if (lua_pcall(lua_, 0, 0, 0) != LUA_OK || luaL_loadfilex(lua_, path.c_str(), "t") != LUA_OK ||
        lua_pcall(lua_, 0, 0, 0) != LUA_OK) {
        auto why = error_text(lua_);
        lua_close(lua_);
        throw ScriptError(path + ": " + why);
    }
    bool has = lua_getglobal(lua_, "job") == LUA_TFUNCTION;
    lua_settop(lua_, 0);
    if (!has) {
        lua_close(lua_);
        throw ScriptError(path + ": no function job(j)");
    }
}

Script::~Script() { lua_close(lua_); }

Refusal Script::decide(Draft& draft) {
    lua_settop(lua_, 0);
    // The count starts anew with the hook.
    lua_sethook(lua_, over_budget, LUA_MASKCOUNT, kInstructions);
    lua_pushcfunction(lua_, call_job);
    lua_pushlightuserdata(lua_, &draft);
    if (lua_pcall(lua_, 1, 2, 0) != LUA_OK) return {Reason::ScriptFailed, error_text(lua_)};
    Refusal out;
    if (lua_isnil(lua_, 1)) {
        auto* why = lua_type(lua_, 2) == LUA_TSTRING ? lua_tostring(lua_, 2) : nullptr;
        out = {Reason::Script, why ? why : "the script gave no sentence"};
    } else if (!lua_istable(lua_, 1)) {
        out = {Reason::ScriptFailed, "job(j) gave neither a table nor nil"};
    } else {
        // Raw reads: a metatable's code would run outside of any protection.
        auto get = [&](const char* name) {
            lua_pushstring(lua_, name);
            return lua_rawget(lua_, 1);
        };
        for (auto& t : kTexts) {
            if (get(t.name) == LUA_TSTRING) draft.*t.field = lua_tostring(lua_, -1);
            lua_pop(lua_, 1);
        }
        for (auto& n : kNumbers) {
            draft.*n.field = get(n.name) == LUA_TNUMBER ? lua_tonumber(lua_, -1) : kNoTime;
            lua_pop(lua_, 1);
        }
        for (auto& f : kFlags) {
            get(f.name);
            draft.*f.field = lua_toboolean(lua_, -1);
            lua_pop(lua_, 1);
        }
    }
    lua_settop(lua_, 0);
    return out;
}

}  // namespace weirmill::traces
