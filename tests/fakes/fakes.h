// Fakes of the external systems: the state service (a key-value store) and the cloud with its
// workers. They speak the published protocols over loopback.
#pragma once
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <deque>
#include <functional>
#include <map>
#include <set>

#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/one_shot.h"

namespace weirmill::fakes {

namespace asio = boost::asio;
namespace json = boost::json;

inline const Endpoint kLoopback{"127.0.0.1", 0};

// In-memory key-value store with transactions, leases and watches. Tests inject faults by its
// public members.
class StateService {
  public:
    explicit StateService(asio::io_context& io);
    // Returns an endpoint of the controller's own, so that requests of a single one can be refused.
    Endpoint endpoint_for(int controller);
    std::set<int> refused_controllers;  // their requests are answered 503

    bool unavailable = false;    // answers 503 to all; leases don't expire meanwhile
    int lose_txn_responses = 0;  // transactions to execute at once and answer after the timeout
    std::string lose_response_for_key;  // the same for every transaction that names this key
    bool refuse_deletes = false;        // answers 503 to transactions that delete keys
    int delay_txns = 0;             // transactions to execute and answer after the client's timeout
    bool refuse_key_reads = false;  // answers 503 to reads of single keys
    double lease_response_delay_s = 0;  // lease renewals are executed at once and answered later
    size_t max_value_bytes = 1 << 20;   // transactions with longer values are rejected
    size_t next_max_value_bytes = 1 << 20;  // replaces a higher limit after the next transaction
    int oversized_txns = 0;                 // transactions rejected for a value that is too long
    // Returns all keys with their values.
    std::map<std::string, json::value> snapshot() const;
    size_t count_keys(const std::string& prefix) const;
    // Returns the version of a key, 0 if there is none.
    uint64_t version(const std::string& key) const;
    // Change a key directly, as a client outside the test would.
    void put(const std::string& key, json::value value);
    void erase(const std::string& key);
    // Ends `unavailable`; every lease starts its full duration anew.
    void end_outage();

  private:
    struct Item {
        json::value value;
        uint64_t version, lease;
    };
    asio::awaitable<HttpReply> handle(HttpRequest r, int controller);
    bool refuses(int controller) const {
        return unavailable || refused_controllers.count(controller) > 0;
    }
    bool accepts(const json::object& txn) const;
    HttpReply apply(const json::object& txn);
    json::array events_since(const std::string& prefix, uint64_t after) const;
    void expire_leases();
    json::object item_json(const std::string& key, const Item& i) const;

    std::map<std::string, Item> items_;
    struct Lease {
        double ttl_s, expires_at;
    };
    std::map<uint64_t, Lease> leases_;
    struct Change {
        uint64_t revision;
        std::string key;
        std::optional<json::value> value;  // empty if the key was deleted
    };
    std::deque<Change> changes_;
    uint64_t revision_ = 0, next_lease_ = 1;
    asio::io_context& io_;
    std::map<int, std::unique_ptr<HttpServer>> servers_;
};

// How the fake workers execute a job, and the rules that Cloud checks for it.
struct Job {
    double run_s = 0.2;
    bool gang = false;
    uint32_t tasks = 1;
    bool fails = false;
    std::vector<std::string> dependencies{};
    double stagger_s = 0;        // added to the run time with each task index
    std::string team{}, zone{};  // see Cloud::team_cpu_limits; the only allowed zone, or empty
    double cpus = 1;             // per task
};

class Cloud;

// The worker of one machine: sends heartbeats to the controllers and runs tasks. Tests inject
// faults by its public members.
class Worker : public std::enable_shared_from_this<Worker> {
  public:
    Worker(asio::io_context& io, Cloud& cloud, std::string name, std::string type, std::string zone,
           bool spot);
    void start();
    void kill() { dead_ = true, tasks_.clear(); }
    bool dead() const { return dead_; }
    int unreachable_controller = -1;  // index of a controller that it can't connect to
    bool downlink_lost = false;       // heartbeats arrive; responses and commands are lost
    bool lose_commands = false;       // commands sent to it directly are lost
    bool hold_commands = false;       // commands sent to it directly arrive when this ends
    int stale_copies = 0;             // earlier heartbeats resent with each heartbeat
    bool uplink_lost = false;         // its own connections fail; commands arrive
    int only_controller = -1;         // index of the only controller that it connects to
    bool paused = false;              // its process is paused; its lease runs on
    // Sends the heartbeat with index `n` to every controller again.
    void resend_heartbeat(size_t n);
    size_t heartbeat_count() const { return sent_heartbeats_.size(); }
    void restart();  // drops all tasks and counters, as a reboot does
    uint64_t agent_epoch() const { return agent_epoch_; }
    bool is_running(const std::string& job) { return count_running(job) > 0; }
    int count_running(const std::string& job);  // tasks of the job that have not exited
    bool unreachable = false;  // all its packets are lost; tasks run until its lease expires
    const std::string name, type, zone;
    const bool spot;
    std::string addr() const { return "127.0.0.1:" + std::to_string(server_.port()); }

  private:
    struct Task {
        uint64_t attempt;
        std::string state, cause;
        double ends_at;
        bool saved = false;
    };
    asio::awaitable<void> heartbeat_loop(std::shared_ptr<Worker> self);
    asio::awaitable<HttpReply> handle(HttpRequest r);
    void update_tasks();
    void execute_commands(const json::array& commands);
    json::object heartbeat();

    asio::io_context& io_;
    Cloud& cloud_;
    bool dead_ = false;
    uint64_t agent_epoch_ = 1, seq_ = 0, fencing_token_ = 0;
    double lease_started_at_;
    std::deque<std::string> sent_heartbeats_;  // for resending
    asio::awaitable<void> send_heartbeat_copy(std::shared_ptr<Worker> self, std::string body,
                                              Endpoint to);
    std::map<std::string, Task> tasks_;
    HttpServer server_;
    friend class Cloud;
};

// Provisions machines and records every violation of the scheduling rules by a task launch.
class Cloud {
  public:
    Cloud(asio::io_context& io, const Settings& settings);
    Endpoint endpoint() const { return {"127.0.0.1", server_.port()}; }

    std::vector<Endpoint> controllers;  // endpoints that workers send heartbeats to
    std::vector<std::string> controller_names;
    std::map<std::string, Job> jobs;  // behavior of each job in the workers, by its id
    std::map<std::string, std::shared_ptr<Worker>> workers;
    std::vector<std::string> violations;              // code of the broken rule and task
    std::map<std::string, int> task_starts;           // launches by task
    std::map<std::string, int> completed_tasks;       // by job
    std::map<std::string, double> task_completed_at;  // first completion, by task
    std::set<std::string> provision_requests;
    std::map<std::string, double> team_cpu_limits;  // limit on the CPUs in use, by team
    bool hold_launches = false;  // workers receive commands without executing them
    // After a heartbeat that failed, workers try the next controller after worker_failover_delay_s,
    // as the protocol says, and not after a heartbeat interval.
    bool workers_retry_soon = false;
    const Settings& settings;
    // Returns whether a live worker runs a task of the job.
    bool is_running(const std::string& job) const;

  private:
    asio::awaitable<HttpReply> handle(HttpRequest r);
    void check_launch(const Worker& worker, const std::string& task);
    asio::io_context& io_;
    std::map<std::string, json::array> provisioned_names_;
    int next_machine_ = 1;
    HttpServer server_;
    friend class Worker;
};

}  // namespace weirmill::fakes
