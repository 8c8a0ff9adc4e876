#include "process/request_driver.h"

#include <utility>

namespace buckthornspar::process_test {

using namespace std::chrono_literals;

net::http_request to_request(const service_call& call) {
    net::http_request request;
    request.method = net::http_method::post;
    request.target = "/v1/requests/echo";
    request.fields.set("X-Request-Id", call.id);
    request.fields.set("X-Deadline-Ms", std::to_string(call.deadline_ms));
    request.fields.set("X-Idempotent", call.idempotent ? "true" : "false");
    request.fields.set("X-Caller", "test");
    request.body = call.body;
    return request;
}

request_load::request_load(cluster& c, std::size_t callers, bool idempotent, std::string only_entry)
    : m_cluster(c), m_idempotent(idempotent), m_only_entry(std::move(only_entry)) {
    for (const member* const entry : c.of_role("entry")) {
        m_ready_entries.push_back(entry->id);
    }
    if (m_only_entry.empty()) {
        m_threads.emplace_back([this] { poll_ready_entries(); });
    }
    for (std::size_t i = 0; i < callers; ++i) {
        m_threads.emplace_back([this, i] { run_caller(i); });
    }
}

request_load::~request_load() {
    (void)stop();
}

std::vector<load_result> request_load::stop() {
    m_stopped = true;
    for (auto& thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    return std::move(m_results);
}

void request_load::poll_ready_entries() {
    http_caller http;
    while (!m_stopped) {
        std::vector<std::string> ready;
        for (const member* const entry : m_cluster.of_role("entry")) {
            if (http.get(entry->http, "/readyz").status == 200) {
                ready.push_back(entry->id);
            }
        }
        {
            const std::lock_guard lock(m_mutex);
            m_ready_entries = std::move(ready);
        }
        std::this_thread::sleep_for(10ms);
    }
}

std::vector<std::string> request_load::ready_entries() {
    if (!m_only_entry.empty()) {
        return {m_only_entry};
    }
    const std::lock_guard lock(m_mutex);
    return m_ready_entries;
}

void request_load::run_caller(std::size_t number) {
    http_caller http;
    for (std::size_t i = 0; !m_stopped; ++i) {
        const auto entries = ready_entries();
        if (entries.empty()) {
            std::this_thread::sleep_for(5ms);
            continue;
        }
        load_result result;
        result.id = "load-" + m_only_entry + std::to_string(number) + "-" + std::to_string(i);
        result.body = "work_ms=10 " + result.id;
        result.entry = entries[(number + i) % entries.size()];
        const auto request = to_request({result.id, result.body, 3000, m_idempotent});
        result.answer = http.call(m_cluster.at(result.entry).http, request, 10s);
        if (result.answer.status == 0 && !result.answer.request_sent) {
            continue;
        }
        const std::lock_guard lock(m_mutex);
        m_results.push_back(std::move(result));
    }
}

} // namespace buckthornspar::process_test
