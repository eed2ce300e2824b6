// The controller's command line. Exit codes: 1 for invalid settings or addresses, 2 for invalid
// environment variables, and those of CLI11 for invalid arguments.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "config/settings.h"
#include "controller/request_router.h"

namespace {

std::optional<spdlog::level::level_enum> parse_level(std::string_view name) {
    if (name == "error") return spdlog::level::err;
    if (name == "info") return spdlog::level::info;
    if (name == "debug") return spdlog::level::debug;
    return std::nullopt;
}

// Sends all logs to standard error, at the level that the environment variable LOG_LEVEL names.
// Returns false if it names no level.
bool set_up_logging() {
    auto logger = std::make_shared<spdlog::logger>(
        "weirmill", std::make_shared<spdlog::sinks::stderr_sink_st>());
    spdlog::set_default_logger(logger);
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
    const char* level = std::getenv("LOG_LEVEL");
    std::string name = level && *level ? level : "info";
    const auto parsed = parse_level(name);
    if (!parsed) {
        std::cerr << "LOG_LEVEL must be error, info or debug, not \"" << name << "\"\n";
        return false;
    }
    spdlog::set_level(*parsed);
    return true;
}

void serve(const weirmill::Settings& settings, const weirmill::Properties& properties) {
    boost::asio::io_context io(1);
    const weirmill::RequestRouter router(io, settings, properties);
    io.run();
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("weirmill: a controller of the cluster scheduler");
    std::string config, properties_file;
    bool check = false;
    app.set_version_flag("--version", std::string("weirmill ") + WEIRMILL_VERSION);
    app.add_option("--config", config, "the platform's settings file (TOML)")
        ->required()
        ->type_name("FILE");
    app.add_option("--properties", properties_file,
                   "the operators' settings (Java-style properties)")
        ->type_name("FILE");
    app.add_flag("--check-config", check, "check the settings and exit");
    CLI11_PARSE(app, argc, argv);
    if (!set_up_logging()) return 2;
    try {
        auto settings = weirmill::load_settings(config);
        auto properties = properties_file.empty() ? weirmill::Properties{}
                                                  : weirmill::load_properties(properties_file);
        for (const auto* endpoint :
             {&settings.api, &settings.peer, &settings.cloud, &settings.state})
            weirmill::to_tcp_endpoint(*endpoint);
        if (const auto warning = weirmill::grace_period_warning(settings); !warning.empty())
            spdlog::warn(warning);
        if (check) {
            std::cout << "settings are valid\n";
            return 0;
        }
        serve(settings, properties);
    } catch (const std::exception& e) {
        std::cerr << e.what() << "\n";
        return 1;
    }
    return 0;
}
