#include "soak/job_clients.h"

#include "core/net/event_loop.h"
#include "soak/customer_check.h"
#include "soak/lost_check.h"
#include "soak/soak_log.h"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <sstream>
#include <utility>

namespace buckthornspar::soak {

namespace json = boost::json;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds response_deadline{3000};
constexpr milliseconds retry_delay{300};
constexpr milliseconds late_repeat_delay{2000};
constexpr int max_attempts = 8;
constexpr std::uint64_t min_pause_ms = 40;
constexpr std::uint64_t pause_range_ms = 160;
constexpr double late_repeat_share = 0.06;
/// Share of the answers with a final state after which the job is asked for again.
constexpr double asked_again_share = 0.3;
constexpr double unknown_key_share = 0.05;
constexpr std::uint64_t first_id = 0x5c0e'0000'0000'0000U;

std::string job_id(std::uint64_t number) {
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << number;
    return text.str();
}

unsigned status_of(const net::http_result& result) {
    const auto* const response = std::get_if<net::http_response>(&result);
    return response == nullptr ? 0 : response->status;
}

// A node may not know a new key for some seconds.
bool is_repeated(unsigned status) {
    return status == 0 || status == 401 || status == 429 || status == 502 || status == 503 ||
           status == 504;
}

std::string state_in(const net::http_response& response) {
    return json::value_to<std::string>(json::parse(response.body).at("state"));
}

bool is_final(const std::string& state) {
    return state == "completed" || state == "failed" || state == "cancelled";
}

} // namespace

struct job_clients::client {
    common::rng random;
    std::size_t node;
    std::size_t customer;
    std::vector<std::string> open;
};

struct job_clients::submission {
    std::string id;
    std::string body;
    std::size_t tasks = 1;
    int attempts = 0;
};

job_clients::job_clients(net::event_loop& loop, lost_check& check, customer_check& customers,
                         std::vector<net::endpoint> nodes, workload work, std::size_t clients,
                         std::uint64_t seed)
    : m_loop(loop),
      m_check(check),
      m_customers(customers),
      m_http(loop, {}),
      m_nodes(std::move(nodes)),
      m_work(std::move(work)),
      m_next_id(first_id + m_work.first_id + (seed << 24U)) {
    for (std::size_t i = 0; i < clients; ++i) {
        const auto customer = i % std::max<std::size_t>(1, m_customers.all().size());
        m_clients.push_back(std::make_unique<client>(
            client{common::rng(seed * 1000 + i), i % m_nodes.size(), customer, {}}));
    }
}

job_clients::~job_clients() = default;

void job_clients::start() {
    for (const auto& c : m_clients) {
        step(*c);
    }
}

void job_clients::step_later(client& c) {
    const auto pause = milliseconds(min_pause_ms + c.random.below(pause_range_ms));
    m_loop.post_after(pause, [this, &c] { step(c); });
}

void job_clients::step(client& c) {
    const bool full = m_stopped || c.open.size() >= m_work.max_open_jobs;
    if (!m_customers.all().empty() && c.random.chance(unknown_key_share)) {
        call_with_unknown_key(c);
    } else if (!c.open.empty() && (full || c.random.chance(0.5))) {
        ask_state(c);
    } else if (full) {
        step_later(c);
    } else {
        submit(c, new_job(c));
    }
}

std::shared_ptr<job_clients::submission> job_clients::new_job(client& c) {
    const auto range = static_cast<std::uint64_t>(m_work.max_work_ms - m_work.min_work_ms + 1);
    const auto work = m_work.min_work_ms + static_cast<std::int64_t>(c.random.below(range));
    auto spec = "work_ms=" + std::to_string(work);
    if (c.random.chance(m_work.failing_share)) {
        const auto runs = m_work.max_failed_runs > 1 ? c.random.below(m_work.max_failed_runs) : 0;
        spec += ";fails=" + std::to_string(1 + runs);
    }
    std::size_t tasks = 1;
    json::object step{{"cpu", task_cpu}, {"mem_mb", task_memory_mb}, {"estimate_ms", work}};
    if (m_work.max_gang > 0) {
        tasks = m_work.min_gang + c.random.below(m_work.max_gang - m_work.min_gang + 1);
        spec += ";gang=" + std::to_string(tasks);
        step["gang"] = true;
    }
    step["count"] = tasks;
    const json::object body{{"spec", spec}, {"steps", json::array{std::move(step)}}};
    return std::make_shared<submission>(
        submission{job_id(++m_next_id), json::serialize(body), tasks});
}

