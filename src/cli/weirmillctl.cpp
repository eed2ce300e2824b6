// The command line tool for operators: its subcommands, their options and exit codes. The work of
// the subcommands is done in other modules.
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

enum ExitCode : int {
    kOk = 0,
    kFailures = 1,
    kUsageError = 2,
    kFileError = 3,
    kInternalError = 70
};

// Writes a file. The file is compressed if its name ends in .zst, .gz or .xz.
class OutputFile {
  public:
    explicit OutputFile(const std::string& path) : path_(path) {
        if (path.ends_with(".zst"))
            stream_.push(io::zstd_compressor());
        else if (path.ends_with(".gz"))
            stream_.push(io::gzip_compressor());
        else if (path.ends_with(".xz"))
            stream_.push(io::lzma_compressor());
        stream_.push(io::file_descriptor_sink(path, std::ios::binary | std::ios::trunc),
                     kBufferBytes);
    }
    // write() and close() throw std::exception if the file can't be written, as the constructor
    // does.
    void write(std::string_view text) {
        if (io::write(stream_, text.data(), static_cast<std::streamsize>(text.size())) !=
            static_cast<std::streamsize>(text.size()))
            throw std::runtime_error(path_ + ": can't be written");
    }
    void close() { io::close(stream_); }

  private:
    static constexpr std::streamsize kBufferBytes = 1 << 18;
    std::string path_;
    io::filtering_streambuf<io::output> stream_;
};

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::stringstream text;
    if (!in || !(text << in.rdbuf())) throw traces::FileError(path + ": can't be read");
    return text.str();
}

struct ImportOptions {
    std::string format, map, types, out, dispositions;
    bool strict = false;
    std::vector<std::string> inputs;
};

int run_import(const ImportOptions& options) {
    auto* format = traces::find_format(options.format);
    auto mapping = options.map.empty() ? traces::Mapping{} : traces::load_mapping(options.map);
    auto types = parse_machine_types(read_file(options.types));
    if (options.out == options.dispositions)
        throw CLI::ValidationError("--out and --dispositions name the same file");
    OutputFile jobs(options.out), dispositions(options.dispositions);
    auto summary = traces::import(
        *format, options.inputs, mapping, types, [&](std::string_view text) { jobs.write(text); },
        [&](std::string_view text) { dispositions.write(text); });
    jobs.close();
    dispositions.close();
    std::cout << summary.json() << std::endl;
    for (auto& error : summary.input_errors) std::cerr << "weirmillctl: " << error << "\n";
    if (!summary.is_consistent()) {
        std::cerr << "weirmillctl: the counts of records and jobs are inconsistent; this is a bug "
                     "in weirmillctl\n";
        return kInternalError;
    }
    if (!summary.input_errors.empty()) return kFileError;
    return options.strict && summary.rejected_records + summary.rejected_jobs > 0 ? kFailures : kOk;
}

int run_stats(const std::string& jobs, const std::string& times, const std::string& html) {
    auto stats = traces::read_stats(jobs, times);
    if (!html.empty()) {
        OutputFile page(html);
        page.write(stats.html("Workload of " + jobs));
        page.close();
    }
    std::cout << stats.json() << std::endl;
    return kOk;
}

struct PlayArguments {
    std::vector<std::string> to;
    std::string jobs, csv, log, resume;
    double speed = 1;
    size_t in_flight = 1000;
};

