#include "process/cluster.h"

#include <boost/json.hpp>

#include <fstream>
#include <sstream>
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

// Targets alternate between two racks.
std::string rack_of(const std::string& id) {
    return (id.back() - '0') % 2 == 0 ? "rack-2" : "rack-1";
}

std::string place_of(const std::string& region) {
    return "p" + region.substr(1);
}

} // namespace

cluster::cluster(cluster_options options) : m_options(std::move(options)) {
    start_standin("store", "store", "r1", {});
    for (int i = 1; i <= m_options.regions; ++i) {
        start_standin("list", instance_list_id(region_of(i)), region_of(i), {});
    }
    if (m_options.regions > 1) {
        start_standin("link", "link", "",
                      {"--delay-ms", std::to_string(m_options.one_way_delay_ms)});
        m_links = std::make_unique<region_links>(m_http, at("link").http);
    }
    start_targets();
    const std::vector<std::pair<std::string, int>> servers{{"config", m_options.configs},
                                                           {"scheduler", m_options.schedulers},
                                                           {"entry", m_options.entries}};
    for (const auto& [role, count] : servers) {
        for (int i = 1; i <= count; ++i) {
            start_server(role, numbered(role, i), region_of(i));
        }
    }
    for (int i = 1; i <= m_options.regions; ++i) {
        publish_instances(region_of(i));
    }
    wait_ready();
}

void cluster::start_targets() {
    for (int i = 1; i <= m_options.workers; ++i) {
        const std::string id = numbered("worker", i);
        start_standin("worker", id, region_of(i), {"--id", id});
    }
    for (int i = 1; i <= m_options.runners; ++i) {
        const std::string id = numbered("runner", i);
        start_standin("runner", id, region_of(i),
                      {"--id", id, "--slots", std::to_string(m_options.runner_slots)});
    }
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

std::vector<member*> cluster::servers_in(const std::string& region) {
    std::vector<member*> found;
    for (auto& [id, m] : m_members) {
        if (is_server(m.role) && m.region == region) {
            found.push_back(&m);
        }
    }
    return found;
}

std::string cluster::region_of(int number) const {
    return "r" + std::to_string(1 + (number - 1) % m_options.regions);
}

std::string cluster::instance_list_id(const std::string& region) const {
    return region == "r1" ? "list" : "list-" + region.substr(1);
}

net::endpoint cluster::address_from(const std::string& from, const std::string& to,
                                    const net::endpoint& target) {
    return from == to ? target : m_links->relay(from, to, target);
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
        throw std::runtime_error("cannot set faults of " + id + ": " + result.body +
                                 result.failure);
    }
}

void cluster::mark_leaving(const std::string& id) {
    const json::object change{{"id", id}, {"state", "leaving"}};
    for (const member* const list : of_role("list")) {
        const auto result = m_http.post(list->http, "/v1/instances", json::serialize(change));
        if (result.status != 200) {
            throw std::runtime_error("cannot change the instance list: " + result.body +
                                     result.failure);
        }
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
                            const std::string& region, std::vector<std::string> arguments) {
    arguments.insert(arguments.end(), {"--listen", "127.0.0.1:0"});
    child_process process("standin-" + role, arguments, log_path(id));
    const auto address = process.wait_for_address();
    m_members.emplace(id, member{id, role, region, address, {}, std::move(process)});
}

void cluster::start_server(const std::string& role, const std::string& id,
                           const std::string& region) {
    const net::endpoint http{"127.0.0.1", m_ports.take()};
    const net::endpoint peer{"127.0.0.1", m_ports.take()};
    const std::string path = m_directory.file(id + ".yaml");
    std::ofstream file(path);
    file << settings_text(id, region, http, peer);
    const auto extra = m_options.extra_settings.find(role);
    if (extra != m_options.extra_settings.end()) {
        file << extra->second;
    }
    file.close();
    child_process process("buckthornspar-" + role, {"--config", path}, log_path(id));
    m_members.emplace(id, member{id, role, region, http, peer, std::move(process)});
}

std::string cluster::settings_text(const std::string& id, const std::string& region,
                                   const net::endpoint& http, const net::endpoint& peer) {
    std::ostringstream text;
    text << "id: " << id << "\nregion: " << region << "\nplace: " << place_of(region)
         << "\nlisten: " << net::to_string(http) << "\npeer_listen: " << net::to_string(peer)
         << "\nstore: {address: \"" << net::to_string(address_from(region, "r1", at("store").http))
         << "\"}\ninstances: {address: \"" << net::to_string(at(instance_list_id(region)).http)
         << "\"}\ninstance_poll_ms: " << m_options.instance_poll_ms
         << "\nheartbeat_ms: " << m_options.heartbeat_ms << "\nshards:\n";
    for (int i = 1; i <= m_options.regions; ++i) {
        text << "  - {id: s" << i << ", region: r" << i << ", places: [p" << i << "]}\n";
    }
    return text.str();
}

void cluster::publish_instances(const std::string& region) {
    json::array instances;
    for (const auto& [id, m] : m_members) {
        if (m.role == "store" || m.role == "list" || m.role == "link") {
            continue;
        }
        const auto address = address_from(region, m.region, is_server(m.role) ? m.peer : m.http);
        json::object instance{{"id", id},
                              {"role", m.role},
                              {"address", net::to_string(address)},
                              {"place", place_of(m.region)},
                              {"region", m.region},
                              {"rack", rack_of(id)},
                              {"state", "live"}};
        if (m.role == "runner") {
            instance["service"] = "echo";
            instance["slots"] = m_options.runner_slots;
        }
        instances.push_back(std::move(instance));
    }
    const json::object body{{"instances", std::move(instances)}};
    const auto result =
        m_http.put(at(instance_list_id(region)).http, "/v1/instances", json::serialize(body));
    if (result.status != 200) {
        throw std::runtime_error("cannot change the instance list: " + result.body +
                                 result.failure);
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
    const auto timeout_at = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > timeout_at) {
            return false;
        }
        std::this_thread::sleep_for(20ms);
    }
    return true;
}

} // namespace buckthornspar::process_test
