// Readers of the formats whose records are rows: SWF, Google ClusterData 2011, Alibaba 2018,
// Alibaba GPU 2020 and Azure VM V1. The columns follow the published descriptions of the formats.
#include <algorithm>
#include <string>

#include "traces/fields.h"

namespace weirmill::traces {
namespace {

Rejection bad_columns(size_t count, const char* expected) {
    return {RejectReason::BadColumns,
            std::to_string(count) + " fields; the format has " + expected};
}
Rejection bad_row() {
    return {RejectReason::BadColumns, "a quote is not closed or is inside a field"};
}

// Returns a number of SWF, where -1 stands for an unknown number.
double swf_number(double value) { return value == -1 ? kUnknown : value; }

// Standard Workload Format, version 2.2: 18 fields; comments begin with a semicolon.
class Swf : public Reader {
  public:
    bool ordered_by_time() const override { return true; }
    bool numeric_keys() const override { return true; }
    bool is_comment(std::string_view text, uint64_t) const override {
        auto begin = text.find_first_not_of(" \t");
        return begin == std::string_view::npos || text[begin] == ';';
    }
    double record_time(std::string_view text) override {
        std::string_view columns[2];
        Rejection rejection;
        return split_at_blanks(text, columns, 2) >= 2
                   ? FieldParser(rejection).number(columns[1], "")
                   : kUnknown;
    }
    Rejection parse_record(std::string_view text, Event& event) override {
        std::string_view columns[18];
        auto count = split_at_blanks(text, columns, 18);
        if (count != 18) return bad_columns(count, "18");
        Rejection rejection;
        FieldParser fields(rejection);
        event.kind = EventKind::CompleteJob;
        event.job = fields.numeric_key(columns[0], "job number");
        auto& attributes = event.attributes;
        event.time_s = attributes.submitted_s =
            fields.non_negative(columns[1], "submit time", true);
        double wait_s = swf_number(fields.number(columns[2], "wait time")),
               run_s = swf_number(fields.number(columns[3], "run time"));
        double allocated = swf_number(fields.number(columns[4], "allocated processors"));
        double used_kb = swf_number(fields.number(columns[6], "used memory"));
        double requested = swf_number(fields.number(columns[7], "requested processors"));
        attributes.requested_run_s = swf_number(fields.number(columns[8], "requested time"));
        double requested_kb = swf_number(fields.number(columns[9], "requested memory"));
        auto preceding = swf_number(fields.number(columns[16], "preceding job"));
        if (!fields.ok()) return rejection;
        for (double value : {wait_s, allocated, used_kb, requested, attributes.requested_run_s,
                             requested_kb, preceding})
            if (value < 0)
                return {RejectReason::Negative,
                        "an amount is negative and not -1, which stands for unknown"};
        // A negative run time becomes an end before the start, for which the assembler rejects the
        // job.
        if (!std::isnan(run_s)) {
            attributes.started_s = attributes.submitted_s + (std::isnan(wait_s) ? 0 : wait_s);
            attributes.ended_s = attributes.started_s + run_s;
        }
        // The number of processors, which the mapping groups into tasks.
        attributes.tasks = requested > 0 ? requested : allocated;
        attributes.cpu = 1;
        double kb_per_processor = requested_kb > 0 ? requested_kb : used_kb;
        attributes.mem = std::isnan(kb_per_processor) || kb_per_processor == 0
                             ? kUnknown
                             : kb_per_processor / (1024.0 * 1024.0);
        attributes.gang = attributes.divisible = true;
        if (columns[11] != "-1") attributes.user = columns[11];
        if (columns[12] != "-1") attributes.group = columns[12];
        if (columns[13] != "-1") attributes.job_class = columns[13];
        if (columns[14] != "-1") attributes.queue = columns[14];
        if (preceding > 0)
            attributes.dependencies.push_back(fields.numeric_key(columns[16], "preceding job"));
        return rejection;
    }
};

// Google ClusterData 2011: machine_events (6 fields), job_events (8) and task_events (13). Times
// are in microseconds.
class Google2011 : public Reader {
  public:
    bool ordered_by_time() const override { return true; }
    bool numeric_keys() const override { return true; }
    bool is_comment(std::string_view text, uint64_t line) const override {
        return text.empty() || (line == 1 && text.substr(0, 4) == "time");
    }
    double record_time(std::string_view text) override {
        Rejection rejection;
        return FieldParser(rejection).non_negative(text.substr(0, text.find(',')), "") / 1e6;
    }
    int table_index(std::string_view text) const override {
        auto fields = std::count(text.begin(), text.end(), ',') + 1;
        return fields <= 6 ? 0 : fields <= 8 ? 1 : 2;
    }
    Rejection parse_record(std::string_view text, Event& event) override {
        if (!row_.parse(text)) return bad_row();
        Rejection rejection;
        FieldParser fields(rejection);
        if (row_.size() != 6 && row_.size() != 8 && row_.size() != 13)
            return bad_columns(row_.size(), "6, 8 or 13");
        event.time_s = fields.non_negative(row_[0], "time", true) / 1e6;
        if (row_.size() == 6) {
            event.machine = fields.key(row_[1], "machine ID");
            auto type = fields.integer(row_[2], "event type", true);
            if (!fields.ok()) return rejection;
            if (type > 2) return {RejectReason::BadEvent, "machine event " + std::to_string(type)};
            event.kind = type == 0   ? EventKind::MachineAdd
                         : type == 1 ? EventKind::MachineRemove
                                     : EventKind::MachineUpdate;
            return rejection;
        }
        bool is_job_event = row_.size() == 8;
        event.job = fields.numeric_key(row_[2], "job ID");
        auto type = fields.integer(row_[is_job_event ? 3 : 5], "event type", true);
        auto& attributes = event.attributes;
        if (is_job_event) {
            attributes.user = row_[4];
            auto scheduling_class = fields.integer(row_[5], "scheduling class");
            if (scheduling_class >= 0) attributes.job_class = std::to_string(scheduling_class);
            attributes.submitted_s = event.time_s;
        } else {
            event.task = fields.integer(row_[3], "task index", true);
            event.machine = row_[4];
            attributes.priority = fields.integer(row_[8], "priority");
            attributes.cpu = fields.non_negative(row_[9], "CPU request");
            attributes.mem = fields.non_negative(row_[10], "memory request");
        }
        if (!fields.ok()) return rejection;
        // The largest time stands for an unknown time after the end of the trace.
        if (event.time_s > 9e12) {
            event.kind = EventKind::Update;
            return rejection;
        }
        switch (type) {
            case 0:
                event.kind = is_job_event ? EventKind::JobDeclare : EventKind::TaskSubmit;
                break;
            case 1:
                event.kind = is_job_event ? EventKind::Update : EventKind::TaskStart;
                break;
            case 2:
            case 3:
            case 4:
            case 5:
            case 6:
                event.kind = is_job_event ? EventKind::JobEnd : EventKind::TaskEnd;
                break;
            case 7:
            case 8:
                event.kind = EventKind::Update;
                break;
            default:
                return {RejectReason::BadEvent, "event type " + std::to_string(type)};
        }
        return rejection;
    }

