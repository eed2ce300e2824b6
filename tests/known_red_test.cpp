// What KNOWN-RED.txt may hold (.ci/known-red), as a table of lists.
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>

namespace weirmill {
namespace {

struct Ran {
    int status;
    std::string out;
};

Ran run(const std::string& call) {
    Ran ran{-1, ""};
    auto* pipe = popen(("{ " + call + "; } 2>&1").c_str(), "r");
    if (!pipe) return ran;
    std::array<char, 4096> bytes;
    while (size_t n = std::fread(bytes.data(), 1, bytes.size(), pipe))
        ran.out.append(bytes.data(), n);
    ran.status = pclose(pipe) >> 8;
    return ran;
}

TEST(KnownRed, ListsAFewTestsWithCauseAndIssueAndNothingElse) {
    const std::string names =
        "A.One\\nA.Two\\nLinks/Every.Cut/1-byte object <01>\\nB.Three\\nB.Four";
    struct Row {
        const char* list;
        int status;
        std::string out;  // all of it, or of a refusal some
    };
    const Row rows[] = {
        {"", 0, ""},
        {"# none today\n\n", 0, ""},
        {"A.One | a stop is lost | issue 34\n", 0, "A.One\n"},
        {"  A.Two|late|issue 7  \nLinks/Every.Cut/1-byte object <01> | a cut | issue 12", 0,
         "A.Two\nLinks/Every.Cut/1-byte object <01>\n"},
        {"A.One | x | issue 1\nA.Two | x | issue 1\nB.Three | x | issue 1\n", 0,
         "A.One\nA.Two\nB.Three\n"},
        {"A.One | x | issue 1\nA.Two | x | issue 1\nB.Three | x | issue 1\nB.Four | x | issue 1\n",
         1, "more than three"},
        {"A.Nobody | x | issue 1\n", 1, "no test has the name A.Nobody"},
        {"A.On | x | issue 1\n", 1, "no test has the name A.On"},
        {"A.One\n", 1, "not TEST | cause | issue N"},
        {"A.One | x\n", 1, "not TEST | cause | issue N"},
        {"A.One | | issue 1\n", 1, "not TEST | cause | issue N"},
        {" | x | issue 1\n", 1, "not TEST | cause | issue N"},
        {"A.One | x | soon\n", 1, "not TEST | cause | issue N"},
        {"A.One | x | issue 1 | y\n", 1, "not TEST | cause | issue N"},
        {"A.One | x | issue 1\nA.One | y | issue 2\n", 1, "listed twice: A.One"},
    };
    auto file = std::filesystem::temp_directory_path() /
                ("known-red-" + std::to_string(std::hash<std::string>()(testing::TempDir())) + "-" +
                 std::to_string(static_cast<long>(getpid())));
    const std::string script = WEIRMILL_SOURCE "/.ci/known-red";
    for (auto& row : rows) {
        std::ofstream(file) << row.list;
        auto ran = run("printf '" + names + "' | bash " + script + " " + file.string());
        EXPECT_EQ(ran.status, row.status) << row.list << ran.out;
        if (row.status == 0)
            EXPECT_EQ(ran.out, row.out) << row.list;
        else
            EXPECT_NE(ran.out.find(row.out), std::string::npos) << row.list << ran.out;
    }
    std::filesystem::remove(file);
    auto none = run("printf '" + names + "' | bash " + script + " " + file.string());
    EXPECT_EQ(none.status, 0);
    EXPECT_EQ(none.out, "");
}

}  // namespace
}  // namespace weirmill
