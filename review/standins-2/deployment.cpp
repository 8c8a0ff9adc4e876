#include "deployment.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <utility>

namespace review {

namespace {

constexpr const char* host = "queues.example";
constexpr const char* service = "planner";
constexpr std::int64_t ready_limit_ms = 15'000;

/// Fills in the template: values by placeholder; lines that only open or close a section go.
std::string render(const std::string& path, const std::map<std::string, std::string>& values) {
    std::ifstream file(path);
    std::string text;
    std::string section;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("{{#")) {
            section = line.substr(3, line.find("}}") - 3);
            continue;
        }
        if (line.starts_with("{{/")) {
            continue;
        }
        for (auto open = line.find("{{"); open != std::string::npos; open = line.find("{{", open)) {
            const auto close = line.find("}}", open);
            const auto name = line.substr(open + 2, close - open - 2);
            line.replace(open, close + 2 - open, values.at(name == "." ? section : name));
        }
        text += line + "\n";
    }
    return text;
}

std::string local(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

deployment::deployment(asio::io_context& context, const std::string& record_path,
                       std::string folder)
    : m_context(context),
      m_folder(std::move(folder)),
      m_record(record_path),
      m_store(context),
      m_advice(context, [](const request&) -> awaitable<answer> {
          co_return json_answer(200, {{"granted", json::array()}});
      }) {
    m_advice.open();
    asio::co_spawn(m_context, m_store.expire_leases(), asio::detached);
}

deployment::~deployment() {
    for (const auto& n : m_nodes) {
        if (n.process > 0) {
            kill(n.process, SIGKILL);
            waitpid(n.process, nullptr, 0);
        }
    }
}

void deployment::add_runners(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
        runner_settings settings;
        settings.service = service;
        settings.zone = "rafaela";
        settings.kind = "a";
        settings.rack = "r1-" + std::to_string(1 + i / 8);
        m_runners.push_back(
            std::make_unique<runner>(m_context, m_store, m_record, m_gangs, settings));
        asio::co_spawn(m_context, m_runners.back()->work(), asio::detached);
    }
}

void deployment::write_configuration() {
    json::array routes;
    for (const auto& q : m_queues) {
        routes.push_back(json::object{{"name", q.name},
                                      {"host", host},
                                      {"prefix", q.prefix},
                                      {"kind", "non_idempotent"},
                                      {"timeout_ms", 3000},
                                      {"target_duration_ms", 1200},
                                      {"priority", q.priority},
                                      {"service", service},
                                      {"max_attempts", q.max_attempts},
                                      {"slack_factor", 2.2}});
    }
    const json::object served{
        {"name", service}, {"health_path", "/healthz"},  {"max_conns", 64}, {"protocol", "h1"},
        {"tls", false},    {"enforces_capacity", false}, {"standby", false}};
    m_store.put("op/config", json::serialize(json::object{{"version", 7},
                                                          {"routes", routes},
                                                          {"services", json::array{served}},
                                                          {"limits", json::object()}}));
}

std::string deployment::settings_of(const node& added) const {
    // The bounds and limits of the small site.
    return render("deploy/node.yaml", {{"node", added.id},
                                       {"zone", "rafaela"},
                                       {"listen.frontend", local(added.callers)},
                                       {"listen.readiness", local(added.readiness)},
                                       {"ip", "127.0.0.1"},
                                       {"internal_ports.0", std::to_string(added.peers)},
                                       {"platform.address", local(m_store.port())},
                                       {"advice", local(m_advice.port())},
                                       {"bounds.hold_max_ms", "6000"},
                                       {"bounds.cancel_ms", "3000"},
                                       {"bounds.drain_ms", "2500"},
                                       {"platform.ttl_min_ms", "1000"},
                                       {"bounds.grace_s", "6"},
                                       {"bounds.status_s", "120"},
                                       {"limits.cpu_share", "0.25"},
                                       {"limits.link_mbps", "1000.0"},
                                       {"limits.memory_mb", "260"},
                                       {"platform.value_bytes", "1048576"}});
}

