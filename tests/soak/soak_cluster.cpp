#include "soak/soak_cluster.h"

#include "process/http_caller.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <future>
#include <thread>
#include <utility>

namespace buckthornspar::soak {

namespace json = boost::json;

namespace {

using std::chrono::milliseconds;

constexpr const char* loopback = "127.0.0.1";
constexpr const char* service_name = "planner";
constexpr const char* queue_host = "jobs.example";
constexpr const char* queue_prefix = "/valves/";
constexpr const char* gang_prefix = "/trains/";
constexpr std::string_view owner_key = "bts/a/owner";
constexpr milliseconds tick_period{10};
constexpr milliseconds ready_poll{50};
constexpr std::int64_t start_timeout_ms = 60'000;
constexpr std::size_t racks = 4;
/// Calm before jobs that wait are looked for, as RULES.md has it (finish_s), and the longest time
/// of looking.
constexpr std::int64_t calm_ms = 14'000;
constexpr std::int64_t watch_ms = 6000;
/// Distance of the ids of gangs from those of jobs of one task, above all seeds.
constexpr std::uint64_t gang_ids = 1ULL << 55U;
/// Lowest cap of a customer in tasks, above the widest gang, and the range of caps.
constexpr std::size_t min_cap = 10;
constexpr std::size_t cap_range = 20;
/// Clock rates of the workers, in turn.
constexpr std::array clock_rates{1.0, 0.98, 1.0, 0.99};

constexpr std::string_view empty_address = R"("address":"")";

} // namespace

/// The store as one node reaches it.
class soak_cluster::store_link final : public net::http_handler, public value_view {
public:
    store_link(soak_cluster& cluster, std::string node)
        : m_cluster(cluster), m_node(std::move(node)) {}

    void handle(net::http_request request, net::http_reply reply) override {
        auto& links = m_cluster.m_links;
        if (links.is_cut(m_node, "store")) {
            links.hold(m_node, "store", std::move(reply));
            return;
        }
        m_cluster.m_store_calls.execute(
            links.guard(m_node, "store", std::move(reply)),
            [this, request = std::move(request)](const net::http_reply& answer) {
                m_cluster.m_store.handle(request, answer, *this);
            });
    }

    [[nodiscard]] std::string show(const std::string& key, const std::string& value) const override;

private:
    soak_cluster& m_cluster;
    std::string m_node;
};

/// A worker as one node reaches it. It has no listener while the worker is down.
class soak_cluster::worker_link final : public net::http_handler {
public:
    worker_link(leased_worker& worker, std::string node, std::uint16_t port)
        : m_worker(worker), m_node(std::move(node)), m_address{loopback, port} {}

    void handle(net::http_request request, net::http_reply reply) override {
        m_worker.handle(m_node, request, reply);
    }
    void listen(net::event_loop& loop) {
        m_server =
            std::make_unique<net::http_server>(loop, m_address, net::http_server_limits{}, *this);
    }
    void close() { m_server.reset(); }
    [[nodiscard]] const leased_worker& worker() const { return m_worker; }
    [[nodiscard]] const std::string& node_id() const { return m_node; }
    [[nodiscard]] const net::endpoint& address() const { return m_address; }

private:
    leased_worker& m_worker;
    std::string m_node;
    net::endpoint m_address;
    std::unique_ptr<net::http_server> m_server;
};

struct soak_cluster::node {
    node(soak_cluster& cluster, const std::string& name) : id(name), store(cluster, name) {}