  private:
    CsvRow row_;
};

// Parses the name of a task in a DAG, such as "M1", "R2_1" or "J3_1_2": its kind, its number, and
// the numbers of the tasks on which it depends. Returns false for a name of another form, whose
// task has no dependencies.
bool parse_dag_name(std::string_view name, std::string& number,
                    std::vector<std::string>& dependencies) {
    size_t i = 0;
    while (i < name.size() && std::isalpha(static_cast<unsigned char>(name[i]))) ++i;
    if (i == 0 || i > 3 || name.substr(0, 4) == "task") return false;
    std::vector<std::string> numbers;
    while (i < name.size()) {
        size_t begin = i;
        while (i < name.size() && std::isdigit(static_cast<unsigned char>(name[i]))) ++i;
        if (i == begin) {
            // In a name such as "M1_Stg2", the text after the underscore is not a dependency.
            if (numbers.empty()) return false;
            break;
        }
        numbers.emplace_back(name.substr(begin, i - begin));
        if (i < name.size() && name[i++] != '_') break;
    }
    if (numbers.empty()) return false;
    number = numbers.front();
    dependencies.assign(numbers.begin() + 1, numbers.end());
    return true;
}

// Alibaba 2018: machine_meta (7 fields), batch_task (9) and batch_instance (14). Times are in
// seconds, CPUs in hundredths, and memory is a share of a machine's memory. Each task group of the
// trace becomes a job, because its instances are alike.
class Alibaba2018 : public Reader {
  public:
    bool has_forward_dependencies() const override { return true; }
    bool is_comment(std::string_view text, uint64_t line) const override {
        return text.empty() || (line == 1 && (text.substr(0, 9) == "task_name" ||
                                              text.substr(0, 13) == "instance_name" ||
                                              text.substr(0, 10) == "machine_id"));
    }
    int table_index(std::string_view text) const override {
        auto fields = std::count(text.begin(), text.end(), ',') + 1;
        return fields <= 7 ? 0 : fields <= 9 ? 1 : 2;
    }
    Rejection parse_record(std::string_view text, Event& event) override {
        if (!row_.parse(text)) return bad_row();
        Rejection rejection;
        FieldParser fields(rejection);
        auto& attributes = event.attributes;
        if (row_.size() == 7) {
            event.kind = EventKind::MachineSnapshot;
            event.machine = fields.key(row_[0], "machine_id");
            attributes.submitted_s = fields.non_negative(row_[1], "time_stamp", true);
            return rejection;
        }
        if (row_.size() == 9) {
            event.kind = EventKind::JobDeclare;
            auto job = fields.key(row_[2], "job_name");
            auto name = fields.key(row_[0], "task_name");
            event.job = job_key(job, name, &attributes.dependencies);
            attributes.tasks = fields.non_negative(row_[1], "instance_num", true);
            attributes.job_class = row_[3];
            attributes.submitted_s = attributes.started_s =
                fields.non_negative(row_[5], "start_time", true);
            // An end time of 0 stands for a task that has not ended.
            attributes.ended_s = fields.non_negative(row_[6], "end_time");
            if (attributes.ended_s == 0) attributes.ended_s = kUnknown;
            attributes.cpu = fields.non_negative(row_[7], "plan_cpu") / 100;
            attributes.mem = fields.non_negative(row_[8], "plan_mem");
            return rejection;
        }
        if (row_.size() != 14) return bad_columns(row_.size(), "7, 9 or 14");
        event.kind = EventKind::TaskRun;
        auto name = fields.key(row_[1], "task_name");
        auto job = fields.key(row_[2], "job_name");
        event.job = job_key(job, name, nullptr);
        attributes.started_s = fields.non_negative(row_[5], "start_time");
        attributes.ended_s = fields.non_negative(row_[6], "end_time");
        if (attributes.ended_s == 0) attributes.ended_s = kUnknown;
        event.machine = row_[7];
        event.task = fields.integer(row_[8], "seq_no");
        for (size_t i = 10; i < 14; ++i) fields.non_negative(row_[i], "a usage column");
        return rejection;
    }