int run_play(const PlayArguments& arguments) {
    traces::PlayOptions options;
    for (auto& address : arguments.to) {
        try {
            options.endpoints.push_back(Endpoint::parse(address, "--to"));
        } catch (const SettingsError& e) {
            throw CLI::ValidationError(e.what());
        }
    }
    options.speed = arguments.speed;
    options.max_in_flight = arguments.in_flight;
    options.log_path = !arguments.resume.empty() ? arguments.resume
                       : !arguments.log.empty()  ? arguments.log
                                                 : arguments.jobs + ".play";
    std::unordered_map<std::string, traces::PlayState> resumed_states;
    if (!arguments.resume.empty())
        resumed_states = traces::read_play_log(arguments.resume);
    else if (std::ifstream(options.log_path).peek() != std::ifstream::traits_type::eof())
        throw CLI::ValidationError(options.log_path +
                                   " is the log of an earlier play; resume it with --resume, or "
                                   "set another log with --log");
    traces::JobFile file(arguments.jobs);
    boost::asio::io_context run_io(1);
    traces::Player player(run_io, options, [&] { return file.next(); }, std::move(resumed_states));
    boost::asio::signal_set signals(run_io, SIGINT, SIGTERM);
    bool interrupted = false;
    signals.async_wait([&](boost::system::error_code ec, int) {
        if (ec) return;
        interrupted = true;
        player.stop();
    });
    boost::asio::steady_timer progress_timer(run_io);
    bool show_progress = ::isatty(STDERR_FILENO) == 1;
    std::function<void()> print_progress = [&] {
        progress_timer.expires_after(std::chrono::seconds(1));
        progress_timer.async_wait([&](boost::system::error_code ec) {
            if (ec) return;
            auto summary = player.summary();
            auto count = [&](traces::PlayState state) {
                return summary.by_state[static_cast<size_t>(state)];
            };
            std::cerr << "\r" << summary.jobs << " jobs: " << count(traces::PlayState::Accepted)
                      << " accepted, " << count(traces::PlayState::Done) << " done, "
                      << count(traces::PlayState::Sent) << " sent \x1b[K" << std::flush;
            print_progress();
        });
    };
    if (show_progress) print_progress();
    std::exception_ptr failure;
    boost::asio::co_spawn(run_io, player.run(), [&](std::exception_ptr e) {
        failure = e;
        progress_timer.cancel();
        signals.cancel();
    });
    run_io.run();
    if (show_progress) std::cerr << "\n";
    if (failure) std::rethrow_exception(failure);
    if (!arguments.csv.empty()) {
        OutputFile csv(arguments.csv);
        player.csv([&](const std::string& row) { csv.write(row); });
        csv.close();
    }
    auto summary = player.summary();
    std::cout << summary.json() << std::endl;
    if (interrupted)
        std::cerr << "weirmillctl: interrupted; continue with --resume " << options.log_path
                  << "\n";
    auto failures = summary.contradictions + (interrupted ? 1 : 0);
    for (auto state : {traces::PlayState::Refused, traces::PlayState::GivenUp,
                       traces::PlayState::NotSent, traces::PlayState::Lost})
        failures += summary.by_state[static_cast<size_t>(state)];
    return failures > 0 ? kFailures : kOk;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("weirmillctl: tools for the cluster scheduler");
    app.set_version_flag("--version", std::string("weirmillctl ") + WEIRMILL_VERSION);
    app.require_subcommand(1);
    app.footer("Example:\n  weirmillctl trace formats");
    auto* completion = app.add_subcommand("completion", "print a shell completion script");
    completion->footer(
        "Example:\n  weirmillctl completion bash > /etc/bash_completion.d/weirmillctl");
    std::string shell;
    completion->add_option("SHELL", shell, "bash")->required()->check(CLI::IsMember({"bash"}));
    auto* trace = app.add_subcommand("trace", "import and play published cluster traces");
    trace->require_subcommand(1);
    trace->footer(
        "Example:\n  weirmillctl trace import --format swf --types types.json --out jobs.ndjson "
        "--dispositions d.ndjson log.swf.gz");
    auto* list = trace->add_subcommand("formats", "list the trace formats that can be imported");
    list->footer("Example:\n  weirmillctl trace formats");
    auto* import = trace->add_subcommand(
        "import", "convert a trace to submissions and report the result for each record");
    import->footer(
        "Exit codes: 0 success, 1 records or jobs were rejected (only with --strict), "
        "2 usage error, 3 a file can't be read or written, 70 internal error\n"
        "Example:\n"
        "  weirmillctl trace import --format google-2011 --map map.properties --types types.json "
        "\\\n"
        "      --out jobs.ndjson.zst --dispositions d.ndjson.zst job_events/*.csv.gz "
        "task_events/*.csv.gz");
    ImportOptions import_options;
    std::vector<std::string> format_names;
    for (auto& format : traces::formats()) format_names.emplace_back(format.name);
    import
        ->add_option("--format", import_options.format,
                     "format of the trace; `trace formats` lists them")
        ->required()
        ->check(CLI::IsMember(format_names));
    import
        ->add_option("--map", import_options.map,
                     "mapping of the trace's units and names to the service's (properties file)")
        ->type_name("FILE");
    import
        ->add_option("--types", import_options.types,
                     "machine types in the JSON of the cloud API's /machine_types")
        ->required()
        ->type_name("FILE");
    import
        ->add_option(
            "--out", import_options.out,
            "output file for submissions, one JSON line each; compressed if its name ends in "
            ".zst, .gz or .xz")
        ->required()
        ->type_name("FILE");
    import
        ->add_option("--dispositions", import_options.dispositions,
                     "output file for the result of each record and job, one JSON line each")
        ->required()
        ->type_name("FILE");
    import->add_flag("--strict", import_options.strict,
                     "exit with code 1 if any record or job was rejected");
    import
        ->add_option("INPUT", import_options.inputs,
                     "trace files (plain, gzip, xz or zstd), or - for standard input")
        ->required();
    auto* stats = trace->add_subcommand(
        "stats", "show distributions of imported jobs and of the waiting times of a play");
    stats->footer(
        "Example:\n  weirmillctl trace stats jobs.ndjson --times times.csv --html load.html");
    std::string stats_jobs, stats_times, stats_html;
    stats->add_option("JOBS", stats_jobs, "output of `trace import`")
        ->required()
        ->type_name("FILE");
    stats->add_option("--times", stats_times, "CSV file that `trace play --csv` wrote")
        ->type_name("FILE");
    stats->add_option("--html", stats_html, "output file for a self-contained HTML page")
        ->type_name("FILE");
    auto* play = trace->add_subcommand(
        "play", "submit imported jobs at the times of the trace and follow them to their end");
    play->footer(
        "Exit codes: 0 every job was accepted and no answer contradicted an earlier one, "
        "1 otherwise, 2 usage error, 3 a file can't be read or written\n"
        "Ctrl-C stops the play and prints the summary so far.\n"
        "Example:\n"
        "  weirmillctl trace play --to 10.0.0.1:8080,10.0.0.2:8080 --speed 60 --csv times.csv "
        "jobs.ndjson");
    PlayArguments play_arguments;
    play->add_option("--to", play_arguments.to, "addresses of the service's nodes, IP:PORT")
        ->required()
        ->delimiter(',')
        ->allow_extra_args(false);
    play->add_option("--speed", play_arguments.speed,
                     "seconds of the trace in one second of the play")
        ->check(CLI::Range(1e-6, 1e9));
    play->add_option("--jobs-in-flight", play_arguments.in_flight,
                     "maximum number of jobs that are submitted and not finished")
        ->check(CLI::Range(size_t{1}, size_t{1000000}));
    play->add_option("--csv", play_arguments.csv, "output file for the times of every job")
        ->type_name("FILE");
    auto* log = play->add_option("--log", play_arguments.log,
                                 "log of submissions and answers (default: JOBS.play)")
                    ->type_name("FILE");
    play->add_option("--resume", play_arguments.resume, "continue an earlier play from its log")
        ->type_name("FILE")
        ->excludes(log);
    play->add_option("JOBS", play_arguments.jobs, "output of `trace import`")
        ->required()
        ->type_name("FILE");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? kOk : kUsageError;
    }
    try {
        if (*completion) {
            std::cout << tools::bash_completion(app, "weirmillctl", {{"--format", format_names}});
            return kOk;
        }
        if (*list) {
            for (auto& format : traces::formats())
                std::cout << format.name << "\t" << format.title << "\t" << format.inputs << "\n";
            return kOk;
        }
        if (*stats) return run_stats(stats_jobs, stats_times, stats_html);
        return *play ? run_play(play_arguments) : run_import(import_options);
    } catch (const traces::FileError& e) {
        std::cerr << "weirmillctl: " << e.what() << "\n";
        return kFileError;
    } catch (const BadMessage& e) {
        std::cerr << "weirmillctl: " << import_options.types << ": " << e.what() << "\n";
        return kFileError;
    } catch (const CLI::ValidationError& e) {
        std::cerr << "weirmillctl: " << e.what() << "\n";
        return kUsageError;
    } catch (const traces::MappingError& e) {
        std::cerr << "weirmillctl: " << e.what() << "\n";
        return kUsageError;
    } catch (const traces::ScriptError& e) {
        std::cerr << "weirmillctl: " << e.what() << "\n";
        return kUsageError;
    } catch (const std::exception& e) {
        std::cerr << "weirmillctl: " << e.what() << "\n";
        return kFileError;
    }
}
