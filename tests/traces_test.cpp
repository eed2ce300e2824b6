// Tests of the trace import. The samples of each format contain the irregularities that published
// traces have. Each case lists the expected result of every record and every job.
#include <gtest/gtest.h>

#include <boost/iostreams/filter/gzip.hpp>
#include <boost/iostreams/filter/lzma.hpp>
#include <boost/iostreams/filter/zstd.hpp>
#include <boost/iostreams/filtering_stream.hpp>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

#include "protocol/cloud_codec.h"
#include "protocol/user_codec.h"
#include "traces/import.h"

namespace weirmill::traces {
namespace {

namespace io = boost::iostreams;
namespace json = boost::json;

// A temporary folder that is removed at the end of the test.
struct TemporaryFolder {
    std::filesystem::path path;
    TemporaryFolder() {
        auto pattern = (std::filesystem::temp_directory_path() / "weirmill-traces-XXXXXX").string();
        path = ::mkdtemp(pattern.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
    std::string file(const std::string& name, const std::string& bytes) const {
        std::ofstream(path / name, std::ios::binary) << bytes;
        return (path / name).string();
    }
};

struct Imported {
    ImportSummary summary;
    std::string jobs, dispositions;
    // The result of each record and job in the order of the dispositions. Records: "a:1>J" was
    // merged into job J, "a:2!code" was rejected. Jobs: "J=req-1" was accepted, "J!code" was
    // rejected.
    std::string outcomes;
    // Each submission in short form: "id@time [gang] tasks x cores/gpus/mem run time, team,
    // urgency, class, <dependency".
    std::string submissions;
};

std::vector<MachineType> types() {
    return {{"c16", {16000, 0, 64000}, 50, 1, 1, 1, 30, {"a"}},
            {"g8", {96000, 8000, 768000}, 200, 1, 12, 4, 45, {"a"}}};
}

Imported import_files(const std::string& format, const std::vector<std::string>& paths,
                      const Mapping& mapping = {}) {
    Imported out;
    out.summary = import(
        *find_format(format), paths, mapping, types(),
        [&](std::string_view text) { out.jobs += text; },
        [&](std::string_view text) { out.dispositions += text; });
    std::set<std::string> records, keys;
    std::stringstream lines(out.dispositions);
    for (std::string line; std::getline(lines, line);) {
        auto value = json::parse(line);
        auto& object = value.as_object();
        auto text = [&](const char* name) { return std::string(object.at(name).as_string()); };
        std::string outcome;
        if (auto* record = object.if_contains("record")) {
            auto file = std::filesystem::path(std::string(record->at("file").as_string()))
                            .filename()
                            .string();
            outcome = file + ":" + std::to_string(record->at("line").to_number<int64_t>());
            if (auto* element = record->as_object().if_contains("element"))
                outcome += "#" + std::to_string(element->as_int64());
            EXPECT_TRUE(records.insert(outcome).second) << outcome << " has two dispositions";
            for (auto* target : {"job", "group", "machine"})
                if (text("is") == "merged" && object.contains(target))
                    outcome += ">" + text(target);
        } else {
            outcome = text("job");
            EXPECT_TRUE(keys.insert(outcome).second)
                << "job " << outcome << " has two dispositions";
            if (text("is") == "accepted") outcome += "=" + text("id");
        }
        if (text("is") == "rejected") {
            EXPECT_FALSE(text("why").empty());
            outcome += "!" + text("reason");
        }
        out.outcomes += (out.outcomes.empty() ? "" : " ") + outcome;
    }
    // The number of lines matches the summary, and each submission can be parsed.
    auto& summary = out.summary;
    EXPECT_TRUE(summary.is_consistent());
    EXPECT_EQ(records.size(), summary.records);
    EXPECT_EQ(keys.size(), summary.accepted_jobs + summary.rejected_jobs);
    std::stringstream jobs(out.jobs);
    uint64_t accepted = 0;
    for (std::string line; std::getline(jobs, line); ++accepted) {
        auto value = json::parse(line);
        Names names;
        names.teams.intern(value.at("submission").at("consignor").as_string());
        auto spec = parse_submission(value.at("submission"), names);
        std::ostringstream text;
        text << spec.id << "@" << value.at("at_s").to_number<double>() << " "
             << (spec.kind == JobKind::Gang ? "gang " : "") << spec.tasks << "x"
             << static_cast<double>(spec.demand.cpu) / 1000 << "/"
             << static_cast<double>(spec.demand.gpu) / 1000 << "/"
             << static_cast<double>(spec.demand.mem) / 1000 << " " << spec.estimate_s << "s "
             << names.teams.name(spec.team) << " "
             << value.at("submission").at("urgency").as_string().c_str() << " "
             << names.classes.name(spec.job_class);
        for (auto& dependency : spec.dependencies) text << " <" << dependency;
        out.submissions += text.str() + "\n";
    }
    EXPECT_EQ(accepted, summary.accepted_jobs);
    return out;
}

Imported import_texts(const std::string& format, const std::vector<std::string>& texts,
                      const Mapping& mapping = {}) {
    TemporaryFolder folder;
    std::vector<std::string> paths;
    for (auto& text : texts)
        paths.push_back(folder.file(std::string(1, static_cast<char>('a' + paths.size())), text));
    return import_files(format, paths, mapping);
}

struct Case {
    const char* name;
    const char* format;
    std::vector<std::string> texts;
    const char* outcomes;
};

const Case kCases[] = {
    {"swf: comments, CRLF, no final newline, no run time, negative run time, duplicates",
     "swf",
     {"; Version: 2.2\r\n\r\n1 0 5 100 4 -1 -1 4 200 -1 1 1 1 1 1 1 -1 -1\r\n"
      "2 9 5 -1 1 -1 -1 1 -1 -1 1 1 1 1 1 1 -1 -1\r\n3 9 5 -7 1 -1 -1 1 -1 -1 1 1 1 1 1 1 -1 -1\r\n"
      "1 9 5 10 1 -1 -1 1 -1 -1 1 1 1 1 1 1 -1 -1\n4 9 5 -1 1 -1 -1 1 50 -1 1 1 1 1 1 1 -1 -1"},
     "a:3>1 1=req-1 a:4>2 2!no_end a:5>3 3!end_before_start a:6!duplicate_job a:7>4 4=req-4"},
    {"swf: too few fields, not numbers, overflow, NaN, negative numbers, no task, too many tasks, "
     "dependencies that were not accepted, a cycle",
     "swf",
     {"1 0 5 100\nx 0 5 10 4 -1 -1 4 9 -1 1 1 1 1 1 1 -1 -1\n2 0 5 1e999 4 -1 -1 4 9 -1 1 1 1 1 1 "
      "1 -1 -1\n"
      "3 nan 5 10 4 -1 -1 4 9 -1 1 1 1 1 1 1 -1 -1\n4 -9 5 10 4 -1 -1 4 9 -1 1 1 1 1 1 1 -1 -1\n"
      "99999999999999999999 0 5 10 4 -1 -1 4 9 -1 1 1 1 1 1 1 -1 -1\n5 0 5 10 -4 -1 -1 4 9 -1 1 1 "
      "1 1 1 1 -1 "
      "-1\n"
      "6 0 5 10 -1 -1 -1 -1 9 -1 1 1 1 1 1 1 -1 -1\n7 0 5 10 99999999 -1 -1 -1 9 -1 1 1 1 1 1 1 -1 "
      "-1\n"
      "8 0 5 10 1 -1 -1 1 9 -1 1 1 1 1 1 1 7 -1\n9 0 5 10 1 -1 -1 1 9 -1 1 1 1 1 1 1 9 -1\n"
      "10 0 5 10 1 -1 -1 1 9 999999999999 1 1 1 1 1 1 -1 -1\n"},
     "a:1!bad_columns a:2!bad_number a:3!bad_number a:4!bad_number a:5!negative a:6!bad_number "
     "a:7!negative "
     "a:8>6 "
     "6!no_task a:9>7 7!too_many_tasks a:10>8 8!awaits_unknown a:11>9 9!cycle a:12>10 10!no_fit"},
    {"swf: times that are a second or a day too early, and two files that are merged",
     "swf",
     {"1 90000 0 9 1 -1 -1 1 9 -1 1 1 1 1 1 1 -1 -1\n2 89999 0 9 1 -1 -1 1 9 -1 1 1 1 1 1 1 -1 -1\n"
      "3 3600 0 9 1 -1 -1 1 9 -1 1 1 1 1 1 1 -1 -1\n",
      "4 89990 0 9 1 -1 -1 1 9 -1 1 1 1 1 1 1 -1 -1\n5 90010 0 9 1 -1 -1 1 9 -1 1 1 1 1 1 1 -1 "
      "-1\n"},
     "b:1>4 4=req-4 a:1>1 1=req-1 a:2>2 2=req-2 a:3!time_backwards b:2>5 5=req-5"},
    {"google-2011: machines that are undeclared, duplicate or removed; unknown jobs, no task, "
     "events "
     "after the end of the job",
     "google-2011",
     {"0,m1,0,p,0.5,0.2\n0,m1,0,p,0.5,0.2\n7000000,m1,1,,,\n8000000,m2,1,,,\n9000000,m1,9,,,\n",
      "1000000,,1,0,u,2,n,l\n1000000,,1,0,u,2,n,l\n2000000,,2,0,u,2,n,l\n3000000,,2,5,u,2,n,l\n"
      "9000000,,1,4,u,2,n,l\n20000000,,1,4,u,2,n,l\n",
      "1000000,,1,0,,0,u,2,9,0.5,0.1,0,0\n1000000,,1,0,,0,u,2,9,0.5,0.1,0,0\n2000000,,1,0,m1,1,u,2,"
      "9,0.5,0.1,"
      "0,0\n"
      "3000000,,7,0,,0,u,2,9,0.5,0.1,0,0\n4000000,,1,3,m9,1,u,2,9,0.5,0.1,0,0\n9000000,,1,0,m1,4,u,"
      "2,9,0.5,0."
      "1,0,0\n"
      "9500000,,1,0,m1,4,u,2,9,0.5,0.1,0,0\n30000000,,1,0,m1,0,u,2,9,0.5,0.1,0,0\n"},
     "a:1>m1 a:2!machine_twice b:1>1 b:2!duplicate_job c:1>1 c:2!duplicate_task b:3>2 c:3>1 b:4>2 "
     "c:4!unknown_job "
     "c:5!unknown_task 2!no_task a:3>m1 a:4!machine_unknown a:5!bad_event b:5>1 c:6>1 "
     "c:7!after_end 1=req-1 "
     "b:6!after_end c:8!after_end"},
    {"google-2011: quoted commas, unclosed quotes, empty and bad fields, a job without an end, the "
     "time after the trace, a header",
     "google-2011",
     {"time,missing info,job ID,event type,user,scheduling class,job name,logical job name\n"
      "0,,1,0,\"a,b\",2,n,l\n1,,1,1,\"open,2,n,l\n2,,,0,u,2,n,l\n3,,2,0,u,2,n\n4,,2,0,u,-2,n,l\n"
      "9223372036854775807,,1,4,u,2,n,l\n",
      "1,,1,0,,0,u,2,9,,,,\n5000000,,1,0,m,1,u,2,9,,,,\n"},
     "a:2>1 a:3!bad_columns b:1>1 a:4!empty_field a:5!bad_columns a:6!negative b:2>1 a:7>1 "
     "1!no_end"},
    {"google-2019: collections, alloc sets, dependencies, invalid lines",
     "google-2019",
     {"{\"time\":\"0\",\"type\":\"ADD\",\"machine_id\":\"7\",\"capacity\":{\"cpus\":1}}\n"
      "{\"time\":\"1000000\",\"type\":0,\"collection_id\":\"11\",\"collection_type\":\"JOB\","
      "\"user\":\"u\","
      "\"priority\":200}\n"
      "{\"time\":1000000,\"type\":\"SUBMIT\",\"collection_id\":11,\"instance_index\":0,\"resource_"
      "request\":{"
      "\"cpus\":0.5,\"memory\":0.25}}\n"
      "{\"time\":2000000,\"type\":\"SCHEDULE\",\"collection_id\":11,\"instance_index\":0,\"machine_"
      "id\":"
      "\"8\"}\n"
      "{\"time\":2000000,\"type\":\"SUBMIT\",\"collection_id\":12,\"collection_type\":1}\n"
      "{\"time\":2500000,\"type\":\"SUBMIT\",\"collection_id\":13,\"start_after_collection_ids\":["
      "\"11\"]}\n"
      "{\"time\":12000000,\"type\":\"FINISH\",\"collection_id\":\"11\",\"instance_index\":0}\n"
      "{\"time\":12000000,\"type\":6,\"collection_id\":\"11\"}\n{\"time\":13000000\n[]\n{\"time\":"
      "13000000,"
      "\"type\":77,\"collection_id\":\"13\"}\n"
      "{\"time\":13000000,\"type\":0,\"collection_id\":\"13\",\"instance_index\":4}\n"
      "{\"time\":13000000,\"type\":3,\"collection_id\":\"13\",\"instance_index\":4}\n"
      "{\"time\":14000000,\"type\":7,\"collection_id\":\"13\"}"},
     "a:1>7 a:2>11 a:3>11 a:4>11 a:5>12 a:6>13 a:7>11 a:8>11 a:9!bad_json a:10!bad_json "
     "a:11!bad_event "
     "a:12>13 11=req-11 a:13>13 a:14>13 13=req-13 12!reservation"},
    {"alibaba-2018: a DAG, a cycle, the file of instances given first, unknown jobs, no instances, "
     "no end",
     "alibaba-2018",
     {"i1,M1,j_1,1,Terminated,10,40,m_1,1,1,5,9,0.1,0.2\ni2,M1,j_1,1,Terminated,50,20,m_1,1,1,5,9,"
      "0.1,0.2\n"
      "i3,M9,j_9,1,Terminated,10,40,m_1,1,1,5,9,0.1,0.2\n",
      "R2_1,1,j_1,1,Terminated,40,60,100,0.5\nM1,2,j_1,1,Terminated,10,40,50,0.4\n"
      "J3_1_2,1,j_1,1,Terminated,60,80,100,0.5\nM1_2,1,j_2,1,Terminated,1,2,100,0.5\nR2_1,1,j_2,1,"
      "Terminated,"
      "1,2,100,0.5\n"
      "R4_3,1,j_1,1,Terminated,1,2,100,0.5\nM5_7,1,j_1,1,Terminated,1,2,100,0.5\ntask_xyz,0,j_3,1,"
      "Terminated,"
      "1,2,100,0.5\n"
      "M1,1,j_4,1,Running,7,0,100,0.5\nM1,1,j_4,1,Running,7,0,100,0.5\nM1,1,j_5,1,Failed,9,3,100,0."
      "5\n",
      "m_1,0,1,2,96,100,USING\nm_1,0,1,2,96,100,USING\nm_1,60,1,2,96,100,USING\n"},
     "c:1>m_1 c:2!machine_twice c:3>m_1 b:1>j_1/2 b:2>j_1/1 b:3>j_1/3 b:4>j_2/1 b:5>j_2/2 "
     "b:6>j_1/4 "
     "b:7>j_1/5 "
     "b:8>j_3/task_xyz b:9>j_4/1 b:10!duplicate_job b:11>j_5/1 a:1>j_1/1 a:2>j_1/1 a:3!unknown_job "
     "j_1/1=req-1 "
     "j_3/task_xyz!no_task j_4/1!no_end j_5/1!end_before_start j_1/2=req-2 j_1/5!awaits_unknown "
     "j_1/3=req-3 "
     "j_1/4=req-4 j_2/1!cycle j_2/2!cycle"},
    {"alibaba-gpu-2020: roles as jobs, owners in another table, a job that fits no machine type",
     "alibaba-gpu-2020",
     {"j1,x,usr,Terminated,5,100\nj1,x,usr,Terminated,5,100\nj9,x,usr,Terminated,5,100\n",
      "j1,ps,1,Terminated,10,100,200,8,,\nj1,worker,4,Terminated,10,100,600,29.5,50,V100\n"
      "j2,worker,1,Terminated,10,100,600,29.5,1600,V100\nj3,worker,2,Terminated,,,600,29.5,100,"
      "T4\n",
      "j1,worker,i1,w1,x,Terminated,20,95,m1\nj3,worker,i1,w1,x,Terminated,20,95,m1\nj1,evaluator,"
      "i1,w1,x,"
      "Terminated,20,95,m1\n"},
     "b:1>j1/ps b:2>j1/worker b:3>j2/worker b:4>j3/worker a:1>j1 a:2!duplicate_job a:3!unknown_job "
     "c:1>j1/worker "
     "c:2>j3/worker c:3!unknown_job j1/ps=req-1 j1/worker=req-2 j2/worker!no_fit "
     "j3/worker!no_time"},
    // Found by the fuzzer: the message of the rejection contained the count, which overflowed every
    // integer type.
    {"alibaba-gpu-2020: counts and times beyond the range of integers",
     "alibaba-gpu-2020",
     {"j1,ps,1e18,Terminated,10,100,200,8,,\nj1,x,1e67,Terminated,10,100,200,8,,\nj1,y,1,"
      "Terminated,1e18,"
      "1e18,200,8,,\n"},
     "a:1>j1/ps a:2!bad_number a:3>j1/y j1/ps!too_many_tasks j1/y=req-1"},
    {"philly: an array on several lines, attempts, no attempts, null times, braces in strings, a "
     "truncated object",
     "philly",
     {"[\n{\"status\":\"Pass\",\"vc\":\"v1\",\"jobid\":\"application_1\",\"attempts\":[\n "
      "{\"start_time\":\"2017-10-09 07:01:54\","
      "\"end_time\":\"2017-10-09 "
      "07:02:54\",\"detail\":[{\"ip\":\"m1\",\"gpus\":[\"gpu0\",\"gpu1\"]},{\"ip\":\"m2\",\"gpus\":"
      "[\"gpu0\","
      "\"gpu1\"]}]}],\n"
      "\"submitted_time\":\"2017-10-09 07:01:49\",\"user\":\"u}\\\"{\"},\n"
      "{\"status\":\"Killed\",\"vc\":\"v1\",\"jobid\":\"application_2\",\"attempts\":[],"
      "\"submitted_time\":"
      "\"2017-10-09 07:01:50\",\"user\":\"u\"},\n"
      "{\"status\":\"Killed\",\"vc\":\"v1\",\"jobid\":\"application_3\",\"attempts\":[{\"start_"
      "time\":\"2017-"
      "10-09 07:01:54\",\"end_time\":null,"
      "\"detail\":[{\"ip\":\"m1\",\"gpus\":[\"gpu0\"]}]}],\"submitted_time\":\"2017-10-09 "
      "07:01:50\",\"user\":\"u\"}, "
      "{\"jobid\":\"application_4\",\"submitted_time\":\"2017-13-09 "
      "07:01:50\"},{\"jobid\":\"application_5\",\"submitted_time\":null},\n"
      "{\"jobid\":\"application_6\""},
     "a:2#1>application_1 application_1=req-1 a:5#2>application_2 application_2!no_task "
     "a:6#3>application_3 "
     "application_3!no_end a:6#4!bad_number a:6#5>application_5 application_5!no_task "
     "a:7#6!input_cut"},
    {"philly: elements that are not objects",
     "philly",
     {"[ 5, \"x{\", null,\n{\"jobid\":\"j\"}]"},
     "a:1#1!bad_json a:1#2!bad_json a:1#3!bad_json a:2#4>j j!no_task"},
    {"azure-vm: rows, a header, an empty field, an end before the start, invalid UTF-8",
     "azure-vm",
     {"vmid,subscriptionid,deploymentid,vmcreated,vmdeleted,maxcpu,avgcpu,p95maxcpu,vmcategory,"
      "vmcorecount,"
      "vmmemory\n"
      "v1,s,d,0,300,99,3.4,10,Interactive,2,3.5\nv2,s,d,300,0,99,3.4,10,Delay-insensitive,2,3.5\n"
      "v3,s,d,0,300,99,3.4,10,Interactive,,3.5\nv\xff,s,d,0,300,99,3.4,10,Interactive,2,3.5\n"
      "v4,s,d,0,,99,3.4,10,Interactive,2,3.5\nv5,s,d,0,300,99,3.4,10,Interactive,2,3.5"},
     "a:2>v1 v1=req-1 a:3>v2 v2!end_before_start a:4!empty_field a:5!not_utf8 a:6>v4 v4!no_end "
     "a:7>v5 "
     "v5=req-2"},
};

TEST(TraceImport, EveryRecordAndJobHasOneDisposition) {
    for (auto& sample : kCases)
        EXPECT_EQ(import_texts(sample.format, sample.texts).outcomes, sample.outcomes)
            << sample.name;
    // Writes the samples as a seed corpus for bench/trace_fuzz.cpp.
    auto* corpus = std::getenv("WEIRMILL_SAMPLES_TO");
    if (!corpus) return;
    int file_number = 0;
    for (auto& sample : kCases) {
        auto folder = std::filesystem::path(corpus) / sample.format;
        std::filesystem::create_directories(folder);
        std::ofstream out(folder / std::to_string(file_number++), std::ios::binary);
        for (size_t i = 0; i < sample.texts.size(); ++i)
            out << (i ? "\x1e" : "") << sample.texts[i];
    }
}

TEST(TraceImport, SubmissionsFollowTheMapping) {
    // The mapping's units, teams, urgencies and classes; the run time of the longest task;
    // processors that are grouped into tasks.
    Mapping mapping;
    mapping.cores_per_unit = 32;
    mapping.mem_gb_per_unit = 100;
    mapping.team.by_value = {{"u", "red"}};
    mapping.urgency_thresholds = {{0, "low"}, {9, "high"}};
    mapping.job_class.by_value = {{"2", "batch"}};
    auto google =
        import_texts("google-2011",
                     {"1000000,,1,0,u,2,n,l\n9000000,,1,4,u,2,n,l\n",
                      "1000000,,1,0,,0,u,2,9,0.25,0.1,0,0\n1000000,,1,1,,0,u,2,9,0.5,0.1,0,0\n"
                      "2000000,,1,0,m1,1,u,2,9,0.25,0.1,0,0\n3000000,,1,1,m1,1,u,2,9,0.25,0.1,0,0\n"
                      "4000000,,1,0,m1,4,u,2,9,0.25,0.1,0,0\n"},
                     mapping);
    EXPECT_EQ(google.submissions, "req-1@1 2x16/0/10 6s red high batch\n") << google.outcomes;

    auto swf = import_texts("swf", {"1 0 5 100 -1 -1 -1 100 200 1048576 1 7 1 1 1 1 -1 -1\n"
                                    "2 1 5 100 -1 -1 -1 200 200 -1 1 7 1 1 1 1 1 -1\n"});
    EXPECT_EQ(
        swf.submissions,
        "req-1@0 gang 2x50/0/50 100s trace normal trace\nreq-2@1 gang 3x67/0/67 100s trace normal "
        "trace <req-1\n");

    auto gpus = import_texts(
        "alibaba-gpu-2020",
        {"j1,worker,4,Terminated,10,100,600,29.5,50,V100\n", "j1,x,usr,Terminated,5,100\n"});
    EXPECT_EQ(gpus.submissions, "req-1@5 gang 4x6/0.5/29.5 90s trace normal trace\n");
}

TEST(TraceImport, RecoversFromATimeFarInTheFuture) {
    std::string text =
        "1 100 0 9 1 -1 -1 1 9 -1 1 1 1 1 1 1 -1 -1\n2 999999999 0 9 1 -1 -1 1 9 -1 1 1 1 1 1 1 -1 "
        "-1\n";
    for (int i = 3; i < 100; ++i)
        text += std::to_string(i) + " " + std::to_string(100 + i) +
                " 0 9 1 -1 -1 1 9 -1 1 1 1 1 1 1 -1 -1\n";
    auto imported = import_texts("swf", {text});
    EXPECT_EQ(imported.summary.reasons["time_backwards"],
              static_cast<uint64_t>(Assembler::kRejectionsBeforeResync));
    EXPECT_EQ(imported.summary.accepted_jobs, 99u - Assembler::kRejectionsBeforeResync);
    EXPECT_EQ(imported.summary.counters.time_resyncs, 1u);
}

template <class Filter>
std::string compressed(const std::string& text) {
    std::string out;
    io::filtering_ostream stream;
    stream.push(Filter());
    stream.push(io::back_inserter(out));
    stream << text;
    stream.reset();
    return out;
}

TEST(TraceImport, ReadsPlainCompressedAndTruncatedInputs) {
    std::string text;
    std::mt19937 random(5);  // a regular text would compress to a few bytes
    for (int i = 1; i <= 20000; ++i)
        text += std::to_string(i) + " 0 5 " + std::to_string(random() % 100000) +
                " 1 -1 -1 1 9 -1 1 1 1 1 1 1 -1 -1\n";
    auto plain = import_texts("swf", {text});
    EXPECT_EQ(plain.summary.accepted_jobs, 20000u);
    for (auto& bytes :
         {compressed<io::gzip_compressor>(text), compressed<io::lzma_compressor>(text),
          compressed<io::zstd_compressor>(text)}) {
        auto imported = import_texts("swf", {bytes});
        EXPECT_EQ(imported.jobs, plain.jobs);
        EXPECT_TRUE(imported.summary.input_errors.empty());
        // Of a truncated input, the readable records are imported and the truncation is reported.
        // The last record must not be mistaken for a complete one.
        for (size_t keep : {bytes.size() / 3, bytes.size() - 1}) {
            auto truncated = import_texts("swf", {bytes.substr(0, keep)});
            EXPECT_EQ(truncated.summary.input_errors.size(), 1u) << keep << " of " << bytes.size();
            EXPECT_LE(truncated.summary.accepted_jobs, 20000u);
            EXPECT_LE(truncated.summary.reasons["input_cut"], 1u);
            EXPECT_EQ(truncated.jobs, plain.jobs.substr(0, truncated.jobs.size()));
        }
    }
    EXPECT_THROW(import_files("swf", {"/nonexistent/log"}), FileError);
}

TEST(TraceImport, RejectsALineOf100Megabytes) {
    TemporaryFolder folder;
    std::string line = "1 0 5 100 4 -1 -1 4 200 -1 1 1 1 1 1 1 -1 -1\n";
    auto path = folder.file("long", std::string(100'000'000, '7') + "\n" + line);
    auto imported = import_files("swf", {path});
    EXPECT_EQ(imported.outcomes, "long:1!line_too_long long:2>1 1=req-1");
}

TEST(TraceImport, ValidatesTheMapping) {
    TemporaryFolder folder;
    auto mapping = load_mapping(
        folder.file("m",
                    "unit.cores = 32\nteam.from = group\nteam.a.b = red\nteam.default = blue\n"
                    "urgency.at.9 = high\nurgency.at.2 = low\nloaners = true\nscript = s.lua\n"));
    EXPECT_EQ(mapping.cores_per_unit, 32);
    EXPECT_EQ(mapping.team.by_value.at("a.b"), "red");
    EXPECT_EQ(mapping.urgency_thresholds.front().first, 2);
    EXPECT_EQ(mapping.script, (folder.path / "s.lua").string());
    for (auto* invalid : {"unit.core = 1", "unit.cores = x", "unit.cores = -1", "team.from = city",
                          "urgency.7 = now", "urgency.at.x = low", "loaners = 1"})
        EXPECT_THROW(load_mapping(folder.file("w", invalid)), MappingError) << invalid;
    EXPECT_THROW(load_mapping("/nonexistent"), MappingError);
}

TEST(TraceImport, ScriptsChangeOrRejectJobsWithinLimits) {
    const std::string log =
        "1 0 5 100 4 -1 -1 4 200 -1 1 1 1 1 1 1 -1 -1\n2 0 5 900 4 -1 -1 4 200 -1 1 2 1 1 1 1 -1 "
        "-1\n";
    struct Row {
        const char* script;
        const char* outcomes;
    };
    const Row rows[] = {
        {"function job(j) if j.user == '2' then return nil, 'not wanted' end j.urgency = 'high' "
         "return j end",
         "a:1>1 1=req-1 a:2>2 2!script"},
        {"function job(j) if j.run_s > 500 then while true do end end return j end",
         "a:1>1 1=req-1 a:2>2 2!script_failed"},
        // After a job that ran out of memory, the script works for the next job.
        {"function job(j) if j.key == '1' then local t = {} for i = 1, 1e9 do t[i] = ('x'):upper() "
         ".. i .. "
         "j.key end end "
         "return j end",
         "a:1>1 1!script_failed a:2>2 2=req-2"},
        {"function job(j) local s = 'xxxxxxxxxxxxxxxx' for i = 1, 40 do s = s .. s end return j "
         "end",
         "a:1>1 1!script_failed a:2>2 2!script_failed"},
        {"function job(j) j.tasks = 0/0 return j end", "a:1>1 1!no_task a:2>2 2!no_task"},
        {"function job(j) j.cores = 1e300 return j end", "a:1>1 1!no_fit a:2>2 2!no_fit"},
        {"function job(j) return setmetatable({}, {__index = function() error('no') end}) end",
         "a:1>1 1!no_task a:2>2 2!no_task"},
        {"function job(j) return 7 end", "a:1>1 1!script_failed a:2>2 2!script_failed"},
        {"function job(j) assert(io == nil and os == nil and load == nil and require == nil and "
         "debug == nil "
         "and "
         "dofile == nil and pcall == nil and string.rep == nil) return j end",
         "a:1>1 1=req-1 a:2>2 2=req-2"},
    };
    TemporaryFolder folder;
    for (auto& row : rows) {
        Mapping mapping;
        mapping.script = folder.file("s.lua", row.script);
        EXPECT_EQ(import_texts("swf", {log}, mapping).outcomes, row.outcomes) << row.script;
    }
    for (auto* invalid : {"function job(", "x = 1", "while true do end", "\x1bLua"}) {
        Mapping mapping;
        mapping.script = folder.file("s.lua", invalid);
        EXPECT_THROW(import_texts("swf", {log}, mapping), ScriptError) << invalid;
    }
}

// Imports the samples above with bytes that are changed, removed or duplicated. Every record must
// still have exactly one disposition, and every accepted job must be a valid submission;
// import_files() checks both. CI uses a fixed number of seeds; WEIRMILL_FUZZ_SEEDS sets another
// one.
TEST(TraceImport, CorruptedInputsLoseNoRecord) {
    auto* seeds_setting = std::getenv("WEIRMILL_FUZZ_SEEDS");
    auto seeds = seeds_setting ? std::stoul(seeds_setting) : 25ul;
    uint64_t rejected = 0;
    for (auto& sample : kCases)
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            std::mt19937 random(seed);
            auto texts = sample.texts;
            for (unsigned changes = 1 + random() % 6; changes > 0; --changes) {
                auto& text = texts[random() % texts.size()];
                if (text.empty()) continue;
                auto at = random() % text.size();
                static constexpr char kBytes[] = "0123456789,-.\"\\{}[]: \n\r\xff\xc3;eE";
                switch (random() % 4) {
                    case 0:
                        text[at] = kBytes[random() % (sizeof kBytes - 1)];
                        break;
                    case 1:
                        text.erase(at, 1 + random() % 8);
                        break;
                    case 2:
                        text.insert(at, text.substr(at, 1 + random() % 40));
                        break;
                    default:
                        text.resize(at);
                        break;
                }
            }
            auto imported = import_texts(sample.format, texts);
            rejected += imported.summary.rejected_records;
            if (HasFailure()) FAIL() << sample.name << ", seed " << seed;
        }
    EXPECT_GT(rejected, 100u);
}

// Runs a shell command. Returns its output and its exit code, or -1 if a signal ended it.
std::pair<std::string, int> run_shell(const std::string& command) {
    std::string output;
    auto* pipe = ::popen(command.c_str(), "r");
    char buffer[4096];
    for (size_t size; (size = ::fread(buffer, 1, sizeof buffer, pipe)) > 0;)
        output.append(buffer, size);
    int status = ::pclose(pipe);
    return {output, WIFEXITED(status) ? WEXITSTATUS(status) : -1};
}

TEST(Weirmillctl, ExitCodesAreAsDocumented) {
    TemporaryFolder folder;
    folder.file("types.json", machine_types_json(types()));
    folder.file("good.swf", "1 0 5 100 4 -1 -1 4 200 -1 1 1 1 1 1 1 -1 -1\n");
    folder.file("some.swf", "1 0 5 100 4 -1 -1 4 200 -1 1 1 1 1 1 1 -1 -1\nx\n");
    folder.file("cut.gz", compressed<io::gzip_compressor>(std::string(100, '1')).substr(0, 15));
    folder.file("bad.properties", "unit.core = 1\n");
    folder.file("bad.json", "[");
    folder.file("old.play", "{\"id\":\"req-1\",\"is\":\"sent\"}\n");
    const std::string import =
        "trace import --format swf --types types.json --out j.ndjson --dispositions d.ndjson ";
    struct Row {
        std::string arguments;
        int exit_code;
    };
    const Row rows[] = {
        {"--version", 0},
        {"--help", 0},
        {"trace import --help", 0},
        {"trace formats", 0},
        {"", 2},
        {"trace import", 2},
        {import + "good.swf", 0},
        {"trace stats j.ndjson --html page.html", 0},
        {import + "some.swf", 0},
        {import + "--strict some.swf", 1},
        {import + "- < good.swf", 0},
        {import + "cut.gz", 3},
        {import + "missing.swf", 3},
        {import + "--map bad.properties good.swf", 2},
        {import + "--map missing.properties good.swf", 2},
        {"trace import --format swf --types bad.json --out j --dispositions d good.swf", 3},
        {"trace import --format swf --types types.json --out j --dispositions j good.swf", 2},
        {"trace import --format nqs --types types.json --out j --dispositions d good.swf", 2},
        {"trace stats types.json", 3},
        {"trace play --to 127.0.0.1:1 --log old.play j.ndjson", 2},
        {"trace play --to nowhere j.ndjson", 2},
    };
    for (auto& row : rows) {
        auto command =
            "cd " + folder.path.string() + " && " WEIRMILLCTL " " + row.arguments + " 2>/dev/null";
        EXPECT_EQ(run_shell(command).second, row.exit_code) << row.arguments;
    }
}

TEST(Weirmillctl, CompletionKnowsCommandsAndOptions) {
    struct Row {
        const char* words;  // the last one is to be completed
        const char* completions;
    };
    const Row rows[] = {{"tr", "trace"},
                        {"trace im", "import"},
                        {"trace import --fo", "--format"},
                        {"trace import --format ali", "alibaba-2018 alibaba-gpu-2020"},
                        {"trace play --res", "--resume"},
                        {"trace import --map im", ""}};
    for (auto& row : rows) {
        std::string words = std::string("weirmillctl ") + row.words;
        auto result = run_shell(
            "bash -c 'source <(" WEIRMILLCTL " completion bash); COMP_WORDS=(" + words +
            "); COMP_CWORD=$((${#COMP_WORDS[@]}-1)); _weirmillctl; echo \"${COMPREPLY[@]}\"'");
        EXPECT_EQ(result.first, std::string(row.completions) + "\n") << row.words;
    }
}

TEST(TraceImport, AppendedSubmissionsMatchTheCodec) {
    Names names;
    JobSpec spec;
    spec.id = "req-7";
    spec.kind = JobKind::Gang;
    spec.priority = Priority::High;
    spec.tasks = 3;
    spec.demand = {1500, 250, 7125};
    spec.team = names.teams.intern("re\"d\\\n\x01");
    spec.job_class = names.classes.intern("t\xc3\xa9st");
    spec.image = names.images.intern("i");
    spec.image_gb = 0.1;
    spec.estimate_s = 1e9;
    spec.checkpoint_interval_s = 1.0 / 3;
    for (int with_optional_fields = 0; with_optional_fields < 2; ++with_optional_fields) {
        std::string text;
        append_submission(text, spec, names);
        EXPECT_EQ(submission_json(parse_submission(text, names), names),
                  submission_json(spec, names))
            << text;
        spec.types = {names.types.intern("a"), names.types.intern("b")};
        spec.zone = names.zones.intern("z");
        spec.one_zone = spec.spread = spec.spot = true;
        spec.deadline_s = 0.5;
        spec.dependencies = {"req-1", "req-2"};
    }
}

}  // namespace
}  // namespace weirmill::traces
