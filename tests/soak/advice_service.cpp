#include "soak/advice_service.h"

#include "core/net/event_loop.h"
#include "soak/link_board.h"
#include "soak/soak_log.h"
#include "wire_json.h"

#include <chrono>
#include <utility>

namespace buckthornspar::soak {

namespace json = boost::json;

namespace {

constexpr std::size_t max_waiting = 32;
constexpr std::size_t max_named = 100;
/// One of so many workers may run a step.
constexpr std::uint32_t admitted_one_in = 2;

/// A ticket is this text and the end of its validity.
std::string ticket_prefix(const std::string& step, const std::string& worker, std::int64_t born) {
    return step + "/" + worker + "/" + std::to_string(born) + "/";
}

} // namespace

// FNV-1a, so that a seed admits the same workers with every standard library. The last step spreads
// the ids of the workers, which differ in their ends only.
bool is_admitted(const std::string& step, const std::string& worker) {
    std::uint32_t hash = 2'166'136'261U;
    for (const auto c : ticket_prefix(step, worker, 0)) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 16'777'619U;
    }
    hash = (hash ^ (hash >> 15U)) * 2'246'822'507U;
    return (hash >> 16U) % admitted_one_in == 0;
}

bool is_valid_ticket(const std::string& ticket, const std::string& step, const std::string& worker,
                     std::int64_t born_ms) {
    const auto prefix = ticket_prefix(step, worker, born_ms);
    return ticket.starts_with(prefix) && now_ms() <= std::stoll(ticket.substr(prefix.size()));
}

void advice_service::handle(net::http_request request, net::http_reply reply) {
    if (m_links.is_cut(m_node, "advice")) {
        m_links.hold(m_node, "advice", std::move(reply));
        return;
    }
    const auto body = platform::parse_body(request.body);
    call added{platform::text_of(body, "step"),
               json::value_to<std::vector<std::string>>(body.at("workers")),
               m_links.guard(m_node, "advice", std::move(reply))};
    if (request.path() != "/v1/advise" || added.workers.size() > max_named) {
        added.reply(net::json_response(400, "{}"));
    } else if (m_calls.size() > max_waiting) {
        added.reply(net::json_response(429, "{}"));
    } else {
        m_calls.push_back(std::move(added));
        if (m_calls.size() == 1) {
            decide_next();
        }
    }
}

void advice_service::decide_next() {
    const auto named = static_cast<std::int64_t>(m_calls.front().workers.size());
    m_loop.post_after(std::chrono::milliseconds(advice_decide_ms + advice_each_ms * named),
                      [this] { answer(); });
}

void advice_service::answer() {
    const auto decided = std::move(m_calls.front());
    m_calls.pop_front();
    json::array granted;
    for (const auto& worker : decided.workers) {
        if (is_admitted(decided.step, worker)) {
            granted.push_back(
                json::array{worker, ticket_prefix(decided.step, worker, m_born_of(worker)) +
                                        std::to_string(now_ms() + ticket_valid_ms)});
        }
    }
    decided.reply(
        net::json_response(200, json::serialize(json::object{{"granted", std::move(granted)}})));
    if (!m_calls.empty()) {
        decide_next();
    }
}

} // namespace buckthornspar::soak
