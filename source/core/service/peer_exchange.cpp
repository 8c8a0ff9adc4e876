#include "core/service/peer_exchange.h"

#include "core/common/logging.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace buckthornspar::service {

using common::log_event;
using common::severity;
using namespace dispatch;
namespace json = boost::json;

namespace {

// A poll is held for this time while there are no changes; nodes poll again at once.
constexpr auto poll_wait = std::chrono::milliseconds(900);
constexpr auto poll_timeout = std::chrono::milliseconds(1600);
constexpr auto poll_retry = std::chrono::milliseconds(150);
// Changes are batched for this time before polls are answered. The delay grows with the number of
// nodes, so that the load on the owner stays bounded.
constexpr auto min_notify_delay = std::chrono::milliseconds(25);
constexpr auto notify_delay_per_node = std::chrono::microseconds(1500);
// A node that has not polled for this time gets no advice calls.
constexpr auto peer_timeout = std::chrono::milliseconds(2500);
// A closed port refuses a connection within the round-trip time between regions.
constexpr auto max_refusal_time = std::chrono::milliseconds(150);
// Only a node with contact within this time is used to relay store calls.
constexpr auto relay_peer_max_age = std::chrono::milliseconds(1500);
// A ticket request may have to wait for other requests of the same node.
constexpr double advice_timeout_factor = 3.0;
constexpr auto advice_timeout_slack = std::chrono::milliseconds(900);

net::http_request post(std::string path, const json::object& body) {
    return net::json_post(std::move(path), json::serialize(body));
}

json::object write_advice(const advice_result& result) {
    json::array granted;
    for (const auto& grant : result.granted) {
        granted.push_back(json::array{grant.worker, grant.ticket});
    }
    return {{"answered", result.answered}, {"busy", result.busy}, {"granted", std::move(granted)}};
}

advice_result read_advice(const net::http_result& answer) {
    advice_result result;
    const auto* const response = std::get_if<net::http_response>(&answer);
    if (response == nullptr || response->status != 200) {
        return result;
    }
    try {
        const auto value = json::parse(response->body);
        const auto& object = value.as_object();
        result.answered = object.at("answered").as_bool();
        result.busy = object.at("busy").as_bool();
        for (const auto& row : object.at("granted").as_array()) {
            result.granted.push_back({json::value_to<std::string>(row.as_array().at(0)),
                                      json::value_to<std::string>(row.as_array().at(1))});
        }
    } catch (const std::exception& e) {
        log_event(severity::warning, "peer_answer_unreadable", {{"reason", e.what()}});
        result = {};
    }
    return result;
}

common::duration advice_timeout(common::duration expected) {
    return std::chrono::duration_cast<common::duration>(expected * advice_timeout_factor) +
           advice_timeout_slack;
}

} // namespace

void peer_exchange::handle(net::http_request request, net::http_reply reply) {
    const auto path = request.path();
    try {
        if (path == "/metrics") {
            net::http_response response;
            response.fields.set("Content-Type", "text/plain");
            response.body = m_env.counters.render();
            reply(std::move(response));
        } else if (path == "/peer/changes") {
            serve_changes(request, std::move(reply));
        } else if (path == "/peer/advice") {
            serve_advice(request, std::move(reply));
        } else if (path == "/peer/store") {
            m_env.relay.serve(request, std::move(reply));
        } else {
            reply(net::error_response(404, "not_found", "no such path"));
        }
    } catch (const std::exception& e) {
        log_event(severity::warning, "peer_request_unreadable", {{"reason", e.what()}});
        reply(net::error_response(400, "unreadable", e.what()));
    }
}

