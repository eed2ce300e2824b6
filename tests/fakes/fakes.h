// Stand-ins for the outside systems, on loopback, that speak their published protocols: the state
// service, the cloud with its workers, and a user. They share the io_context of the controllers
// under test.
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

// Keys, transactions, leases, watches. Faults are switched by the test.
class StateService {
  public:
    explicit StateService(asio::io_context& io);
    // One door for each controller, so that a single one can be refused.
    Endpoint endpoint_for(int controller);
    std::set<int> refused_controllers;

    bool unavailable = false;    // 503 to all; leases have their full time again afterwards
    int lose_txn_responses = 0;  // the next transactions are executed, but not answered in time
    std::string lose_response_for_key;  // the same for those that write this key
    bool refuse_deletes = false;        // 503 to transactions that delete
    int delay_txns = 0;  // the next transactions are executed late, after their sender gave up
    bool refuse_key_reads = false;  // 503 to reads of single keys
    double lease_response_delay_s =
        0;  // what is asked of leases is done at once, and answered so much later
    // The longest value that it takes; from the next transaction on, which still counts under the
    // old limit.
    size_t max_value_bytes = 1 << 20, next_max_value_bytes = 1 << 20;
    int oversized_txns = 0;  // transactions refused for it
    std::map<std::string, json::value> snapshot() const;
    size_t count_keys(const std::string& prefix) const;  // of keys
    // As by somebody whom the test does not play.
    void put(const std::string& key, json::value value);
    void erase(const std::string& key);
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
        std::optional<json::value> value;  // nothing: deleted
    };
    std::deque<Change> changes_;
    uint64_t revision_ = 0, next_lease_ = 1;
    asio::io_context& io_;
    std::map<int, std::unique_ptr<HttpServer>> servers_;
};

struct Job {
    double run_s = 0.2;
    bool gang = false;
    uint32_t tasks = 1;
    bool fails = false;
    std::vector<std::string> dependencies{};
    double stagger_s = 0;        // each task runs as much longer than the one before it
    std::string team{}, zone{};  // a limited team (Cloud::limits), the only allowed zone
    double cpus = 1;             // of each task
};

class Cloud;

// One machine's worker: reports to the controllers and runs tasks.
class Worker : public std::enable_shared_from_this<Worker> {
  public:
    Worker(asio::io_context& io, Cloud& cloud, std::string name, std::string type, std::string zone,
           bool spot);
    void start();
    void kill() { dead_ = true, tasks_.clear(); }
    bool dead() const { return dead_; }
    int unreachable_controller = -1;  // the controller that it can't reach
    bool downlink_lost = false;       // its reports arrive, answers and commands do not reach it
    bool lose_commands = false;       // what is sent straight to it is lost
    bool hold_commands = false;       // what is sent straight to it arrives once this ends
    int stale_copies = 0;             // of each report, as many older ones come once more
    bool uplink_lost = false;         // its own connections fail; commands reach it
    int only_controller = -1;         // the one controller that it reaches
    bool hung = false;  // neither runs nor answers anything; goes on where it was, its lease
                        // running all the while
    // The `n`th report that it sent comes once more, to each controller.
    void resend_heartbeat(size_t n);
    size_t heartbeat_count() const { return sent_heartbeats_.size(); }
    void restart();  // as a machine that is back at once: no tasks, its counts from the start
    uint64_t agent_epoch() const { return agent_epoch_; }
    bool is_running(const std::string& job) { return count_running(job) > 0; }
    int count_running(const std::string& job);  // its tasks that are here
    bool unreachable = false;  // its packets are lost; its tasks run on, until its lease ends
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
    void execute_commands(const json::array& orders);
    json::object heartbeat();

    asio::io_context& io_;
    Cloud& cloud_;
    bool dead_ = false;
    uint64_t agent_epoch_ = 1, seq_ = 0, fencing_token_ = 0;
    double lease_started_at_;
    std::deque<std::string> sent_heartbeats_;  // reports, for copies of them
    asio::awaitable<void> send_heartbeat_copy(std::shared_ptr<Worker> self, std::string body,
                                              Endpoint to);
    std::map<std::string, Task> tasks_;
    HttpServer server_;
    friend class Cloud;
};

// Rents machines, and sees all that runs: it tells when a rule is broken.
class Cloud {
  public:
    Cloud(asio::io_context& io, const Settings& settings);
    Endpoint endpoint() const { return {"127.0.0.1", server_.port()}; }

    std::vector<Endpoint> controllers;  // where workers report
    std::vector<std::string> controller_names;
    std::map<std::string, Job> jobs;  // what users uploaded for the workers
    std::map<std::string, std::shared_ptr<Worker>> workers;
    std::vector<std::string> violations;              // rules
    std::map<std::string, int> task_starts;           // by task
    std::map<std::string, int> completed_tasks;       // tasks done, by job
    std::map<std::string, double> task_completed_at;  // by task, when it was done first
    std::set<std::string> provision_requests;
    std::map<std::string, double> team_cpu_limits;  // CPUs that a team's tasks may use at once
    bool hold_launches = false;  // launches are received but not executed until this ends
    const Settings& settings;
    bool is_running(const std::string& job) const;

  private:
    asio::awaitable<HttpReply> handle(HttpRequest r);
    void check_launch(const Worker& on, const std::string& task);
    asio::io_context& io_;
    std::map<std::string, json::array> provisioned_names_;
    int next_machine_ = 1;
    HttpServer server_;
    friend class Worker;
};

}  // namespace weirmill::fakes
