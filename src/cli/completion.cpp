#include "cli/completion.h"

namespace weirmill::tools {

namespace {

std::string join(const std::vector<std::string>& words, const char* separator) {
    std::string joined;
    for (auto& word : words) joined += (joined.empty() ? "" : separator) + word;
    return joined;
}

// Adds `app` and its subcommands by their paths (such as "/trace/import"), each with the
// subcommands and options that can follow it.
void collect_words(const CLI::App& app, const std::string& path,
                   std::map<std::string, std::vector<std::string>>& words_by_path) {
    auto& words = words_by_path[path];
    for (auto* subcommand : app.get_subcommands(nullptr)) {
        words.push_back(subcommand->get_name());
        collect_words(*subcommand, path + "/" + subcommand->get_name(), words_by_path);
    }
    for (auto* option : app.get_options())
        for (auto& name : option->get_lnames()) words.push_back("--" + name);
}

}  // namespace

std::string bash_completion(const CLI::App& app, const std::string& program,
                            const std::map<std::string, std::vector<std::string>>& option_values) {
    std::map<std::string, std::vector<std::string>> words_by_path;
    collect_words(app, "", words_by_path);
    std::vector<std::string> paths;
    std::string path_cases;
    for (auto& [path, words] : words_by_path) {
        if (!path.empty()) paths.push_back(path);
        path_cases += "        \"" + path + "\") words=\"" + join(words, " ") + "\" ;;\n";
    }
    std::string option_cases;
    for (auto& [option, words] : option_values)
        option_cases += "        " + option + ") words=\"" + join(words, " ") + "\" ;;\n";
    // With "-o default", bash completes file names where no word matches.
    return "_" + program +
           "() {\n"
           "    local current=\"${COMP_WORDS[COMP_CWORD]}\" path=\"\" words=\"\" word\n"
           "    for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
           "        case \"$path/$word\" in\n"
           "            " +
           join(paths, "|") +
           ") path=\"$path/$word\" ;;\n"
           "        esac\n"
           "    done\n"
           "    case \"$path\" in\n" +
           path_cases +
           "    esac\n"
           "    case \"${COMP_WORDS[COMP_CWORD-1]}\" in\n" +
           option_cases +
           "        --*) [[ $current == -* ]] || words=\"\" ;;\n"
           "    esac\n"
           "    COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
           "}\n"
           "complete -o default -F _" +
           program + " " + program + "\n";
}

}  // namespace weirmill::tools
