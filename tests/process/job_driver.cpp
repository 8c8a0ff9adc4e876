#include "process/job_driver.h"

#include <boost/json.hpp>

#include <sstream>
#include <thread>

namespace buckthornspar::process_test {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

// Epoch in a log line reporting that the process became the active owner; -1 for other lines.
std::int64_t active_epoch(const std::string& line) {
    const std::string marker = "epoch=";
    const auto position = line.find(marker);
    const bool active = line.find("ownership") != std::string::npos &&
                        line.find("state=active") != std::string::npos;
    return active && position != std::string::npos
               ? std::stoll(line.substr(position + marker.size()))
               : -1;
}

} // namespace

std::string job_request::to_json() const {
    json::object job{
        {"id", id},
        {"team", "test"},
        {"kind", kind},
        {"class", "normal"},
        {"idempotent", idempotent},
        {"tasks", tasks},
        {"run_ms", run_ms},
        {"demand", json::object{{"cpu_milli", cpu_milli}, {"memory_mb", 64}, {"accelerators", 0}}}};
    if (!region.empty()) {
        job["region"] = region;
    }
    return json::serialize(job);
}

call_result job_driver::submit(const job_request& job, const std::string& entry) {
    return m_cluster.http().post(m_cluster.at(entry).http, "/v1/jobs", job.to_json());
}

call_result job_driver::submit_repeated(const job_request& job, const std::string& entry) {
    net::http_request request;
    request.method = net::http_method::post;
    request.target = "/v1/jobs";
    request.fields.set("Content-Type", "application/json");
    request.fields.set("X-Repeat", "true");
    request.body = job.to_json();
    return m_cluster.http().call(m_cluster.at(entry).http, request);
}

call_result job_driver::submit_with_retries(const job_request& job,
                                            std::chrono::milliseconds timeout) {
    call_result result;
    (void)wait_until(
        [&] {
            result = submit(job);
            return result.status == 201 || (result.status >= 400 && result.status < 500);
        },
        timeout);
    return result;
}

call_result job_driver::cancel(const std::string& id) {
    return m_cluster.http().del(m_cluster.at("entry-1").http, "/v1/jobs/" + id);
}

call_result job_driver::status(const std::string& id) {
    return m_cluster.http().get(m_cluster.at("entry-1").http, "/v1/jobs/" + id);
}

std::string job_driver::state(const std::string& id) {
    const call_result result = status(id);
    return result.status == 200 ? result.text("state") : result.text("error.type");
}

bool job_driver::wait_state(const std::string& id, const std::string& expected,
                            std::chrono::milliseconds timeout) {
    return wait_until([&] { return state(id) == expected; }, timeout);
}

std::string job_driver::owner() {
    std::string owner;
    std::int64_t highest_epoch = -1;
    for (const member* const scheduler : m_cluster.of_role("scheduler")) {
        std::istringstream log(scheduler->process.log());
        std::string line;
        while (std::getline(log, line)) {
            const auto epoch = active_epoch(line);
            if (epoch > highest_epoch) {
                highest_epoch = epoch;
                owner = scheduler->id;
            }
        }
    }
    return owner;
}

} // namespace buckthornspar::process_test
