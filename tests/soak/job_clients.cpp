#include "soak/job_clients.h"

#include "core/net/event_loop.h"

#include <boost/json.hpp>

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
constexpr double failing_share = 0.1;
constexpr double late_repeat_share = 0.06;
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

bool is_repeated(unsigned status) {
    return status == 0 || status == 429 || status == 502 || status == 503 || status == 504;
}

bool is_final(const net::http_response& response) {
    if (response.status == 410) {
        return true;
    }
    if (response.status != 200) {
        return false;
    }
    const auto state = json::value_to<std::string>(json::parse(response.body).at("state"));
    return state == "completed" || state == "failed" || state == "cancelled";
}

} // namespace

struct job_clients::client {
    common::rng random;
    std::size_t node;
    std::vector<std::string> open;
};

struct job_clients::submission {
    std::string id;
    std::string body;
    int attempts = 0;
};

job_clients::job_clients(net::event_loop& loop, std::vector<net::endpoint> nodes, workload work,
                         std::size_t clients, std::uint64_t seed)
    : m_loop(loop),
      m_http(loop, {}),
      m_nodes(std::move(nodes)),
      m_work(std::move(work)),
      m_next_id(first_id + (seed << 24U)) {
    for (std::size_t i = 0; i < clients; ++i) {
        m_clients.push_back(
            std::make_unique<client>(client{common::rng(seed * 1000 + i), i % m_nodes.size(), {}}));
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
    if (m_stopped) {
        return;
    }
    const bool full = c.open.size() >= m_work.max_open_jobs;
    if (full || (!c.open.empty() && c.random.chance(0.5))) {
        ask_state(c);
        return;
    }
    submit(c, std::make_shared<submission>(submission{job_id(++m_next_id), new_job_body(c)}));
}

std::string job_clients::new_job_body(client& c) const {
    const auto range = static_cast<std::uint64_t>(m_work.max_work_ms - m_work.min_work_ms + 1);
    const auto work = m_work.min_work_ms + static_cast<std::int64_t>(c.random.below(range));
    const auto fails = c.random.chance(failing_share) ? ";fails=1" : "";
    const json::object step{{"count", 1}, {"cpu", 3000}, {"mem_mb", 3000}, {"estimate_ms", work}};
    return json::serialize(json::object{{"spec", "work_ms=" + std::to_string(work) + fails},
                                        {"steps", json::array{step}}});
}

void job_clients::submit(client& c, const std::shared_ptr<submission>& job) {
    call(c, net::http_method::post, job->id, job->body,
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
        call(c, net::http_method::post, job->id, job->body, [](const net::http_result&) {});
    });
}

void job_clients::ask_state(client& c) {
    const auto id = c.open[c.random.below(c.open.size())];
    call(c, net::http_method::get, id, "", [this, &c, id](const net::http_result& result) {
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
    if (is_final(*response)) {
        ++m_ended;
        std::erase(c.open, id);
    }
}

void job_clients::call(client& c, net::http_method method, const std::string& id,
                       const std::string& body, const net::http_completion& complete) {
    net::http_request request;
    request.method = method;
    request.target = m_work.prefix + id;
    request.body = body;
    request.fields.set("Host", m_work.host);
    request.fields.set("Buckthornspar-Deadline-Ms", std::to_string(response_deadline.count()));
    if (!body.empty()) {
        request.fields.set("Content-Type", "application/json");
    }
    m_http.send(m_nodes[c.node], std::move(request), response_deadline, complete);
}

} // namespace buckthornspar::soak
