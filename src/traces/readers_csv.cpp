// The formats whose records are rows: SWF, Google ClusterData 2011, Alibaba 2018 and GPU 2020,
// Azure VM V1. Columns are those of the formats' published descriptions.
#include <algorithm>
#include <string>

#include "traces/fields.h"

namespace weirmill::traces {
namespace {

Refusal bad_columns(size_t got, const char* wanted) {
    return {Reason::BadColumns, std::to_string(got) + " fields, where the format has " + wanted};
}
Refusal bad_row() {
    return {Reason::BadColumns, "the row's quotes are not closed or stand inside a field"};
}

// -1 stands for "not known" in SWF.
double known(double v) { return v == -1 ? kNoTime : v; }

// Standard Workload Format, version 2.2: 18 fields, comments begin with a semicolon.
class Swf : public Reader {
  public:
    bool timed() const override { return true; }
    bool numeric_keys() const override { return true; }
    bool comment(std::string_view text, uint64_t) const override {
        auto at = text.find_first_not_of(" \t");
        return at == std::string_view::npos || text[at] == ';';
    }
    double time(std::string_view text) override {
        std::string_view w[2];
        Refusal none;
        return words(text, w, 2) >= 2 ? Fields(none).number(w[1], "") : kNoTime;
    }
    Refusal read(std::string_view text, Event& e) override {
        std::string_view w[18];
        auto n = words(text, w, 18);
        if (n != 18) return bad_columns(n, "18");
        Refusal r;
        Fields f(r);
        e.kind = EventKind::Job;
        e.job = f.numeric_key(w[0], "job number");
        auto& facts = e.facts;
        e.at_s = facts.submitted_s = f.amount(w[1], "submit time", true);
        double wait = known(f.number(w[2], "wait time")), run = known(f.number(w[3], "run time"));
        double used = known(f.number(w[4], "allocated processors"));
        double used_kb = known(f.number(w[6], "used memory"));
        double asked = known(f.number(w[7], "requested processors"));
        facts.wanted_s = known(f.number(w[8], "requested time"));
        double asked_kb = known(f.number(w[9], "requested memory"));
        auto before = known(f.number(w[16], "preceding job"));
        if (!f.ok()) return r;
        for (double v : {wait, used, used_kb, asked, facts.wanted_s, asked_kb, before})
            if (v < 0) return {Reason::Negative, "a negative amount other than -1"};
        // A run time below zero is an end before the start: the job tells it.
        if (!std::isnan(run)) {
            facts.started_s = facts.submitted_s + (std::isnan(wait) ? 0 : wait);
            facts.ended_s = facts.started_s + run;
        }
        facts.tasks =
            asked > 0 ? asked : used;  // processors: as many tasks as the map makes of them
        facts.cpu = 1;
        // Kilobytes for each processor.
        double kb = asked_kb > 0 ? asked_kb : used_kb;
        facts.mem = std::isnan(kb) || kb == 0 ? kNoTime : kb / (1024.0 * 1024.0);
        facts.gang = facts.divisible = true;
        if (w[11] != "-1") facts.user = w[11];
        if (w[12] != "-1") facts.group = w[12];
        if (w[13] != "-1") facts.job_class = w[13];
        if (w[14] != "-1") facts.queue = w[14];
        if (before > 0) facts.awaits.push_back(f.numeric_key(w[16], "preceding job"));
        return r;
    }
};

// Google ClusterData 2011: machine_events (6 fields), job_events (8), task_events (13); times in
// microseconds.
class Google2011 : public Reader {
  public:
    bool timed() const override { return true; }
    bool numeric_keys() const override { return true; }
    bool comment(std::string_view text, uint64_t line) const override {
        return text.empty() || (line == 1 && text.substr(0, 4) == "time");
    }
    double time(std::string_view text) override {
        Refusal none;
        return Fields(none).amount(text.substr(0, text.find(',')), "") / 1e6;
    }
    int table(std::string_view text) const override {
        auto fields = std::count(text.begin(), text.end(), ',') + 1;
        return fields <= 6 ? 0 : fields <= 8 ? 1 : 2;
    }
    Refusal read(std::string_view text, Event& e) override {
        if (!row_.parse(text)) return bad_row();
        Refusal r;
        Fields f(r);
        if (row_.size() != 6 && row_.size() != 8 && row_.size() != 13)
            return bad_columns(row_.size(), "6, 8 or 13");
        e.at_s = f.amount(row_[0], "time", true) / 1e6;
        if (row_.size() == 6) {
            e.machine = f.key(row_[1], "machine ID");
            auto type = f.integer(row_[2], "event type", true);
            if (!f.ok()) return r;
            if (type > 2) return {Reason::BadEvent, "machine event " + std::to_string(type)};
            e.kind = type == 0   ? EventKind::MachineAdd
                     : type == 1 ? EventKind::MachineRemove
                                 : EventKind::MachineUpdate;
            return r;
        }
        bool job = row_.size() == 8;
        e.job = f.numeric_key(row_[2], "job ID");
        auto type = f.integer(row_[job ? 3 : 5], "event type", true);
        auto& facts = e.facts;
        if (job) {
            facts.user = row_[4];
            auto sched = f.integer(row_[5], "scheduling class");
            if (sched >= 0) facts.job_class = std::to_string(sched);
            facts.submitted_s = e.at_s;
        } else {
            e.task = f.integer(row_[3], "task index", true);
            e.machine = row_[4];
            facts.priority = f.integer(row_[8], "priority");
            facts.cpu = f.amount(row_[9], "CPU request");
            facts.mem = f.amount(row_[10], "memory request");
        }
        if (!f.ok()) return r;
        // The largest time stands for "after the trace": then nothing is known of when it was.
        if (e.at_s > 9e12) {
            e.kind = EventKind::Update;
            return r;
        }
        switch (type) {
            case 0:
                e.kind = job ? EventKind::Declare : EventKind::TaskSubmit;
                break;
            case 1:
                e.kind = job ? EventKind::Update : EventKind::TaskStart;
                break;
            case 2:
            case 3:
            case 4:
            case 5:
            case 6:
                e.kind = job ? EventKind::JobEnd : EventKind::TaskEnd;
                break;
            case 7:
            case 8:
                e.kind = EventKind::Update;
                break;
            default:
                return {Reason::BadEvent, "event type " + std::to_string(type)};
        }
        return r;
    }