  private:
    static std::string job_key(const std::string& job, const std::string& name,
                               std::vector<std::string>* dependencies) {
        std::string number;
        std::vector<std::string> numbers;
        if (!parse_dag_name(name, number, numbers)) return job + "/" + name;
        if (dependencies)
            for (auto& dependency : numbers) dependencies->push_back(job + "/" + dependency);
        return job + "/" + number;
    }
    CsvRow row_;
};

// Alibaba GPU 2020: pai_job (6 fields), pai_task (10) and pai_instance (9). CPUs and GPUs are in
// hundredths, memory is in GB. The tasks of one role become a job, which is a gang.
class AlibabaGpu2020 : public Reader {
  public:
    bool is_comment(std::string_view text, uint64_t line) const override {
        return text.empty() || (line == 1 && text.substr(0, 8) == "job_name");
    }
    int table_index(std::string_view text) const override {
        auto fields = std::count(text.begin(), text.end(), ',') + 1;
        return fields == 10 ? 0 : fields == 6 ? 1 : 2;
    }
    Rejection parse_record(std::string_view text, Event& event) override {
        if (!row_.parse(text)) return bad_row();
        Rejection rejection;
        FieldParser fields(rejection);
        auto& attributes = event.attributes;
        auto job = row_.size() ? fields.key(row_[0], "job_name") : std::string();
        if (row_.size() == 10) {
            event.kind = EventKind::JobDeclare;
            event.job = job + "/" + fields.key(row_[1], "task_name");
            event.group = job;
            attributes.tasks = fields.non_negative(row_[2], "inst_num", true);
            attributes.job_class = row_[1];
            attributes.submitted_s = attributes.started_s =
                fields.non_negative(row_[4], "start_time");
            attributes.ended_s = fields.non_negative(row_[5], "end_time");
            attributes.cpu = fields.non_negative(row_[6], "plan_cpu") / 100;
            attributes.mem = fields.non_negative(row_[7], "plan_mem");
            attributes.gpu = fields.non_negative(row_[8], "plan_gpu") / 100;
            attributes.queue = row_[9];
            attributes.gang = true;
            return rejection;
        }
        if (row_.size() == 6) {
            // The owner and the submission time apply to every role of the job.
            event.kind = EventKind::GroupAttributes;
            event.group = job;
            attributes.user = fields.key(row_[2], "user");
            attributes.submitted_s = fields.non_negative(row_[4], "start_time");
            fields.non_negative(row_[5], "end_time");
            return rejection;
        }
        if (row_.size() != 9) return bad_columns(row_.size(), "6, 9 or 10");
        event.kind = EventKind::TaskRun;
        event.job = job + "/" + fields.key(row_[1], "task_name");
        attributes.started_s = fields.non_negative(row_[6], "start_time");
        attributes.ended_s = fields.non_negative(row_[7], "end_time");
        return rejection;
    }

