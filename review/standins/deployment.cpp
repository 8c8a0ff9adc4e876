#include "deployment.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int deadline_ms = 3000;
constexpr int attempts = 5;
constexpr std::int64_t grace_ms = 6000;
constexpr int max_descriptors = 4096;

std::string program() {
    const char* const path = std::getenv("NODE_PROGRAM");
    return path == nullptr ? "target/bin/buckthornspar-node" : path;
}

} // namespace

node::node(std::string id, std::uint16_t store_port, std::string folder, record& out)
    : m_id(std::move(id)),
      m_store_port(store_port),
      m_folder(std::move(folder)),
      m_record(out),
      m_callers(free_port()),
      m_readiness(free_port()),
      m_peers(free_port()) {
    write_settings();
}

node::~node() {
    if (running()) {
        kill();
    }
}

void node::write_settings() const {
    const std::string ip = "127.0.0.1:";
    std::ofstream file(m_folder + "/" + m_id + ".yaml");
    file << "id: \"" << m_id << "\"\ndata_centre: \"z1\"\n"
         << "callers: \"" << ip << m_callers << "\"\nreadiness: \"" << ip << m_readiness << "\"\n"
         << "address: \"127.0.0.1\"\npeer_port: " << m_peers << "\n"
         << "store: \"" << ip << m_store_port << "\"\nadvice: \"\"\n"
         << "lease_ms: 6000\ncancel_bound_ms: 3000\ndrain_bound_ms: 2500\n"
         << "min_store_lease_ms: 1000\nstop_grace_s: 6\nstate_retention_s: 120\n"
         << "cpu_share: 0.25\nlink_mbps: 1000.0\n";
}

void node::start() {
    const auto log = m_folder + "/" + m_id + ".log";
    const auto settings = m_folder + "/" + m_id + ".yaml";
    const auto path = program();
    m_process = ::fork();
    if (m_process == 0) {
        // Ends with this program, also when that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, 1);
        ::dup2(file, 2);
        // The sockets of the stand-ins must not stay open in the node.
        for (int inherited = 3; inherited < max_descriptors; ++inherited) {
            ::close(inherited);
        }
        ::execl(path.c_str(), path.c_str(), "--config", settings.c_str(), nullptr);
        ::_exit(127);
    }
    m_record.write("node " + m_id + " starts");
}

void node::signal(int number) {
    if (m_process > 0) {
        ::kill(m_process, number);
    }
}

void node::kill() {
    if (m_process <= 0) {
        return;
    }
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
    m_process = 0;
    m_record.write("node " + m_id + " is killed");
}

void node::terminate() {
    m_record.write("node " + m_id + " gets SIGTERM");
    signal(SIGTERM);
    const auto until = now_ms() + grace_ms;
    while (now_ms() < until) {
        if (!running()) {
            m_record.write("node " + m_id + " has ended");
            return;
        }
        sleep_ms(20);
    }
    kill();
}

bool node::running() {
    if (m_process <= 0) {
        return false;
    }
    if (::waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_process = 0;
        return false;
    }
    return true;
}

bool node::ready() const {
    const auto answer = call(m_readiness, http::verb::get, "/v1/readyz", "", "127.0.0.1", 1000);
    return answer && answer->status == 200;
}

std::size_t node::resident_mb() const {
    if (m_process <= 0) {
        return 0;
    }
    std::ifstream file("/proc/" + std::to_string(m_process) + "/statm");
    std::size_t size = 0;
    std::size_t resident = 0;
    file >> size >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) / 1'000'000;
}

deployment::deployment(std::size_t node_count, std::size_t runner_count)
    : out("record.txt"), log(out) {
    std::signal(SIGPIPE, SIG_IGN);
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    m_folder = ::mkdtemp(pattern.data());
    for (std::size_t i = 0; i < runner_count; ++i) {
        runners.push_back(
            std::make_unique<runner>("i-" + std::to_string(1000 + i), service, platform, log, out));
    }
    for (std::size_t i = 0; i < node_count; ++i) {
        nodes.push_back(std::make_unique<node>("edge-" + std::to_string(i + 1), platform.port(),
                                               m_folder, out));
    }
}