  private:
    CsvRow row_;
};

// "M1", "R2_1", "J3_1_2": what a task of a DAG is, its number, and those it waits for. Others stand
// alone.
bool dag_name(std::string_view name, std::string& number, std::vector<std::string>& awaits) {
    size_t i = 0;
    while (i < name.size() && std::isalpha(static_cast<unsigned char>(name[i]))) ++i;
    if (i == 0 || i > 3 || name.substr(0, 4) == "task") return false;
    std::vector<std::string> numbers;
    while (i < name.size()) {
        size_t from = i;
        while (i < name.size() && std::isdigit(static_cast<unsigned char>(name[i]))) ++i;
        if (i == from) {
            // "M1_Stg2" and the like: what follows is no dependency.
            if (numbers.empty()) return false;
            break;
        }
        numbers.emplace_back(name.substr(from, i - from));
        if (i < name.size() && name[i++] != '_') break;
    }
    if (numbers.empty()) return false;
    number = numbers.front();
    awaits.assign(numbers.begin() + 1, numbers.end());
    return true;
}

// Alibaba 2018: machine_meta (7 fields), batch_task (9), batch_instance (14); times in seconds,
// CPUs in hundredths, memory as a share of a machine's. A job here is one task group, as its
// instances are alike.
class Alibaba2018 : public Reader {
  public:
    bool graphs() const override { return true; }
    bool comment(std::string_view text, uint64_t line) const override {
        return text.empty() || (line == 1 && (text.substr(0, 9) == "task_name" ||
                                              text.substr(0, 13) == "instance_name" ||
                                              text.substr(0, 10) == "machine_id"));
    }
    int table(std::string_view text) const override {
        auto fields = std::count(text.begin(), text.end(), ',') + 1;
        return fields <= 7 ? 0 : fields <= 9 ? 1 : 2;
    }
    Refusal read(std::string_view text, Event& e) override {
        if (!row_.parse(text)) return bad_row();
        Refusal r;
        Fields f(r);
        auto& facts = e.facts;
        if (row_.size() == 7) {
            e.kind = EventKind::MachineState;
            e.machine = f.key(row_[0], "machine_id");
            facts.submitted_s = f.amount(row_[1], "time_stamp", true);
            return r;
        }
        if (row_.size() == 9) {
            e.kind = EventKind::Declare;
            auto job = f.key(row_[2], "job_name");
            auto name = f.key(row_[0], "task_name");
            e.job = key(job, name, &facts.awaits);
            facts.tasks = f.amount(row_[1], "instance_num", true);
            facts.job_class = row_[3];
            facts.submitted_s = facts.started_s = f.amount(row_[5], "start_time", true);
            // 0 stands for a task that had not ended.
            facts.ended_s = f.amount(row_[6], "end_time");
            if (facts.ended_s == 0) facts.ended_s = kNoTime;
            facts.cpu = f.amount(row_[7], "plan_cpu") / 100;
            facts.mem = f.amount(row_[8], "plan_mem");
            return r;
        }
        if (row_.size() != 14) return bad_columns(row_.size(), "7, 9 or 14");
        e.kind = EventKind::TaskRan;
        auto name = f.key(row_[1], "task_name");
        auto job = f.key(row_[2], "job_name");
        e.job = key(job, name, nullptr);
        facts.started_s = f.amount(row_[5], "start_time");
        facts.ended_s = f.amount(row_[6], "end_time");
        if (facts.ended_s == 0) facts.ended_s = kNoTime;
        e.machine = row_[7];
        e.task = f.integer(row_[8], "seq_no");
        for (size_t i = 10; i < 14; ++i) f.amount(row_[i], "a usage");
        return r;
    }