void peer_exchange::serve_changes(const net::http_request& request, net::http_reply reply) {
    const auto value = json::parse(request.body);
    const auto& object = value.as_object();
    if (!m_owned_fence || object.at("fence").to_number<std::uint64_t>() != *m_owned_fence) {
        reply(net::error_response(409, "not_owner", "this node does not own the service"));
        return;
    }
    const auto now = m_env.clock.now();
    const auto node = json::value_to<std::string>(object.at("node"));
    m_peers[node] = {net::parse_endpoint(json::value_to<std::string>(object.at("address"))), now};
    m_env.on_peer_seen(node);
    const auto after = object.at("after").to_number<std::uint64_t>();
    m_polls.push_back({after, std::move(reply), now + poll_wait});
    if (after != m_env.directory.position()) {
        notify_peers();
    }
    m_env.loop.post_after(poll_wait, [this] { answer_polls(false); });
}

net::http_response peer_exchange::changes_response(std::uint64_t after) const {
    const auto page = m_env.directory.changes_after(after);
    json::array rows;
    for (const auto& change : page.changes) {
        rows.push_back(json::array{change.job, change.queue, job_state_names.name(change.state)});
    }
    json::object pending;
    for (const auto& [queue, jobs] : m_env.pending()) {
        pending[queue] = jobs;
    }
    return net::json_response(200, json::serialize(json::object{{"next", page.next},
                                                                {"changes", std::move(rows)},
                                                                {"pending", std::move(pending)}}));
}

void peer_exchange::answer_polls(bool all) {
    const auto now = m_env.clock.now();
    std::vector<pending_poll> remaining;
    for (auto& poll : std::exchange(m_polls, {})) {
        if (!m_owned_fence) {
            poll.reply(net::error_response(409, "not_owner", "the ownership has ended"));
        } else if (all || now >= poll.expires) {
            poll.reply(changes_response(poll.after));
        } else {
            remaining.push_back(std::move(poll));
        }
    }
    m_polls = std::move(remaining);
}

void peer_exchange::notify_peers() {
    if (m_notify_pending || m_polls.empty()) {
        return;
    }
    m_notify_pending = true;
    const auto delay = std::max<common::duration>(
        min_notify_delay, notify_delay_per_node * static_cast<int>(m_peers.size()));
    m_env.loop.post_after(delay, [this] {
        m_notify_pending = false;
        answer_polls(true);
    });
}

void peer_exchange::set_owned_fence(std::optional<std::uint64_t> fence) {
    m_owned_fence = fence;
    m_peers.clear();
    if (!fence) {
        answer_polls(true);
    }
}

void peer_exchange::expire_peers(common::time_point now) {
    std::vector<std::string> lost;
    for (const auto& [node, peer] : m_peers) {
        if (now - peer.last_request > peer_timeout) {
            lost.push_back(node);
        }
    }
    for (const auto& node : lost) {
        m_peers.erase(node);
        m_env.on_peer_lost(node);
    }
}

void peer_exchange::set_followed_owner(const std::optional<owner_record>& owner) {
    const bool changed = !owner || !m_owner || owner->fence != m_owner->fence;
    m_owner = owner;
    if (changed) {
        m_position = 0;
    }
    if (m_owner && !m_polling) {
        poll();
    }
}

void peer_exchange::poll() {
    if (!m_owner) {
        return;
    }
    m_polling = true;
    const auto fence = m_owner->fence;
    m_env.client.send(m_owner->address,
                      post("/peer/changes", {{"node", m_env.node},
                                             {"address", net::to_string(m_env.address)},
                                             {"fence", fence},
                                             {"after", m_position}}),
                      poll_timeout,
                      [this, fence, sent_at = m_env.clock.now(),
                       to = m_owner->address](const net::http_result& answer) {
                          m_polling = false;
                          if (std::holds_alternative<net::http_failure>(answer)) {
                              m_env.client.close_idle(to);
                          }
                          on_changes(fence, sent_at, answer);
                      });
}

void peer_exchange::report_suspected_owner(common::time_point sent_at,
                                           const net::http_result& answer) {
    const auto* const failure = std::get_if<net::http_failure>(&answer);
    const auto* const response = std::get_if<net::http_response>(&answer);
    // A connection that is refused at once shows that the process has ended. One that times out
    // proves nothing.
    const bool ended = failure != nullptr &&
                       failure->kind == net::http_failure_kind::connect_failed &&
                       m_env.clock.now() - sent_at < max_refusal_time;
    if (ended || (response != nullptr && response->status == 409)) {
        m_env.on_owner_suspected(*m_owner, ended);
    }
}

