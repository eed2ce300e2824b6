#include "cli/completion.h"

namespace weirmill::tools {

namespace {

std::string joined(const std::vector<std::string>& words, const char* between) {
    std::string out;
    for (auto& w : words) out += (out.empty() ? "" : between) + w;
    return out;
}

// The verbs below `app` by their path ("/trace/import"), each with the words that may follow it.
void walk(const CLI::App& app, const std::string& path,
          std::map<std::string, std::vector<std::string>>& out) {
    auto& words = out[path];
    for (auto* sub : app.get_subcommands(nullptr)) {
        words.push_back(sub->get_name());
        walk(*sub, path + "/" + sub->get_name(), out);
    }
    for (auto* option : app.get_options())
        for (auto& name : option->get_lnames()) words.push_back("--" + name);
}

}  // namespace

std::string bash_completion(const CLI::App& app, const std::string& program,
                            const std::map<std::string, std::vector<std::string>>& values) {
    std::map<std::string, std::vector<std::string>> verbs;
    walk(app, "", verbs);
    std::vector<std::string> paths;
    std::string cases;
    for (auto& [path, words] : verbs) {
        if (!path.empty()) paths.push_back(path);
        cases += "        \"" + path + "\") words=\"" + joined(words, " ") + "\" ;;\n";
    }
    std::string given;
    for (auto& [option, words] : values)
        given += "        " + option + ") words=\"" + joined(words, " ") + "\" ;;\n";
    // What no word fits is completed as a file.
    return "_" + program +
           "() {\n"
           "    local current=\"${COMP_WORDS[COMP_CWORD]}\" path=\"\" words=\"\" word\n"
           "    for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
           "        case \"$path/$word\" in\n"
           "            " +
           joined(paths, "|") +
           ") path=\"$path/$word\" ;;\n"
           "        esac\n"
           "    done\n"
           "    case \"$path\" in\n" +
           cases +
           "    esac\n"
           "    case \"${COMP_WORDS[COMP_CWORD-1]}\" in\n" +
           given +
           "        --*) [[ $current == -* ]] || words=\"\" ;;\n"
           "    esac\n"
           "    COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
           "}\n"
           "complete -o default -F _" +
           program + " " + program + "\n";
}

}  // namespace weirmill::tools