void job_clients::submit(client& c, const std::shared_ptr<submission>& job) {
    if (!m_customers.all().empty()) {
        m_customers.submit(job->id, c.customer);
    }
    call(c, net::http_method::post, job->id, job->body, key_of(c),
         [this, &c, job](const net::http_result& result) {
             on_submitted(c, job, status_of(result));
         });
}

void job_clients::on_submitted(client& c, const std::shared_ptr<submission>& job, unsigned status) {
    if (is_repeated(status) && ++job->attempts < max_attempts && !m_stopped) {
        c.node = (c.node + 1) % m_nodes.size();
        m_loop.post_after(retry_delay, [this, &c, job] { submit(c, job); });
        return;
    }
    if (status == 200) {
        ++m_accepted;
        m_check.accept(job->id, job->tasks, now_ms());
        c.open.push_back(job->id);
        repeat_late(c, job);
    }
    step_later(c);
}

// Such a repeat may arrive seconds after the response; it must remain one job.
void job_clients::repeat_late(client& c, const std::shared_ptr<submission>& job) {
    if (!c.random.chance(late_repeat_share)) {
        return;
    }
    m_loop.post_after(late_repeat_delay, [this, &c, job] {
        call(c, net::http_method::post, job->id, job->body, key_of(c),
             [](const net::http_result&) {});
    });
}

void job_clients::ask_state(client& c) {
    const auto id = c.open[c.random.below(c.open.size())];
    call(c, net::http_method::get, id, "", key_of(c),
         [this, &c, id](const net::http_result& result) {
             on_state(c, id, result);
             step_later(c);
         });
}

void job_clients::on_state(client& c, const std::string& id, const net::http_result& result) {
    const auto* const response = std::get_if<net::http_response>(&result);
    if (response == nullptr) {
        c.node = (c.node + 1) % m_nodes.size();
        return;
    }
    if (response->status == 410) {
        m_check.show_unknown(id, now_ms());
    }
    if (response->status != 200) {
        return;
    }
    const auto state = state_in(*response);
    m_check.show(id, state, now_ms());
    if (is_final(state) && !c.random.chance(asked_again_share)) {
        ++m_ended;
        std::erase(c.open, id);
    }
}

void job_clients::call_with_unknown_key(client& c) {
    const auto job = new_job(c);
    call(c, net::http_method::post, job->id, job->body, c.random.chance(0.5) ? "" : "no such key",
         [this, &c](const net::http_result& result) {
             m_customers.answer_to_unknown_key(status_of(result));
             step_later(c);
         });
}

std::string job_clients::key_of(const client& c) const {
    return m_customers.all().empty() ? std::string() : m_customers.all()[c.customer].key;
}

void job_clients::call(client& c, net::http_method method, const std::string& id,
                       const std::string& body, const std::string& key,
                       const net::http_completion& complete) {
    net::http_request request;
    request.method = method;
    request.target = m_work.prefix + id;
    request.body = body;
    request.fields.set("Host", m_work.host);
    request.fields.set("Buckthornspar-Deadline-Ms", std::to_string(response_deadline.count()));
    if (!key.empty()) {
        request.fields.set("Buckthornspar-Key", key);
    }
    if (!body.empty()) {
        request.fields.set("Content-Type", "application/json");
    }
    m_http.send(m_nodes[c.node], std::move(request), response_deadline, complete);
}

} // namespace buckthornspar::soak