  private:
    static std::string key(const std::string& job, const std::string& name,
                           std::vector<std::string>* awaits) {
        std::string number;
        std::vector<std::string> numbers;
        if (!dag_name(name, number, numbers)) return job + "/" + name;
        if (awaits)
            for (auto& n : numbers) awaits->push_back(job + "/" + n);
        return job + "/" + number;
    }
    CsvRow row_;
};

// Alibaba GPU 2020: pai_job (6 fields), pai_task (10), pai_instance (9); CPUs and GPUs in
// hundredths, memory in GB. The tasks of one role are a job here; all of them run together.
class AlibabaGpu2020 : public Reader {
  public:
    bool comment(std::string_view text, uint64_t line) const override {
        return text.empty() || (line == 1 && text.substr(0, 8) == "job_name");
    }
    int table(std::string_view text) const override {
        auto fields = std::count(text.begin(), text.end(), ',') + 1;
        return fields == 10 ? 0 : fields == 6 ? 1 : 2;
    }
    Refusal read(std::string_view text, Event& e) override {
        if (!row_.parse(text)) return bad_row();
        Refusal r;
        Fields f(r);
        auto& facts = e.facts;
        auto job = row_.size() ? f.key(row_[0], "job_name") : std::string();
        if (row_.size() == 10) {
            e.kind = EventKind::Declare;
            e.job = job + "/" + f.key(row_[1], "task_name");
            e.group = job;
            facts.tasks = f.amount(row_[2], "inst_num", true);
            facts.job_class = row_[1];
            facts.submitted_s = facts.started_s = f.amount(row_[4], "start_time");
            facts.ended_s = f.amount(row_[5], "end_time");
            facts.cpu = f.amount(row_[6], "plan_cpu") / 100;
            facts.mem = f.amount(row_[7], "plan_mem");
            facts.gpu = f.amount(row_[8], "plan_gpu") / 100;
            facts.queue = row_[9];
            facts.gang = true;
            return r;
        }
        if (row_.size() == 6) {
            // Its owner, and when it was submitted: told of every role of the job.
            e.kind = EventKind::GroupFacts;
            e.group = job;
            facts.user = f.key(row_[2], "user");
            facts.submitted_s = f.amount(row_[4], "start_time");
            f.amount(row_[5], "end_time");
            return r;
        }
        if (row_.size() != 9) return bad_columns(row_.size(), "6, 9 or 10");
        e.kind = EventKind::TaskRan;
        e.job = job + "/" + f.key(row_[1], "task_name");
        facts.started_s = f.amount(row_[6], "start_time");
        facts.ended_s = f.amount(row_[7], "end_time");
        return r;
    }