void deployment::start_process(node& added) {
    const auto settings = m_folder + "/" + added.id + ".yaml";
    std::ofstream(settings) << settings_of(added);
    const auto log = m_folder + "/" + added.id + ".log";
    std::string program = "target/bin/buckthornspar-node";
    std::string option = "--config";
    std::string path = settings;
    char* arguments[] = {program.data(), option.data(), path.data(), nullptr};
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    // A node must not keep the ports of stand-ins open.
    posix_spawn_file_actions_addclosefrom_np(&files, 3);
    if (posix_spawn(&added.process, program.c_str(), &files, nullptr, arguments, environ) != 0) {
        added.process = 0;
    }
    posix_spawn_file_actions_destroy(&files);
    m_record.write("node " + added.id + " starts");
}

awaitable<bool> deployment::start(std::size_t nodes) {
    write_configuration();
    for (std::size_t i = 1; i <= nodes; ++i) {
        m_nodes.push_back(
            {"edge-rafaela-" + std::to_string(i), free_port(), free_port(), free_port()});
    }
    for (auto& n : m_nodes) {
        start_process(n);
    }
    const auto until = now_ms() + ready_limit_ms;
    for (const auto& n : m_nodes) {
        while ((co_await call(n.readiness, http::verb::get, "/v1/readyz", {}, "", 500)).status !=
               200) {
            if (now_ms() > until) {
                co_return false;
            }
            co_await pause_ms(50);
        }
    }
    while (owner() == nullptr) {
        if (now_ms() > until) {
            co_return false;
        }
        co_await pause_ms(50);
    }
    co_await pause_ms(2000);
    co_return true;
}

runner* deployment::runner_of(const std::string& task) {
    for (const auto& r : m_runners) {
        if (r->is_up() && r->runs(task)) {
            return r.get();
        }
    }
    return nullptr;
}

node* deployment::owner() {
    const auto key = answer{200, m_store.value_of("bts/a/owner")}.object();
    for (auto& n : m_nodes) {
        if (n.id == text_of(key, "node")) {
            return &n;
        }
    }
    return nullptr;
}

awaitable<answer> deployment::send(const node& target, http::verb method, const std::string& path,
                                   std::string body, std::int64_t limit_ms) {
    const std::string line = std::string(http::to_string(method)) + " " + path;
    m_record.write("client sends " + line + " to " + target.id + " " + body);
    const std::map<std::string, std::string> fields{{"Host", host},
                                                    {"Buckthornspar-Deadline-Ms", "3000"}};
    auto result = co_await call(target.callers, method, path, fields, std::move(body), limit_ms);
    m_record.write("client gets " + std::to_string(result.status) + " " + result.body + " for " +
                   line);
    co_return result;
}

int run_scenario(int argc, char** argv,
                 const std::function<awaitable<int>(deployment&, bool trouble)>& scenario) {
    if (argc != 4) {
        std::cerr << "usage: " << argv[0] << " RECORD FOLDER TROUBLE\n";
        return 2;
    }
    const bool trouble = std::string(argv[3]) != "0";
    int code = 2;
    try {
        asio::io_context context;
        deployment cluster(context, argv[1], argv[2]);
        // The nodes end with the deployment, also when the case is ended from outside.
        asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&](beast::error_code, int) { context.stop(); });
        asio::co_spawn(context, scenario(cluster, trouble),
                       [&](const std::exception_ptr& failure, int result) {
                           code = failure ? 2 : result;
                           if (failure) {
                               try {
                                   std::rethrow_exception(failure);
                               } catch (const std::exception& e) {
                                   cluster.log().write(std::string("failed: ") + e.what());
                               }
                           }
                           context.stop();
                       });
        context.run();
        cluster.log().write("exit code " + std::to_string(code));
    } catch (const std::exception& e) {
        std::cerr << e.what() << "\n";
        return 2;
    }
    return code;
}

} // namespace review
