// Generates a shell completion script from the definition of the command line, so that the two
// always match.
#pragma once
#include <CLI/CLI.hpp>
#include <map>
#include <string>
#include <vector>

namespace weirmill::tools {

// Returns a script for bash. `option_values` has the possible values of options, by option name.
std::string bash_completion(const CLI::App& app, const std::string& program,
                            const std::map<std::string, std::vector<std::string>>& option_values);

}  // namespace weirmill::tools
