// libFuzzer on the import of one format: whatever the bytes, every record is told of once, and the
// account holds.
//
//   cmake -S . -B target/fuzz -DCMAKE_CXX_COMPILER=clang++-14 -DWEIRMILL_FUZZ=ON
//   -DWEIRMILL_TESTS=OFF cmake --build target/fuzz --target trace_fuzz WEIRMILL_SAMPLES_TO=corpus
//   target/ci/weirmill_tests --gtest_filter='Traces.EveryRecord*' WEIRMILL_FUZZ_FORMAT=swf
//   target/fuzz/trace_fuzz -max_total_time=600 corpus/swf
//
// The input is one file, or several with the byte 0x1e between them.
#include <sys/mman.h>
#include <unistd.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "traces/import.h"

using namespace weirmill;
using namespace weirmill::traces;

namespace {

uint64_t lines_of(std::string_view text, std::string_view start) {
    uint64_t n = 0;
    for (size_t at = 0; at < text.size(); at = text.find('\n', at) + 1)
        n += text.substr(at).starts_with(start);
    return n;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
    static const Format* format = [] {
        auto* name = std::getenv("WEIRMILL_FUZZ_FORMAT");
        auto* f = name ? find_format(name) : nullptr;
        if (!f) std::abort();
        return f;
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
    std::string jobs, adoption_recorded;
    auto account = import(
        *format, paths, Map{}, types, [&](std::string_view t) { jobs += t; },
        [&](std::string_view t) { adoption_recorded += t; });
    for (int fd : files) ::close(fd);
    if (!account.holds() || lines_of(adoption_recorded, "{\"record\":") != account.records ||
        lines_of(adoption_recorded, "{\"job\":") != account.accepted_jobs + account.rejected_jobs ||
        lines_of(jobs, "{\"at_s\":") != account.accepted_jobs)
        std::abort();
    return 0;
}
