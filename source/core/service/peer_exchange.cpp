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
// Changes are batched for this time before polls are answered.
constexpr auto notify_delay = std::chrono::milliseconds(25);
constexpr std::size_t max_followed_jobs = 4096;
// Limits of questions for states; queries read the store when the owner does not respond.
constexpr auto state_timeout = std::chrono::milliseconds(300);
constexpr auto max_owner_silence = std::chrono::milliseconds(1200);
// A node that has not polled for this time gets no advice calls.
constexpr auto peer_timeout = std::chrono::milliseconds(2500);
// A closed port refuses a connection within the round-trip time between regions.
constexpr auto max_refusal_time = std::chrono::milliseconds(150);
// Only a node with contact within this time is used to relay store calls.
constexpr auto relay_peer_max_age = std::chrono::milliseconds(1500);
// Time limit of a poll of a worker for the owner, and the additional time for the peer's response.
constexpr auto relayed_poll_timeout = std::chrono::milliseconds(400);
constexpr auto relay_slack = std::chrono::milliseconds(600);
// A ticket request may have to wait for other requests of the same node.
constexpr double advice_timeout_factor = 3.0;
constexpr auto advice_timeout_slack = std::chrono::milliseconds(900);

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
    // Each function gets a copy of the reply, because a malformed request is answered here.
    try {
        if (path == "/metrics") {
            net::http_response response;
            response.fields.set("Content-Type", "text/plain");
            response.body = m_env.counters.render();
            reply(std::move(response));
        } else if (path == "/peer/changes") {
            serve_changes(request, reply);
        } else if (path == "/peer/advice") {
            serve_advice(request, reply);
        } else if (path == "/peer/state") {
            serve_state(request, reply);
        } else if (path == "/peer/worker-poll") {
            serve_worker_poll(request, reply);
        } else if (path == "/peer/store") {
            m_env.relay.serve(request, reply);
        } else {
            reply(net::error_response(404, "not_found", "no such path"));
        }
    } catch (const std::exception& e) {
        log_event(severity::warning, "peer_request_unreadable", {{"reason", e.what()}});
        reply(net::error_response(400, "unreadable", e.what()));
    }
}

void peer_exchange::serve_changes(const net::http_request& request, net::http_reply reply) {
    const auto poll = read_changes_request(request.body);
    if (!m_owned_fence || poll.fence != *m_owned_fence) {
        reply(net::error_response(409, "not_owner", "this node does not own the service"));
        return;
    }
    const auto now = m_env.clock.now();
    m_peers[poll.node] = {poll.address, now, poll.job_limit, poll.capability, poll.may_claim};
    m_env.on_peer_seen(poll.node, poll.address);
    for (const auto& job : poll.follow) {
        m_env.directory.follow(job, poll.node);
    }
    m_polls.push_back({poll.node, poll.after, std::move(reply), now, now + poll_wait});
    if (m_env.directory.has_changes_after(poll.after, poll.node)) {
        notify_peers();
    }
    m_env.loop.post_after(poll_wait, [this] { answer_polls(false); });
}

net::http_response peer_exchange::make_response(const pending_poll& poll) const {
    auto page = m_env.directory.changes_after(poll.after, poll.node);
    changes_response response{page.next, std::move(page.changes), m_env.pending(),
                              m_env.clock.now() - poll.received, std::nullopt};
    if (response.pending && m_env.admission != nullptr) {
        response.headroom = headroom(response.pending->job_memory);
    }
    return net::json_response(200, write_changes_response(response));
}

std::int64_t peer_exchange::smallest_job_limit() const {
    auto smallest = job_limit();
    for (const auto& [node, peer] : m_peers) {
        if (smallest == 0 || (peer.job_limit != 0 && peer.job_limit < smallest)) {
            smallest = peer.job_limit;
        }
    }
    return smallest;
}

std::int64_t peer_exchange::headroom(std::int64_t job_memory) const {
    return headroom_of_node(smallest_job_limit(), job_memory, m_peers.size() + 1);
}