deployment::~deployment() {
    nodes.clear();
    if (std::getenv("KEEP_LOGS") != nullptr) {
        std::cerr << "logs: " << m_folder << '\n';
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void deployment::configure(unsigned version, const std::vector<queue>& queues) {
    json::array routes;
    for (const auto& q : queues) {
        routes.push_back(json::object{{"name", q.name},
                                      {"host", q.host},
                                      {"prefix", q.prefix},
                                      {"kind", "non_idempotent"},
                                      {"timeout_ms", 3000},
                                      {"target_duration_ms", 1200},
                                      {"priority", 1},
                                      {"service", service},
                                      {"max_attempts", q.max_attempts},
                                      {"slack_factor", 2.2}});
    }
    json::array services{json::object{{"name", service},
                                      {"health_path", "/healthz"},
                                      {"max_conns", 64},
                                      {"protocol", "h1"},
                                      {"tls", false},
                                      {"enforces_capacity", false},
                                      {"standby", false}}};
    platform.put("op/config", json::serialize(json::object{{"version", version},
                                                           {"routes", std::move(routes)},
                                                           {"services", std::move(services)},
                                                           {"limits", json::object()}}));
    out.write("operator writes configuration " + std::to_string(version) + " with " +
              std::to_string(queues.size()) + " routes; acknowledged");
}

void deployment::start() {
    for (const auto& n : nodes) {
        n->start();
    }
    const auto until = now_ms() + 10'000;
    for (const auto& n : nodes) {
        while (!n->ready()) {
            if (now_ms() > until || !n->running()) {
                cannot_run(*this, "node " + n->id() + " is not ready");
            }
            sleep_ms(50);
        }
    }
    while (owner() == nullptr) {
        if (now_ms() > until) {
            cannot_run(*this, "no node has become the owner");
        }
        sleep_ms(50);
    }
    out.write("all nodes are ready");
}

std::optional<response> deployment::ask(http::verb method, const queue& at, const std::string& id,
                                        const std::string& body, int timeout_ms) {
    const auto& to = *nodes[m_next_node++ % nodes.size()];
    auto answer = call(to.callers(), method, at.prefix + id, body, at.host, timeout_ms);
    std::ostringstream line;
    line << "client " << std::string(http::to_string(method)) << " " << at.prefix << id << " at "
         << to.id() << ": " << (answer ? std::to_string(answer->status) : "no answer");
    if (answer && method == http::verb::get) {
        line << " " << answer->body;
    }
    out.write(line.str());
    return answer;
}

unsigned deployment::submit(const queue& to, const std::string& id, const std::string& body) {
    unsigned status = 0;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const auto answer = ask(http::verb::post, to, id, body, deadline_ms);
        status = answer ? answer->status : 0;
        const bool again =
            status == 0 || status == 429 || status == 502 || status == 503 || status == 504;
        if (!again) {
            return status;
        }
        sleep_ms(300);
    }
    return status;
}

std::string deployment::state_of(const queue& at, const std::string& id) {
    const auto answer = ask(http::verb::get, at, id, "", deadline_ms);
    if (!answer) {
        return "no answer";
    }
    if (answer->status != 200) {
        return "status " + std::to_string(answer->status);
    }
    return json::value_to<std::string>(json::parse(answer->body).at("state"));
}

unsigned deployment::cancel(const queue& at, const std::string& id) {
    const auto answer = ask(http::verb::delete_, at, id, "", deadline_ms);
    return answer ? answer->status : 0;
}

node* deployment::owner() {
    const auto value = platform.value_of("bts/a/owner");
    if (value.empty()) {
        return nullptr;
    }
    const auto id = json::value_to<std::string>(json::parse(value).at("node"));
    for (const auto& n : nodes) {
        if (n->id() == id) {
            return n.get();
        }
    }
    return nullptr;
}

bool with_trouble() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string job_id(std::uint64_t number) {
    std::ostringstream text;
    text << std::hex << (0x5c0e7a2100000000ULL + number);
    return text.str();
}

void cannot_run(deployment& d, const std::string& reason) {
    d.out.write("CANNOT RUN: " + reason);
    std::cout << "cannot run: " << reason << std::endl;
    d.nodes.clear();
    std::_Exit(2);
}

int verdict(deployment& d, bool broken, const std::string& reason) {
    const std::string text = (broken ? "BROKEN: " : "HELD: ") + reason;
    d.out.write(text);
    std::cout << text << std::endl;
    return broken ? 1 : 0;
}

} // namespace review