std::optional<net::endpoint> peer_exchange::relay_peer() const {
    const auto now = m_env.clock.now();
    if (m_owner && now - m_last_owner_answer < relay_peer_max_age) {
        return m_owner->address;
    }
    for (const auto& [node, peer] : m_peers) {
        if (now - peer.last_request < relay_peer_max_age) {
            return peer.address;
        }
    }
    return std::nullopt;
}

void peer_exchange::on_changes(std::uint64_t fence, common::time_point sent_at,
                               const net::http_result& answer) {
    const auto* const response = std::get_if<net::http_response>(&answer);
    if (!m_owner || m_owner->fence != fence || response == nullptr || response->status != 200) {
        if (m_owner && m_owner->fence == fence) {
            report_suspected_owner(sent_at, answer);
        }
        m_env.loop.post_after(poll_retry, [this] {
            if (m_owner && !m_polling) {
                poll();
            }
        });
        return;
    }
    const auto now = m_env.clock.now();
    try {
        const auto value = json::parse(response->body);
        const auto& object = value.as_object();
        for (const auto& row : object.at("changes").as_array()) {
            const auto& fields = row.as_array();
            m_env.directory.apply_change(
                now, {json::value_to<std::string>(fields.at(0)),
                      json::value_to<std::string>(fields.at(1)),
                      job_state_names.value(json::value_to<std::string>(fields.at(2)))});
        }
        std::map<std::string, std::size_t> pending;
        for (const auto& entry : object.at("pending").as_object()) {
            pending[std::string(entry.key())] = entry.value().to_number<std::size_t>();
        }
        m_env.directory.set_pending(now, std::move(pending));
        m_position = object.at("next").to_number<std::uint64_t>();
        m_last_owner_answer = now;
    } catch (const std::exception& e) {
        log_event(severity::warning, "peer_answer_unreadable", {{"reason", e.what()}});
        m_position = 0;
    }
    poll();
}

void peer_exchange::serve_advice(const net::http_request& request, net::http_reply reply) {
    const auto value = json::parse(request.body);
    const auto& object = value.as_object();
    advice_request call;
    call.step.job = json::value_to<std::string>(object.at("job"));
    call.step.occurrence = object.at("occurrence").to_number<std::uint32_t>();
    call.step.step = object.at("step").to_number<std::uint32_t>();
    call.workers = json::value_to<std::vector<std::string>>(object.at("workers"));
    const auto expected =
        std::chrono::milliseconds(object.at("expected_ms").to_number<std::int64_t>());
    m_env.advice.ask(call, advice_timeout(expected),
                     [reply = std::move(reply)](const advice_result& result) {
                         reply(net::json_response(200, json::serialize(write_advice(result))));
                     });
}

void peer_exchange::ask_advice(const std::string& node, const advice_request& request,
                               common::duration expected,
                               std::function<void(advice_result)> complete) {
    if (node == m_env.node) {
        m_env.advice.ask(request, advice_timeout(expected), std::move(complete));
        return;
    }
    const auto position = m_peers.find(node);
    if (position == m_peers.end()) {
        m_env.loop.post([complete = std::move(complete)] { complete({}); });
        return;
    }
    const auto to = position->second.address;
    m_env.client.send(to,
                      post("/peer/advice", {{"job", request.step.job},
                                            {"occurrence", request.step.occurrence},
                                            {"step", request.step.step},
                                            {"expected_ms", common::to_milliseconds(expected)},
                                            {"workers", json::value_from(request.workers)}}),
                      advice_timeout(expected),
                      [this, to, complete = std::move(complete)](const net::http_result& answer) {
                          if (std::holds_alternative<net::http_failure>(answer)) {
                              m_env.client.close_idle(to);
                          }
                          complete(read_advice(answer));
                      });
}

} // namespace buckthornspar::service