void peer_exchange::answer_polls(bool with_changes) {
    const auto now = m_env.clock.now();
    std::vector<pending_poll> remaining;
    for (auto& poll : std::exchange(m_polls, {})) {
        if (!m_owned_fence) {
            poll.reply(net::error_response(409, "not_owner", "the ownership has ended"));
        } else if (now >= poll.expires ||
                   (with_changes && m_env.directory.has_changes_after(poll.after, poll.node))) {
            poll.reply(make_response(poll));
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
    m_env.loop.post_after(notify_delay, [this] {
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
        m_follow_requests = m_followed_jobs;
    }
    if (m_owner && !m_polling) {
        poll();
    }
}

void peer_exchange::ask_state(const std::string& job,
                              std::function<void(std::optional<known_state>)> complete) {
    const auto now = m_env.clock.now();
    if (!m_owner || now - m_last_owner_answer > max_owner_silence ||
        m_followed_jobs.size() >= max_followed_jobs) {
        complete(std::nullopt);
        return;
    }
    // Noted before the response: the owner may tell of changes although the response is lost, and a
    // later owner has to be asked for them again.
    m_followed_jobs.insert(job);
    m_env.client.send(
        m_owner->address,
        net::json_post("/peer/state", write_state_request({m_env.node, m_owner->fence, job})),
        state_timeout, [this, job, complete = std::move(complete)](const net::http_result& answer) {
            const auto* const response = std::get_if<net::http_response>(&answer);
            std::optional<known_state> known;
            if (response != nullptr && response->status == 200) {
                try {
                    known = read_state_response(response->body);
                } catch (const std::exception& e) {
                    log_event(severity::warning, "peer_answer_unreadable", {{"reason", e.what()}});
                }
            }
            const bool followed = known ? !is_final(known->state) : response == nullptr;
            if (!followed) {
                m_followed_jobs.erase(job);
            }
            complete(known);
        });
}

void peer_exchange::serve_state(const net::http_request& request, const net::http_reply& reply) {
    const auto query = read_state_request(request.body);
    const auto known =
        m_owned_fence == query.fence ? m_env.directory.find(query.job) : std::nullopt;
    if (!known) {
        reply(net::error_response(404, "unknown_here", "the job is not known to this node"));
        return;
    }
    if (!is_final(known->state)) {
        m_env.directory.follow(query.job, query.node);
    }
    reply(net::json_response(200, write_state_response(*known)));
}

std::int64_t peer_exchange::job_limit() const {
    return m_env.admission == nullptr ? 0 : m_env.admission->limit();
}

std::vector<ownership_candidate> peer_exchange::candidates() const {
    std::vector<ownership_candidate> result;
    result.reserve(m_peers.size());
    for (const auto& [node, peer] : m_peers) {
        result.push_back({node, peer.capability, peer.may_claim});
    }
    return result;
}

changes_request peer_exchange::make_request(std::uint64_t fence,
                                            const std::vector<std::string>& follow) const {
    changes_request request{m_env.node, m_env.address, fence, m_position, follow, job_limit()};
    request.capability = m_env.capability;
    request.may_claim = m_env.may_claim && m_env.may_claim();
    return request;
}

void peer_exchange::poll() {
    if (!m_owner) {
        return;
    }
    m_polling = true;
    const auto fence = m_owner->fence;
    const std::vector<std::string> follow(m_follow_requests.begin(), m_follow_requests.end());
    m_env.client.send(
        m_owner->address,
        net::json_post("/peer/changes", write_changes_request(make_request(fence, follow))),
        poll_timeout,
        [this, fence, follow, sent_at = m_env.clock.now(),
         to = m_owner->address](const net::http_result& answer) {
            m_polling = false;
            if (std::holds_alternative<net::http_failure>(answer)) {
                m_env.client.close_idle(to);
            }
            on_changes(fence, follow, sent_at, answer);
        });
}

void peer_exchange::poll_later() {
    m_env.loop.post_after(poll_retry, [this] {
        if (m_owner && !m_polling) {
            poll();
        }
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

void peer_exchange::on_changes(std::uint64_t fence, const std::vector<std::string>& follow,
                               common::time_point sent_at, const net::http_result& answer) {
    const auto* const response = std::get_if<net::http_response>(&answer);
    if (!m_owner || m_owner->fence != fence || response == nullptr || response->status != 200) {
        if (m_owner && m_owner->fence == fence) {
            report_suspected_owner(sent_at, answer);
        }
        poll_later();
        return;
    }
    const auto now = m_env.clock.now();
    try {
        auto page = read_changes_response(response->body);
        for (const auto& job : follow) {
            m_follow_requests.erase(job);
        }
        for (auto& change : page.changes) {
            if (!m_followed_jobs.contains(change.job)) {
                change.accepted_by = m_env.node;
            } else if (is_final(change.state)) {
                m_followed_jobs.erase(change.job);
            }
            m_env.directory.apply_change(now, change);
        }
        if (page.pending) {
            // The owner counted at the earliest when it had held the request for this time after it
            // was sent; a response that comes late does not make its counts newer.
            const auto counted_at = sent_at + std::min<common::duration>(page.held, now - sent_at);
            m_env.directory.set_pending(counted_at - page.pending->age,
                                        std::move(page.pending->counts));
        }
        if (page.pending && page.pending->fleet.workers > 0 && m_env.on_fleet) {
            m_env.on_fleet(page.pending->fleet);
        }
        if (page.pending && m_env.admission != nullptr) {
            // An owner of an earlier version reports no headroom.
            m_env.admission->set_headroom(page.headroom.value_or(m_env.admission->limit()));
        }
        m_position = page.next;
        m_last_owner_answer = now;
        if (m_env.on_owner_alive) {
            m_env.on_owner_alive(fence);
        }
    } catch (const std::exception& e) {
        log_event(severity::warning, "peer_answer_unreadable", {{"reason", e.what()}});
        m_position = 0;
        poll_later();
        return;
    }
    poll();
}

void peer_exchange::serve_advice(const net::http_request& request, net::http_reply reply) {
    const auto call = read_advice_call(request.body);
    m_env.advice.ask(call.request, advice_timeout(call.expected),
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
    m_env.client.send(to, net::json_post("/peer/advice", write_advice_call({request, expected})),
                      advice_timeout(expected),
                      [this, to, complete = std::move(complete)](const net::http_result& answer) {
                          if (std::holds_alternative<net::http_failure>(answer)) {
                              m_env.client.close_idle(to);
                          }
                          complete(read_advice(answer));
                      });
}

void peer_exchange::serve_worker_poll(const net::http_request& request, net::http_reply reply) {
    const auto poll = read_worker_poll_request(request.body);
    m_env.workers.poll(poll.worker_address, poll.order, relayed_poll_timeout,
                       [reply = std::move(reply)](const poll_result& result) {
                           reply(net::json_response(200, write_poll_result(result)));
                       });
}

void peer_exchange::poll_worker(const net::endpoint& worker, const poll_order& order,
                                std::function<void(poll_result)> complete) {
    auto position = m_peers.upper_bound(m_last_polling_peer);
    if (position == m_peers.end()) {
        position = m_peers.begin();
    }
    if (position == m_peers.end()) {
        m_env.loop.post([complete = std::move(complete)] { complete({}); });
        return;
    }
    m_last_polling_peer = position->first;
    const auto to = position->second.address;
    m_env.client.send(
        to, net::json_post("/peer/worker-poll", write_worker_poll_request({worker, order})),
        relayed_poll_timeout + relay_slack,
        [this, to, complete = std::move(complete)](const net::http_result& answer) {
            poll_result result;
            const auto* const response = std::get_if<net::http_response>(&answer);
            if (response == nullptr) {
                m_env.client.close_idle(to);
            } else if (response->status == 200) {
                try {
                    result = read_poll_result(response->body);
                    result.silence_confirmed = result.status == order_status::no_answer ||
                                               result.status == order_status::not_sent;
                } catch (const std::exception& e) {
                    log_event(severity::warning, "peer_answer_unreadable", {{"reason", e.what()}});
                    result = {};
                }
            }
            complete(std::move(result));
        });
}

} // namespace buckthornspar::service