    std::string id;
    net::endpoint callers;
    net::endpoint readiness;
    net::endpoint peers;
    store_link store;
    std::unique_ptr<net::http_server> store_server;
    std::unique_ptr<advice_service> advice;
    std::unique_ptr<net::http_server> advice_server;
    std::unique_ptr<process_test::child_process> process;
    int starts = 0;
};

std::string soak_cluster::store_link::show(const std::string& key, const std::string& value) const {
    if (key == owner_key) {
        return m_cluster.m_peer_addresses.translate(m_node, value);
    }
    for (const auto& link : m_cluster.m_worker_links) {
        if (link->node_id() == m_node && link->worker().key() == key) {
            auto shown = value;
            const auto position = shown.find(empty_address);
            if (position != std::string::npos) {
                shown.insert(position + empty_address.size() - 1, net::to_string(link->address()));
            }
            return shown;
        }
    }
    return value;
}

soak_cluster::soak_cluster(cluster_options options, soak_log& log)
    : m_options(std::move(options)),
      m_log(log),
      m_store_calls(m_loop, m_options.seed + 1),
      m_worker_calls(m_loop, m_options.seed + 2),
      m_gate_client(m_loop, {.max_connections_per_endpoint = 256}) {
    for (std::size_t i = 1; i <= m_options.nodes; ++i) {
        add_node(i);
    }
    for (const auto& n : m_nodes) {
        add_gates(n->id);
    }
    for (std::size_t i = 0; i < m_options.workers; ++i) {
        add_worker();
    }
    m_customers.create(m_options.customers, min_cap);
    write_configuration();
    m_loop.start();
    m_loop.post([this] { tick(now_ms()); });
}

// The processes end first, then the loop, so that no task uses what is destroyed.
soak_cluster::~soak_cluster() {
    for (const auto& n : m_nodes) {
        n->process.reset();
    }
    m_loop.stop();
}

void soak_cluster::add_node(std::size_t number) {
    auto added = std::make_unique<node>(*this, "edge-" + std::to_string(number));
    added->callers = {loopback, m_ports.take()};
    added->readiness = {loopback, m_ports.take()};
    added->peers = {loopback, m_ports.take()};
    added->store_server = std::make_unique<net::http_server>(
        m_loop, net::endpoint{loopback, 0}, net::http_server_limits{}, added->store);
    added->advice = std::make_unique<advice_service>(
        m_loop, m_links, added->id, [this](const std::string& worker) {
            const auto position = std::find_if(m_workers.begin(), m_workers.end(),
                                               [&](const auto& w) { return w->id() == worker; });
            return position == m_workers.end() ? 0 : (*position)->born_ms();
        });
    added->advice_server = std::make_unique<net::http_server>(
        m_loop, net::endpoint{loopback, 0}, net::http_server_limits{}, *added->advice);
    m_peer_addresses.set_own(added->id, added->peers);
    write_settings(*added);
    m_nodes.push_back(std::move(added));
}

void soak_cluster::add_gates(const std::string& from) {
    for (const auto& n : m_nodes) {
        if (n->id == from) {
            continue;
        }
        m_gates.push_back(
            std::make_unique<peer_gate>(m_gate_client, m_links, m_peer_addresses, from, n->id));
        m_gate_servers.push_back(std::make_unique<net::http_server>(
            m_loop, net::endpoint{loopback, 0}, net::http_server_limits{}, *m_gates.back()));
        m_peer_addresses.set_link(from, n->id, {loopback, m_gate_servers.back()->port()});
    }
}

void soak_cluster::add_worker() {
    const auto number = m_next_worker++;
    worker_settings settings;
    settings.id = "i-" + std::to_string(1000 + number);
    settings.service = service_name;
    settings.rack = "r1-" + std::to_string(1 + number % racks);
    settings.clock_rate = clock_rates.at(number % clock_rates.size());
    worker_environment environment{
        m_store, m_links, m_check, m_lost, m_customers, m_gangs, m_log, m_worker_calls, [this] {
            for (const auto& w : m_workers) {
                w->advance();
            }
        }};
    m_workers.push_back(std::make_unique<leased_worker>(environment, settings));
    for (const auto& n : m_nodes) {
        m_worker_links.push_back(
            std::make_unique<worker_link>(*m_workers.back(), n->id, take_worker_port()));
    }
    listen(*m_workers.back());
}

// Addresses of workers that have left are used again, as the platform may do, so that a long run
// does not use up the ports.
std::uint16_t soak_cluster::take_worker_port() {
    if (m_free_worker_ports.empty()) {
        return m_ports.take();
    }
    const auto port = m_free_worker_ports.back();
    m_free_worker_ports.pop_back();
    return port;
}

void soak_cluster::remove_worker(leased_worker& worker) {
    worker.leave(worker.is_up() && worker.has_drained());
    crash_worker(worker);
    const auto position = std::find_if(m_workers.begin(), m_workers.end(),
                                       [&](const auto& w) { return w.get() == &worker; });
    m_left_workers.push_back(std::move(*position));
    m_workers.erase(position);
}

// Entries name the address until they end.
void soak_cluster::release_worker_ports() {
    std::erase_if(m_worker_links, [&](const auto& link) {
        if (!link->worker().has_left() || link->worker().is_listed()) {
            return false;
        }
        m_free_worker_ports.push_back(link->address().port);
        return true;
    });
}

void soak_cluster::remove_drained_workers() {
    std::vector<leased_worker*> drained;
    for (const auto& w : m_workers) {
        if (w->has_drained()) {
            drained.push_back(w.get());
        }
    }
    for (auto* const worker : drained) {
        remove_worker(*worker);
    }
}

void soak_cluster::listen(const leased_worker& worker) {
    for (const auto& link : m_worker_links) {
        if (&link->worker() == &worker) {
            link->listen(m_loop);
        }
    }
}

void soak_cluster::crash_worker(leased_worker& worker) {
    worker.crash();
    for (const auto& link : m_worker_links) {
        if (&link->worker() == &worker) {
            link->close();
        }
    }
}

void soak_cluster::restart_worker(leased_worker& worker) {
    worker.restart();
    listen(worker);
}

void soak_cluster::write_settings(const node& n) const {
    std::ofstream file(m_options.record + "/" + n.id + ".yaml");
    file << "id: \"" << n.id << "\"\ndata_centre: \"z1\"\ncallers: \"" << net::to_string(n.callers)
         << "\"\nreadiness: \"" << net::to_string(n.readiness) << "\"\naddress: \"" << loopback
         << "\"\npeer_port: " << n.peers.port << "\nstore: \"" << loopback << ":"
         << n.store_server->port() << "\"\nadvice: \"" << loopback << ":" << n.advice_server->port()
         << "\"\n"
         << "lease_ms: 6000\ncancel_bound_ms: 3000\ndrain_bound_ms: 2500\n"
         << "min_store_lease_ms: 1000\nstop_grace_s: 6\nstate_retention_s: 120\n"
         << "cpu_share: 0.25\nlink_mbps: 1000.0\n";
}

void soak_cluster::write_configuration() {
    json::object route{{"name", "r-valves"},     {"host", queue_host},
                       {"prefix", queue_prefix}, {"kind", "non_idempotent"},
                       {"timeout_ms", 3000},     {"target_duration_ms", 1200},
                       {"priority", 1},          {"service", service_name},
                       {"max_attempts", 3},      {"slack_factor", 2.2}};
    if (m_options.customers > 0) {
        route["public"] = false;
    }
    json::object gang_route = route;
    gang_route["name"] = "r-trains";
    gang_route["prefix"] = gang_prefix;
    gang_route["advice"] = json::object{{"decide_ms", advice_decide_ms},
                                        {"each_ms", advice_each_ms},
                                        {"valid_ms", ticket_valid_ms}};
    const json::object service{
        {"name", service_name}, {"health_path", "/healthz"},  {"max_conns", 64}, {"protocol", "h1"},
        {"tls", false},         {"enforces_capacity", false}, {"standby", false}};
    json::object configuration{{"version", m_configuration_version++},
                               {"routes", json::array{route, gang_route}},
                               {"services", json::array{service}},
                               {"limits", json::object()}};
    if (m_options.customers > 0) {
        configuration["tenants"] = tenants();
    }
    m_store.put("op/config", json::serialize(configuration));
}

json::array soak_cluster::tenants() const {
    json::array rows;
    for (const auto& customer : m_customers.all()) {
        const auto tasks = static_cast<std::int64_t>(customer.cap);
        rows.push_back(json::object{{"name", customer.name},
                                    {"api_keys", json::array{customer.key}},
                                    {"weight", 20},
                                    {"cap", json::object{{"cpu", tasks * task_cpu},
                                                         {"mem_mb", tasks * task_memory_mb},
                                                         {"gpu", 0}}}});
    }
    return rows;
}

void soak_cluster::change_customer(common::rng& random) {
    if (m_customers.all().empty()) {
        return;
    }
    const auto customer = random.below(m_customers.all().size());
    const auto cap = min_cap + random.below(cap_range);
    m_customers.change(customer, cap, now_ms());
    write_configuration();
    m_log.write(m_customers.all()[customer].name + " gets a cap of " + std::to_string(cap) +
                " tasks and another key");
}

void soak_cluster::start() {
    for (const auto& n : m_nodes) {
        start_node(n->id);
    }
    wait_ready();
}

void soak_cluster::wait_ready() {
    process_test::http_caller http;
    const auto until = now_ms() + start_timeout_ms;
    for (const auto& n : m_nodes) {
        while (http.get(n->readiness, "/v1/readyz").status != 200) {
            if (now_ms() > until || !n->process->running()) {
                throw cluster_error(n->id + " is not ready; log:\n" + n->process->log());
            }
            std::this_thread::sleep_for(ready_poll);
        }
    }
    while (!owner()) {
        if (now_ms() > until) {
            throw cluster_error("no node has become the owner");
        }
        std::this_thread::sleep_for(ready_poll);
    }
}

void soak_cluster::start_clients() {
    workload tasks;
    tasks.host = queue_host;
    tasks.prefix = queue_prefix;
    workload gangs = tasks;
    gangs.prefix = gang_prefix;
    gangs.max_work_ms = 6000;
    gangs.max_open_jobs = 4;
    gangs.min_gang = 4;
    gangs.max_gang = 8;
    gangs.failing_share = 0.25;
    gangs.max_failed_runs = 3;
    gangs.first_id = gang_ids;
    on_loop([&] {
        add_clients(tasks, m_options.clients);
        add_clients(gangs, 1);
    });
}

void soak_cluster::add_clients(const workload& work, std::size_t clients) {
    std::vector<net::endpoint> nodes;
    for (const auto& n : m_nodes) {
        nodes.push_back(n->callers);
    }
    m_job_clients.push_back(std::make_unique<job_clients>(m_loop, m_lost, m_customers, nodes, work,
                                                          clients, m_options.seed));
    m_job_clients.back()->start();
}

void soak_cluster::stop_clients() {
    on_loop([this] {
        for (const auto& clients : m_job_clients) {
            clients->stop();
        }
    });
}

std::size_t soak_cluster::accepted_jobs() const {
    std::size_t sum = 0;
    for (const auto& clients : m_job_clients) {
        sum += clients->accepted();
    }
    return sum;
}

void soak_cluster::watch_calm(const std::atomic<bool>& is_stopped) {
    const auto from = now_ms() + calm_ms;
    std::vector<std::string> open;
    on_loop([&] {
        m_watch_from_ms = from;
        open = m_lost.open_jobs();
    });
    while (!open.empty() && now_ms() < from + watch_ms && !is_stopped) {
        std::this_thread::sleep_for(ready_poll);
        on_loop([&] { open = m_lost.open_jobs(); });
    }
    for (const auto& job : open) {
        m_log.write("open at the end: " + job);
    }
}

// The rule counts only while under half of the processors are in use.
std::size_t soak_cluster::places_for(const std::string& job) const {
    std::size_t free = 0;
    std::int64_t used_cpu = 0;
    std::int64_t cpu = 0;
    const bool needs_tickets = m_lost.tasks_of(job) > 1;
    for (const auto& w : m_workers) {
        if (!w->is_up()) {
            continue;
        }
        cpu += w->cpu();
        used_cpu += static_cast<std::int64_t>(w->runs()) * task_cpu;
        if (!needs_tickets || is_admitted(job + ".0.0", w->id())) {
            free += w->free_places();
        }
    }
    return 2 * used_cpu < cpu && m_customers.is_far_below_cap(job) ? free : 0;
}

void soak_cluster::on_loop(const std::function<void()>& function) {
    std::promise<void> done;
    m_loop.post([&] {
        try {
            function();
            done.set_value();
        } catch (...) {
            done.set_exception(std::current_exception());
        }
    });
    done.get_future().get();
}

std::optional<std::string> soak_cluster::owner() {
    std::string value;
    on_loop([&] { value = m_store.value_of(std::string(owner_key)); });
    if (value.empty()) {
        return std::nullopt;
    }
    return json::value_to<std::string>(json::parse(value).at("node"));
}

std::vector<std::string> soak_cluster::node_ids() const {
    std::vector<std::string> ids;
    for (const auto& n : m_nodes) {
        ids.push_back(n->id);
    }
    return ids;
}

soak_cluster::node& soak_cluster::node_of(const std::string& id) {
    for (const auto& n : m_nodes) {
        if (n->id == id) {
            return *n;
        }
    }
    throw cluster_error("there is no node " + id);
}

bool soak_cluster::is_running(const std::string& id) {
    return node_of(id).process->running();
}

void soak_cluster::signal_node(const std::string& id, int signal) {
    node_of(id).process->send_signal(signal);
}

void soak_cluster::kill_node(const std::string& id) {
    node_of(id).process->kill();
}

// Each process has a log of its own, so that a restart keeps the log of the former one.
void soak_cluster::start_node(const std::string& id) {
    auto& n = node_of(id);
    const auto file = m_options.record + "/" + id + "." + std::to_string(++n.starts) + ".log";
    const std::vector<std::string> arguments{"--config", m_options.record + "/" + id + ".yaml"};
    n.process = std::make_unique<process_test::child_process>(m_options.program, arguments, file);
    m_log.write("node " + id + " starts");
}

void soak_cluster::tick(std::int64_t due_ms) {
    const auto now = now_ms();
    m_max_delay_ms = std::max(m_max_delay_ms, now - due_ms);
    m_store.advance(now);
    for (const auto& w : m_workers) {
        w->tick();
    }
    for (const auto& w : m_left_workers) {
        w->tick();
    }
    remove_drained_workers();
    release_worker_ports();
    if (m_watch_from_ms && now >= *m_watch_from_ms) {
        m_lost.watch([this](const std::string& job) { return places_for(job); }, now);
    }
    log_new_violations(m_check.violations(), m_logged_twice);
    log_new_violations(m_lost.violations(), m_logged_lost);
    log_new_violations(m_customers.violations(), m_logged_customers);
    const auto next = now + tick_period.count();
    m_loop.post_after(tick_period, [this, next] { tick(next); });
}

void soak_cluster::log_new_violations(const std::vector<std::string>& violations,
                                      std::size_t& logged) {
    for (; logged < violations.size(); ++logged) {
        m_log.write("VIOLATION: " + violations[logged]);
    }
}

} // namespace buckthornspar::soak
