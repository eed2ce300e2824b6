// libFuzzer target for the import of one format. For any input, every record must have exactly one
// disposition, and the counts of the summary must match the output.
//
//   cmake -S . -B target/fuzz -DCMAKE_CXX_COMPILER=clang++-14 -DWEIRMILL_FUZZ=ON \
//       -DWEIRMILL_TESTS=OFF
//   cmake --build target/fuzz --target trace_fuzz
//   WEIRMILL_SAMPLES_TO=corpus target/ci/weirmill_tests --gtest_filter='TraceImport.EveryRecord*'
//   WEIRMILL_FUZZ_FORMAT=swf target/fuzz/trace_fuzz -max_total_time=600 corpus/swf
//
// The fuzzer's input is one file, or up to four files that are separated by the byte 0x1e.
#include <sys/mman.h>
#include <unistd.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "traces/import.h"

using namespace weirmill;
using namespace weirmill::traces;

namespace {

uint64_t count_lines(std::string_view text, std::string_view prefix) {
    uint64_t count = 0;
    for (size_t begin = 0; begin < text.size(); begin = text.find('\n', begin) + 1)
        count += text.substr(begin).starts_with(prefix);
    return count;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
    static const Format* format = [] {
        auto* name = std::getenv("WEIRMILL_FUZZ_FORMAT");
        auto* named_format = name ? find_format(name) : nullptr;
        if (!named_format) std::abort();
        return named_format;
    }();
    static const std::vector<MachineType> types{
        {"c16", {16000, 0, 64000}, 50, 1, 1, 1, 30, {"a"}},
        {"g8", {96000, 8000, 768000}, 200, 1, 12, 4, 45, {"a"}}};
    std::string_view rest(reinterpret_cast<const char*>(data), size);
    std::vector<int> files;
    std::vector<std::string> paths;
    for (bool more = true; more && files.size() < 4;) {
        auto end = rest.find('\x1e');
        more = end != std::string_view::npos;
        auto part = rest.substr(0, end);
        rest.remove_prefix(more ? end + 1 : rest.size());
        int fd = ::memfd_create("input", 0);
        if (fd < 0 || ::write(fd, part.data(), part.size()) != static_cast<ssize_t>(part.size()))
            std::abort();
        files.push_back(fd);
        paths.push_back("/proc/self/fd/" + std::to_string(fd));
    }
    std::string jobs, dispositions;
    auto summary = import(
        *format, paths, Mapping{}, types, [&](std::string_view text) { jobs += text; },
        [&](std::string_view text) { dispositions += text; });
    for (int fd : files) ::close(fd);
    if (!summary.is_consistent() || count_lines(dispositions, "{\"record\":") != summary.records ||
        count_lines(dispositions, "{\"job\":") != summary.accepted_jobs + summary.rejected_jobs ||
        count_lines(jobs, "{\"at_s\":") != summary.accepted_jobs)
        std::abort();
    return 0;
}
