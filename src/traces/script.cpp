#include "traces/script.h"

#include <cstdlib>
#include <lua.hpp>

namespace weirmill::traces {

namespace {

void on_instruction_limit(lua_State* lua, lua_Debug*) {
    luaL_error(lua, "more than %d instructions", Script::kMaxInstructions);
}

// Opens the libraries that a script can use. Must run in a protected call, because it allocates and
// fails when the memory limit is reached.
int open_libraries(lua_State* lua) {
    luaL_requiref(lua, LUA_GNAME, luaopen_base, 1);
    luaL_requiref(lua, LUA_TABLIBNAME, luaopen_table, 1);
    luaL_requiref(lua, LUA_STRLIBNAME, luaopen_string, 1);
    luaL_requiref(lua, LUA_MATHLIBNAME, luaopen_math, 1);
    // Removes functions that access files, that run code from outside the script, or whose results
    // differ from run to run. pcall and xpcall are removed because a script could catch the error
    // of the instruction limit with them.
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
    // These functions work in C, where the instruction limit does not apply. find and match stay:
    // their work is bounded by the short texts that scripts receive.
    for (auto* name : {"rep", "dump", "gsub", "gmatch"}) {
        lua_pushnil(lua);
        lua_setfield(lua, -2, name);
    }
    return 0;
}

std::string error_text(lua_State* lua) {
    auto* text = lua_tostring(lua, -1);
    std::string message = text ? text : "the error is not a text";
    lua_settop(lua, 0);
    return message;
}

struct TextField {
    const char* name;
    std::string JobDraft::* member;
};
struct NumberField {
    const char* name;
    double JobDraft::* member;
};
struct FlagField {
    const char* name;
    bool JobDraft::* member;
};
constexpr TextField kTextFields[] = {{"user", &JobDraft::user},   {"group", &JobDraft::group},
                                     {"queue", &JobDraft::queue}, {"class", &JobDraft::job_class},
                                     {"team", &JobDraft::team},   {"urgency", &JobDraft::urgency}};
constexpr NumberField kNumberFields[] = {{"submitted_s", &JobDraft::submitted_s},
                                         {"run_s", &JobDraft::run_s},
                                         {"tasks", &JobDraft::tasks},
                                         {"cores", &JobDraft::cores},
                                         {"gpus", &JobDraft::gpus},
                                         {"mem_gb", &JobDraft::mem_gb}};
constexpr FlagField kFlagFields[] = {{"gang", &JobDraft::gang}, {"loaners", &JobDraft::spot}};

// Calls job(draft), which returns a table, or nil and a message. Must run in a protected call.
int call_job(lua_State* lua) {
    auto& draft = *static_cast<const JobDraft*>(lua_touserdata(lua, 1));
    lua_getglobal(lua, "job");
    lua_newtable(lua);
    lua_pushlstring(lua, draft.key.data(), draft.key.size());
    lua_setfield(lua, -2, "key");
    for (auto& field : kTextFields) {
        auto& text = draft.*field.member;
        lua_pushlstring(lua, text.data(), text.size());
        lua_setfield(lua, -2, field.name);
    }
    for (auto& field : kNumberFields) {
        if (std::isnan(draft.*field.member)) continue;  // nil: the trace does not have it
        lua_pushnumber(lua, draft.*field.member);
        lua_setfield(lua, -2, field.name);
    }
    if (draft.priority >= 0) {
        lua_pushinteger(lua, draft.priority);
        lua_setfield(lua, -2, "priority");
    }
    for (auto& field : kFlagFields) {
        lua_pushboolean(lua, draft.*field.member);
        lua_setfield(lua, -2, field.name);
    }
    lua_call(lua, 1, 2);
    return 2;
}

}  // namespace

void* Script::allocate(void* memory, void* block, size_t old_size, size_t new_size) {
    auto& usage = *static_cast<Memory*>(memory);
    if (!block) old_size = 0;
    if (new_size == 0) {
        std::free(block);
        usage.used -= old_size;
        return nullptr;
    }
    if (new_size > old_size && usage.used + (new_size - old_size) > kMaxMemoryBytes) return nullptr;
    auto* resized = std::realloc(block, new_size);
    if (resized) usage.used += new_size - old_size;
    return resized;
}

Script::Script(const std::string& path) : memory_(std::make_unique<Memory>()) {
    lua_ = lua_newstate(allocate, memory_.get());
    if (!lua_) throw ScriptError("not enough memory for Lua");
    lua_pushcfunction(lua_, open_libraries);
    lua_sethook(lua_, on_instruction_limit, LUA_MASKCOUNT, kMaxInstructions);
    // Mode "t" accepts only source text: a malicious precompiled chunk can crash the interpreter.
    if (lua_pcall(lua_, 0, 0, 0) != LUA_OK || luaL_loadfilex(lua_, path.c_str(), "t") != LUA_OK ||
        lua_pcall(lua_, 0, 0, 0) != LUA_OK) {
        auto message = error_text(lua_);
        lua_close(lua_);
        throw ScriptError(path + ": " + message);
    }
    bool has_job_function = lua_getglobal(lua_, "job") == LUA_TFUNCTION;
    lua_settop(lua_, 0);
    if (!has_job_function) {
        lua_close(lua_);
        throw ScriptError(path + ": the script has no function job(j)");
    }
}

Script::~Script() { lua_close(lua_); }

Rejection Script::run(JobDraft& draft) {
    lua_settop(lua_, 0);
    // Setting the hook also resets the instruction count.
    lua_sethook(lua_, on_instruction_limit, LUA_MASKCOUNT, kMaxInstructions);
    lua_pushcfunction(lua_, call_job);
    lua_pushlightuserdata(lua_, &draft);
    if (lua_pcall(lua_, 1, 2, 0) != LUA_OK) return {RejectReason::ScriptFailed, error_text(lua_)};
    Rejection rejection;
    if (lua_isnil(lua_, 1)) {
        auto* message = lua_type(lua_, 2) == LUA_TSTRING ? lua_tostring(lua_, 2) : nullptr;
        rejection = {RejectReason::RejectedByScript,
                     message ? message : "the script gave no reason"};
    } else if (!lua_istable(lua_, 1)) {
        rejection = {RejectReason::ScriptFailed, "job(j) returned neither a table nor nil"};
    } else {
        // Raw access does not call metamethods, whose errors would not be caught here.
        auto get_field = [&](const char* name) {
            lua_pushstring(lua_, name);
            return lua_rawget(lua_, 1);
        };
        for (auto& field : kTextFields) {
            if (get_field(field.name) == LUA_TSTRING) draft.*field.member = lua_tostring(lua_, -1);
            lua_pop(lua_, 1);
        }
        for (auto& field : kNumberFields) {
            draft.*field.member =
                get_field(field.name) == LUA_TNUMBER ? lua_tonumber(lua_, -1) : kUnknown;
            lua_pop(lua_, 1);
        }
        for (auto& field : kFlagFields) {
            get_field(field.name);
            draft.*field.member = lua_toboolean(lua_, -1);
            lua_pop(lua_, 1);
        }
    }
    lua_settop(lua_, 0);
    return rejection;
}

}  // namespace weirmill::traces
