#include "process/cluster.h"

#include <boost/json.hpp>

#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace buckthornspar::process_test {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds ready_timeout = 20s;

bool is_server(const std::string& role) {
    return role == "entry" || role == "scheduler" || role == "config";
}

std::string numbered(const std::string& role, int number) {
    return role + "-" + std::to_string(number);
}

// Targets are spread over two racks in turn.
std::string rack_of(const std::string& id) {
    return (id.back() - '0') % 2 == 0 ? "rack-2" : "rack-1";
}

// Members are numbered from 1.
std::string region_number(const std::string& id, int regions) {
    return std::to_string((id.back() - '1') % regions + 1);
}

std::string shard_list(int regions) {
    std::string text = "shards:\n";
    for (int i = 1; i <= regions; ++i) {
        const std::string n = std::to_string(i);
        text.append("  - {id: s").append(n).append(", region: r").append(n);
        text.append(", places: [p").append(n).append("]}\n");
    }
    return text;
}

} // namespace

cluster::cluster(cluster_options options) : m_options(std::move(options)) {
    start_standin("store", "store", {});
    start_standin("list", "list", {});
    for (int i = 1; i <= m_options.workers; ++i) {
        start_standin("worker", numbered("worker", i), {"--id", numbered("worker", i)});
    }
    for (int i = 1; i <= m_options.runners; ++i) {
        start_standin(
            "runner", numbered("runner", i),
            {"--id", numbered("runner", i), "--slots", std::to_string(m_options.runner_slots)});
    }
    const std::vector<std::pair<std::string, int>> servers{{"config", m_options.configs},
                                                           {"scheduler", m_options.schedulers},
                                                           {"entry", m_options.entries}};
    for (const auto& [role, count] : servers) {
        for (int i = 1; i <= count; ++i) {
            start_server(role, numbered(role, i));
        }
    }
    publish_instances();
    wait_ready();
}

cluster::~cluster() {
    for (auto& [id, m] : m_members) {
        m.process.kill();
    }
}

member& cluster::at(const std::string& id) {
    return m_members.at(id);
}

std::vector<member*> cluster::of_role(const std::string& role) {
    std::vector<member*> found;
    for (auto& [id, m] : m_members) {
        if (m.role == role) {
            found.push_back(&m);
        }
    }
    return found;
}

void cluster::restart(const std::string& id) {
    member& m = at(id);
    m.process.kill();
    m.process = child_process("buckthornspar-" + m.role,
                              {"--config", m_directory.file(id + ".yaml")}, log_path(id));
}

void cluster::set_faults(const std::string& id, const std::string& body) {
    const auto result = m_http.post(at(id).http, "/v1/faults", body);
    if (result.status != 200) {
        throw std::runtime_error("faults of " + id + ": " + result.body + result.failure);
    }
}

void cluster::show_leaving(const std::string& id) {
    const json::object change{{"id", id}, {"state", "leaving"}};
    const auto result = m_http.post(at("list").http, "/v1/instances", json::serialize(change));
    if (result.status != 200) {
        throw std::runtime_error("list: " + result.body + result.failure);
    }
}

std::string cluster::logs() const {
    std::string text;
    for (const auto& [id, m] : m_members) {
        if (is_server(m.role)) {
            text += "\n--- " + id + "\n" + m.process.log();
        }
    }
    return text;
}

std::string cluster::log_path(const std::string& id) const {
    return m_directory.file(id + ".log");
}

void cluster::start_standin(const std::string& role, const std::string& id,
                            std::vector<std::string> arguments) {
    arguments.insert(arguments.end(), {"--listen", "127.0.0.1:0"});
    child_process process("standin-" + role, arguments, log_path(id));
    const auto address = process.wait_for_address();
    m_members.emplace(id, member{id, role, address, {}, std::move(process)});
}

void cluster::start_server(const std::string& role, const std::string& id) {
    const net::endpoint http{"127.0.0.1", m_ports.take()};
    const net::endpoint peer{"127.0.0.1", m_ports.take()};
    const std::string path = m_directory.file(id + ".yaml");
    const std::string region = region_number(id, m_options.regions);
    std::ofstream file(path);
    file << "id: " << id << "\nregion: r" << region << "\nplace: p" << region
         << "\nlisten: " << net::to_string(http) << "\npeer_listen: " << net::to_string(peer)
         << "\nstore: {address: \"" << net::to_string(at("store").http)
         << "\"}\ninstances: {address: \"" << net::to_string(at("list").http)
         << "\"}\ninstance_poll_ms: 200\nheartbeat_ms: 200\n"
         << shard_list(m_options.regions);
    const auto extra = m_options.extra_settings.find(role);
    if (extra != m_options.extra_settings.end()) {
        file << extra->second;
    }
    file.close();
    child_process process("buckthornspar-" + role, {"--config", path}, log_path(id));
    m_members.emplace(id, member{id, role, http, peer, std::move(process)});
}

void cluster::publish_instances() {
    json::array instances;
    for (const auto& [id, m] : m_members) {
        if (m.role == "store" || m.role == "list") {
            continue;
        }
        const std::string region = region_number(id, m_options.regions);
        json::object instance{{"id", id},
                              {"role", m.role},
                              {"address", net::to_string(is_server(m.role) ? m.peer : m.http)},
                              {"place", "p" + region},
                              {"region", "r" + region},
                              {"rack", rack_of(id)},
                              {"state", "live"}};
        if (m.role == "runner") {
            instance["service"] = "echo";
            instance["slots"] = m_options.runner_slots;
        }
        instances.push_back(std::move(instance));
    }
    const json::object body{{"instances", std::move(instances)}};
    const auto result = m_http.put(at("list").http, "/v1/instances", json::serialize(body));
    if (result.status != 200) {
        throw std::runtime_error("list: " + result.body + result.failure);
    }
}

void cluster::wait_ready() {
    for (const std::string role : {"config", "scheduler", "entry"}) {
        for (member* const server : of_role(role)) {
            wait_ready(*server);
        }
    }
}

void cluster::wait_ready(member& server) {
    call_result last;
    (void)wait_until(
        [&] {
            last = m_http.get(server.http, "/readyz");
            return last.status == 200 || !server.process.running();
        },
        ready_timeout);
    if (last.status != 200) {
        throw std::runtime_error(server.id + " is not ready: " + last.body + logs());
    }
}

bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout) {
    const auto give_up = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > give_up) {
            return false;
        }
        std::this_thread::sleep_for(20ms);
    }
    return true;
}

} // namespace buckthornspar::process_test