  private:
    CsvRow row_;
};

// Azure VM traces V1: vmtable with 11 fields. Times are in seconds. A VM runs until it is deleted;
// for a VM that still exists at the end of the trace, the trace has that time as its end.
class AzureVm : public Reader {
  public:
    bool is_comment(std::string_view text, uint64_t line) const override {
        return text.empty() || (line == 1 && text.substr(0, 4) == "vmid");
    }
    Rejection parse_record(std::string_view text, Event& event) override {
        if (!row_.parse(text)) return bad_row();
        if (row_.size() != 11) return bad_columns(row_.size(), "11");
        Rejection rejection;
        FieldParser fields(rejection);
        auto& attributes = event.attributes;
        event.kind = EventKind::CompleteJob;
        event.job = fields.key(row_[0], "vm id");
        attributes.user = fields.key(row_[1], "subscription id");
        attributes.group = row_[2];
        attributes.submitted_s = attributes.started_s =
            fields.non_negative(row_[3], "vm created", true);
        attributes.ended_s = fields.non_negative(row_[4], "vm deleted");
        for (size_t i = 5; i < 8; ++i) fields.non_negative(row_[i], "a usage column");
        attributes.job_class = row_[8];
        attributes.tasks = 1;
        attributes.cpu = fields.non_negative(row_[9], "core count", true);
        attributes.mem = fields.non_negative(row_[10], "memory", true);
        return rejection;
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
        {"swf", "Standard Workload Format 2.2", "the workload log", make_swf},
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
    for (auto& format : formats())
        if (name == format.name) return &format;
    return nullptr;
}

}  // namespace weirmill::traces
