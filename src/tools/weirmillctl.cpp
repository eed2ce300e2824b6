// The operators' command: verbs, their options and exit codes. What they do is in packages of their own.
#include <CLI/CLI.hpp>
#include <boost/iostreams/close.hpp>
#include <boost/iostreams/device/file_descriptor.hpp>
#include <boost/iostreams/filter/gzip.hpp>
#include <boost/iostreams/filter/lzma.hpp>
#include <boost/iostreams/filter/zstd.hpp>
#include <boost/iostreams/filtering_streambuf.hpp>
#include <boost/iostreams/write.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "protocol/cloud_codec.h"
#include "traces/import.h"

namespace {

namespace io = boost::iostreams;
using namespace weirmill;

enum Exit : int { kDone = 0, kSomeRejected = 1, kUsage = 2, kUnreadable = 3, kBug = 70 };

// A file that is written, compressed as its name ends.
class Output {
  public:
    explicit Output(const std::string& path) : path_(path) {
        if (path.ends_with(".zst"))
            stream_.push(io::zstd_compressor());
        else if (path.ends_with(".gz"))
            stream_.push(io::gzip_compressor());
        else if (path.ends_with(".xz"))
            stream_.push(io::lzma_compressor());
        stream_.push(io::file_descriptor_sink(path, std::ios::binary | std::ios::trunc), kBuffer);
    }
    // All throw std::exception if it can't be written.
    void write(std::string_view text) {
        if (io::write(stream_, text.data(), static_cast<std::streamsize>(text.size())) !=
            static_cast<std::streamsize>(text.size()))
            throw std::runtime_error(path_ + ": can't be written");
    }
    void close() { io::close(stream_); }

  private:
    static constexpr std::streamsize kBuffer = 1 << 18;
    std::string path_;
    io::filtering_streambuf<io::output> stream_;
};

std::string whole(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::stringstream text;
    if (!in || !(text << in.rdbuf())) throw traces::Unreadable(path + ": can't be read");
    return text.str();
}

struct ImportOptions {
    std::string format, map, types, out, dispositions;
    bool strict = false;
    std::vector<std::string> inputs;
};

int run_import(const ImportOptions& o) {
    auto* format = traces::find_format(o.format);
    auto map = o.map.empty() ? traces::Map{} : traces::load_map(o.map);
    auto types = parse_machine_types(whole(o.types));
    if (o.out == o.dispositions) throw CLI::ValidationError("--out and --dispositions name the same file");
    Output jobs(o.out), dispositions(o.dispositions);
    auto account = traces::import(
        *format, o.inputs, map, types, [&](std::string_view t) { jobs.write(t); },
        [&](std::string_view t) { dispositions.write(t); });
    jobs.close();
    dispositions.close();
    std::cout << account.json() << std::endl;
    for (auto& why : account.broken) std::cerr << "weirmillctl: " << why << "\n";
    if (!account.holds()) {
        std::cerr << "weirmillctl: the account does not hold: this is an error of weirmillctl\n";
        return kBug;
    }
    if (!account.broken.empty()) return kUnreadable;
    return o.strict && account.rejected_records + account.rejected_jobs > 0 ? kSomeRejected : kDone;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("weirmillctl: tools around the cluster scheduler");
    app.set_version_flag("--version", std::string("weirmillctl ") + WEIRMILL_VERSION);
    app.require_subcommand(1);
    auto* trace = app.add_subcommand("trace", "published traces of clusters as submissions");
    trace->require_subcommand(1);
    trace->footer(
        "Example:\n  weirmillctl trace import --format swf --types types.json --out jobs.ndjson "
        "--dispositions d.ndjson log.swf.gz");
    auto* list = trace->add_subcommand("formats", "the formats that can be imported");
    list->footer("Example:\n  weirmillctl trace formats");
    auto* import =
        trace->add_subcommand("import", "make submissions of a trace, and tell what became of each record");
    import->footer(
        "Exit codes: 0 done, 1 some were rejected (--strict), 2 usage, 3 unreadable input, 70 the account "
        "does not "
        "hold\nExample:\n  weirmillctl trace import --format google-2011 --map map.properties --types "
        "types.json \\\n"
        "      --out jobs.ndjson.zst --dispositions d.ndjson.zst job_events/*.csv.gz task_events/*.csv.gz");
    ImportOptions o;
    std::vector<std::string> names;
    for (auto& f : traces::formats()) names.emplace_back(f.name);
    import->add_option("--format", o.format, "see `trace formats`")->required()->check(CLI::IsMember(names));
    import->add_option("--map", o.map, "how the trace's units and names become ours (properties)")
        ->type_name("FILE");
    import->add_option("--types", o.types, "the cloud's machine types, as its /machine_types answers")
        ->required()
        ->type_name("FILE");
    import->add_option("--out", o.out, "submissions, a line each; compressed if it ends in .zst, .gz or .xz")
        ->required()
        ->type_name("FILE");
    import->add_option("--dispositions", o.dispositions, "what became of each record and job, a line each")
        ->required()
        ->type_name("FILE");
    import->add_flag("--strict", o.strict, "exit with 1 if anything was rejected");
    import->add_option("INPUT", o.inputs, "files (plain, gzip, xz or zstd); - for standard input")
        ->required();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? kDone : kUsage;
    }
    try {
        if (*list) {
            for (auto& f : traces::formats())
                std::cout << f.name << "\t" << f.title << "\t" << f.inputs << "\n";
            return kDone;
        }
        return run_import(o);
    } catch (const traces::Unreadable& e) {
        std::cerr << "weirmillctl: " << e.what() << "\n";
        return kUnreadable;
    } catch (const BadMessage& e) {
        std::cerr << "weirmillctl: " << o.types << ": " << e.what() << "\n";
        return kUnreadable;
    } catch (const CLI::ValidationError& e) {
        std::cerr << "weirmillctl: " << e.what() << "\n";
        return kUsage;
    } catch (const traces::MapError& e) {
        std::cerr << "weirmillctl: " << e.what() << "\n";
        return kUsage;
    } catch (const traces::ScriptError& e) {
        std::cerr << "weirmillctl: " << e.what() << "\n";
        return kUsage;
    } catch (const std::exception& e) {
        std::cerr << "weirmillctl: " << e.what() << "\n";
        return kUnreadable;
    }
}
