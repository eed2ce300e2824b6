// The operators' command: verbs, their options and exit codes. What they do is in packages of their
// own.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <boost/asio.hpp>
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

#include "cli/completion.h"
#include "config/settings.h"
#include "protocol/cloud_codec.h"
#include "traces/import.h"
#include "traces/play.h"
#include "traces/stats.h"

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
    if (o.out == o.dispositions)
        throw CLI::ValidationError("--out and --dispositions name the same file");
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

int run_stats(const std::string& jobs, const std::string& times, const std::string& html) {
    auto stats = traces::read_stats(jobs, times);
    if (!html.empty()) {
        Output page(html);
        page.write(stats.html("Load of " + jobs));
        page.close();
    }
    std::cout << stats.json() << std::endl;
    return kDone;
}

struct PlayArguments {
    std::vector<std::string> to;
    std::string jobs, csv, log, resume;
    double speed = 1;
    size_t in_flight = 1000;
};

int run_play(const PlayArguments& a) {
    traces::PlayOptions options;
    for (auto& to : a.to) {
        try {
            options.to.push_back(Endpoint::parse(to, "--to"));
        } catch (const SettingsError& e) {
            throw CLI::ValidationError(e.what());
        }
    }
    options.speed = a.speed;
    options.in_flight = a.in_flight;
    options.log = !a.resume.empty() ? a.resume : !a.log.empty() ? a.log : a.jobs + ".play";
    std::unordered_map<std::string, traces::Played> known;
    if (!a.resume.empty())
        known = traces::read_play_log(a.resume);
    else if (std::ifstream(options.log).peek() != std::ifstream::traits_type::eof())
        throw CLI::ValidationError(
            options.log +
            " is the log of an earlier play: --resume it, or name another with --log");
    traces::JobFile file(a.jobs);
    boost::asio::io_context run_io(1);
    traces::Player player(run_io, options, [&] { return file.next(); }, std::move(known));
    boost::asio::signal_set signals(run_io, SIGINT, SIGTERM);
    bool interrupted = false;
    signals.async_wait([&](boost::system::error_code ec, int) {
        if (ec) return;
        interrupted = true;
        player.stop();
    });
    boost::asio::steady_timer tick(run_io);
    bool terminal = ::isatty(STDERR_FILENO) == 1;
    std::function<void()> progress = [&] {
        tick.expires_after(std::chrono::seconds(1));
        tick.async_wait([&](boost::system::error_code ec) {
            if (ec) return;
            auto f = player.figures();
            auto n = [&](traces::Played p) { return f.by_state[static_cast<size_t>(p)]; };
            std::cerr << "\r" << f.jobs << " jobs: " << n(traces::Played::Accepted) << " accepted, "
                      << n(traces::Played::Done) << " done, " << n(traces::Played::Sent)
                      << " under way \x1b[K" << std::flush;
            progress();
        });
    };
    if (terminal) progress();
    std::exception_ptr failed;
    boost::asio::co_spawn(run_io, player.run(), [&](std::exception_ptr e) {
        failed = e;
        tick.cancel();
        signals.cancel();
    });
    run_io.run();
    if (terminal) std::cerr << "\n";
    if (failed) std::rethrow_exception(failed);
    if (!a.csv.empty()) {
        Output csv(a.csv);
        player.csv([&](const std::string& row) { csv.write(row); });
        csv.close();
    }
    auto figures = player.figures();
    std::cout << figures.json() << std::endl;
    if (interrupted)
        std::cerr << "weirmillctl: stopped; go on with --resume " << options.log << "\n";
    auto failures = figures.went_back + (interrupted ? 1 : 0);
    for (auto p : {traces::Played::Refused, traces::Played::GivenUp, traces::Played::NotSent,
                   traces::Played::Lost})
        failures += figures.by_state[static_cast<size_t>(p)];
    return failures > 0 ? kSomeRejected : kDone;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("weirmillctl: tools around the cluster scheduler");
    app.set_version_flag("--version", std::string("weirmillctl ") + WEIRMILL_VERSION);
    app.require_subcommand(1);
    app.footer("Example:\n  weirmillctl trace formats");
    auto* completion =
        app.add_subcommand("completion", "a script that completes this command's words");
    completion->footer(
        "Example:\n  weirmillctl completion bash > /etc/bash_completion.d/weirmillctl");
    std::string shell;
    completion->add_option("SHELL", shell, "bash")->required()->check(CLI::IsMember({"bash"}));
    auto* trace = app.add_subcommand("trace", "published traces of clusters as submissions");
    trace->require_subcommand(1);
    trace->footer(
        "Example:\n  weirmillctl trace import --format swf --types types.json --out jobs.ndjson "
        "--dispositions d.ndjson log.swf.gz");
    auto* list = trace->add_subcommand("formats", "the formats that can be imported");
    list->footer("Example:\n  weirmillctl trace formats");
    auto* import = trace->add_subcommand(
        "import", "make submissions of a trace, and tell what became of each record");
    import->footer(
        "Exit codes: 0 done, 1 some were rejected (--strict), 2 usage, 3 unreadable input, 70 the "
        "account "
        "does not "
        "hold\nExample:\n  weirmillctl trace import --format google-2011 --map map.properties "
        "--types "
        "types.json \\\n"
        "      --out jobs.ndjson.zst --dispositions d.ndjson.zst job_events/*.csv.gz "
        "task_events/*.csv.gz");
    ImportOptions o;
    std::vector<std::string> names;
    for (auto& f : traces::formats()) names.emplace_back(f.name);
    import->add_option("--format", o.format, "see `trace formats`")
        ->required()
        ->check(CLI::IsMember(names));
    import->add_option("--map", o.map, "how the trace's units and names become ours (properties)")
        ->type_name("FILE");
    import
        ->add_option("--types", o.types, "the cloud's machine types, as its /machine_types answers")
        ->required()
        ->type_name("FILE");
    import
        ->add_option("--out", o.out,
                     "submissions, a line each; compressed if it ends in .zst, .gz or .xz")
        ->required()
        ->type_name("FILE");
    import
        ->add_option("--dispositions", o.dispositions,
                     "what became of each record and job, a line each")
        ->required()
        ->type_name("FILE");
    import->add_flag("--strict", o.strict, "exit with 1 if anything was rejected");
    import->add_option("INPUT", o.inputs, "files (plain, gzip, xz or zstd); - for standard input")
        ->required();
    auto* stats = trace->add_subcommand(
        "stats", "distributions of an import's jobs, and of a play's waiting");
    stats->footer(
        "Example:\n  weirmillctl trace stats jobs.ndjson --times times.csv --html load.html");
    std::string stats_jobs, stats_times, stats_html;
    stats->add_option("JOBS", stats_jobs, "the output of `trace import`")
        ->required()
        ->type_name("FILE");
    stats->add_option("--times", stats_times, "the table that `trace play --csv` wrote")
        ->type_name("FILE");
    stats->add_option("--html", stats_html, "one page with everything in it")->type_name("FILE");
    auto* play =
        trace->add_subcommand("play", "submit an import's jobs in time, follow them to their end");
    play->footer(
        "Exit codes: 0 every job was taken and none of the answers went back, 1 otherwise, 2 "
        "usage, 3 "
        "unreadable "
        "input\nCtrl-C ends it with the figures so far.\nExample:\n  weirmillctl trace play --to "
        "10.0.0.1:8080,10.0.0.2:8080 --speed 60 --csv times.csv jobs.ndjson");
    PlayArguments p;
    play->add_option("--to", p.to, "the service's nodes, HOST:PORT")
        ->required()
        ->delimiter(',')
        ->allow_extra_args(false);
    play->add_option("--speed", p.speed, "the trace's seconds in one of ours")
        ->check(CLI::Range(1e-6, 1e9));
    play->add_option("--jobs-in-flight", p.in_flight,
                     "jobs that are sent and not at their end, at most")
        ->check(CLI::Range(size_t{1}, size_t{1000000}));
    play->add_option("--csv", p.csv, "times of every job")->type_name("FILE");
    auto* log = play->add_option("--log", p.log, "what was sent and answered (default: JOBS.play)")
                    ->type_name("FILE");
    play->add_option("--resume", p.resume, "go on from the log of an earlier play")
        ->type_name("FILE")
        ->excludes(log);
    play->add_option("JOBS", p.jobs, "the output of `trace import`")->required()->type_name("FILE");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? kDone : kUsage;
    }
    try {
        if (*completion) {
            std::cout << tools::bash_completion(app, "weirmillctl", {{"--format", names}});
            return kDone;
        }
        if (*list) {
            for (auto& f : traces::formats())
                std::cout << f.name << "\t" << f.title << "\t" << f.inputs << "\n";
            return kDone;
        }
        if (*stats) return run_stats(stats_jobs, stats_times, stats_html);
        return *play ? run_play(p) : run_import(o);
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
