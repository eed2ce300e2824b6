// Shell completion made from the command line's own description, so that the two can't differ.
#pragma once
#include <CLI/CLI.hpp>
#include <map>
#include <string>
#include <vector>

namespace weirmill::tools {

// A script for bash. `values`: what an option may be given, by its name.
std::string bash_completion(const CLI::App& app, const std::string& program,
                            const std::map<std::string, std::vector<std::string>>& values);

}  // namespace weirmill::tools