  private:
    CsvRow row_;
};

// Azure VM traces V1: vmtable, 11 fields; times in seconds. A VM runs until it is deleted; one that
// is there at the end of the trace has the trace's end as its own.
class AzureVm : public Reader {
  public:
    bool comment(std::string_view text, uint64_t line) const override {
        return text.empty() || (line == 1 && text.substr(0, 4) == "vmid");
    }
    Refusal read(std::string_view text, Event& e) override {
        if (!row_.parse(text)) return bad_row();
        if (row_.size() != 11) return bad_columns(row_.size(), "11");
        Refusal r;
        Fields f(r);
        auto& facts = e.facts;
        e.kind = EventKind::Job;
        e.job = f.key(row_[0], "vm id");
        facts.user = f.key(row_[1], "subscription id");
        facts.group = row_[2];
        facts.submitted_s = facts.started_s = f.amount(row_[3], "vm created", true);
        facts.ended_s = f.amount(row_[4], "vm deleted");
        for (size_t i = 5; i < 8; ++i) f.amount(row_[i], "a usage");
        facts.job_class = row_[8];
        facts.tasks = 1;
        facts.cpu = f.amount(row_[9], "core count", true);
        facts.mem = f.amount(row_[10], "memory", true);
        return r;
    }

  private:
    CsvRow row_;
};

}  // namespace

std::unique_ptr<Reader> make_swf() { return std::make_unique<Swf>(); }
std::unique_ptr<Reader> make_google_2011() { return std::make_unique<Google2011>(); }
std::unique_ptr<Reader> make_alibaba_2018() { return std::make_unique<Alibaba2018>(); }
std::unique_ptr<Reader> make_alibaba_gpu_2020() { return std::make_unique<AlibabaGpu2020>(); }
std::unique_ptr<Reader> make_azure_vm() { return std::make_unique<AzureVm>(); }

const std::vector<Format>& formats() {
    static const std::vector<Format> all = {
        {"swf", "Standard Workload Format 2.2", "the log", make_swf},
        {"google-2011", "Google ClusterData 2011", "job_events, task_events, machine_events (CSV)",
         make_google_2011},
        {"google-2019", "Google ClusterData 2019",
         "collection, instance and machine events (JSON lines)", make_google_2019},
        {"alibaba-2018", "Alibaba cluster trace 2018",
         "batch_task, batch_instance, machine_meta (CSV)", make_alibaba_2018},
        {"alibaba-gpu-2020", "Alibaba GPU cluster trace 2020",
         "pai_job, pai_task, pai_instance (CSV)", make_alibaba_gpu_2020},
        {"philly", "Microsoft Philly", "cluster_job_log (JSON)", make_philly},
        {"azure-vm", "Azure VM traces V1", "vmtable (CSV)", make_azure_vm},
    };
    return all;
}

const Format* find_format(std::string_view name) {
    for (auto& f : formats())
        if (name == f.name) return &f;
    return nullptr;
}

}  // namespace weirmill::traces
