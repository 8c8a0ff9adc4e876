#include "scenario/routing/routing_network.h"

#include <algorithm>

namespace buckthornspar::scenario {

using routing::run_result;
using routing::run_result_kind;

namespace {

constexpr common::duration intra_region_delay = std::chrono::milliseconds(1);
constexpr common::duration inter_region_delay = std::chrono::milliseconds(20);
constexpr common::duration query_timeout = std::chrono::milliseconds(300);
constexpr common::duration run_grace = std::chrono::seconds(1);

routing::runner_report report_of(const runner_node& r, common::time_point now) {
    return {r.model.slots(), r.model.slots_free(), r.model.incarnation(), r.model.uptime(now)};
}

run_result lost(routing::call_token token) {
    run_result result;
    result.token = token;
    return result;
}

} // namespace

bool event_schedule::run_next(common::time_point until) {
    const auto first = m_events.begin();
    if (first == m_events.end() || first->first > until) {
        return false;
    }
    m_now = std::max(m_now, first->first);
    const auto event = std::move(first->second);
    m_events.erase(first);
    event();
    return true;
}

common::duration routing_network::one_way_delay(const std::string& a, const std::string& b) {
    const common::duration base = a == b ? intra_region_delay : inter_region_delay;
    // The random part reorders messages.
    return base + common::duration(static_cast<common::duration::rep>(
                      m_random.below(static_cast<std::uint64_t>(base.count()))));
}

void routing_network::run(const std::string& entry, const std::string& entry_region,
                          runner_node& to, const routing::run_call& call, common::duration work,
                          run_completion complete_run) {
    link& l = m_links[{entry, to.model.id()}];
    const std::uint64_t tag = m_next_tag++;
    m_runs.emplace(tag, open_run{entry, entry_region, to.model.id(), call.token, l.silent,
                                 std::move(complete_run)});
    const common::time_point now = m_schedule.now();
    m_schedule.at(now + call.remaining + run_grace,
                  [this, tag, token = call.token] { complete(tag, lost(token)); });
    if (l.half_open) {
        l.half_open = false;
        m_schedule.at(now + one_way_delay(entry_region, to.region),
                      [this, tag, token = call.token] { complete(tag, lost(token)); });
        return;
    }
    if (l.silent) {
        return;
    }
    fakes::run_arrival arrival{tag,  call.request_id, call.remaining,
                               work, *call.body,      call.expected_incarnation};
    m_schedule.at(now + one_way_delay(entry_region, to.region),
                  [this, &to, tag, token = call.token, arrival = std::move(arrival)] {
                      if (!to.up) {
                          run_result refused = lost(token);
                          refused.kind = run_result_kind::not_sent;
                          refused.unreachable = true;
                          complete(tag, refused);
                          return;
                      }
                      to.model.post(arrival, m_schedule.now());
                      process_runner(to);
                  });
}

void routing_network::process_runner(runner_node& r) {
    r.model.advance(m_schedule.now());
    for (const auto& reply : r.model.take_replies()) {
        deliver_reply(r, reply);
    }
    schedule_model(r);
    if (m_after_event) {
        m_after_event(r);
    }
}

void routing_network::schedule_model(runner_node& r) {
    if (const auto next = r.model.next_event()) {
        m_schedule.at(std::max(*next, m_schedule.now()), [this, &r] {
            const auto due = r.model.next_event();
            if (due && *due <= m_schedule.now()) {
                process_runner(r);
            }
        });
    }
}

void routing_network::deliver_reply(runner_node& r, const fakes::run_reply& reply) {
    const auto position = m_runs.find(reply.tag);
    if (position == m_runs.end() || position->second.silent) {
        return;
    }
    run_result result = lost(position->second.token);
    if (!reply.truncated) {
        const bool ran = reply.outcome == routing::run_outcome::ran;
        result.kind = ran ? run_result_kind::answered : run_result_kind::refused;
        result.request_id = reply.id;
        result.refusal = reply.reason;
        result.status = reply.status;
        result.body = reply.body;
        result.report = report_of(r, m_schedule.now());
    }
    if (r.wrong_id_next) {
        r.wrong_id_next = false;
        result.request_id = "another";
    }
    m_schedule.at(m_schedule.now() + one_way_delay(position->second.region, r.region),
                  [this, tag = reply.tag, result = std::move(result),
                   complete_late = position->second.complete] {
                      const auto open = m_runs.find(tag);
                      if (open == m_runs.end()) {
                          // A duplicate, or a reply that arrives after the end of the call.
                          complete_late(result);
                      } else if (!open->second.silent) {
                          complete(tag, result);
                      }
                  });
}

void routing_network::complete(std::uint64_t tag, const run_result& result) {
    const auto position = m_runs.find(tag);
    if (position == m_runs.end()) {
        return;
    }
    const run_completion complete_run = std::move(position->second.complete);
    m_runs.erase(position);
    complete_run(result);
    if (m_duplicate_deliveries) {
        complete_run(result);
    }
}

void routing_network::query(const std::string& entry_region, runner_node& to,
                            const routing::query_call& call,
                            const query_completion& complete_query) {
    routing::query_result none;
    none.token = call.token;
    m_schedule.at(m_schedule.now() + one_way_delay(entry_region, to.region),
                  [this, entry_region, &to, call, none, complete_query] {
                      routing::query_result result = none;
                      common::duration delay = query_timeout;
                      if (!to.up) {
                          delay = one_way_delay(entry_region, to.region);
                      } else if (to.model.responds()) {
                          delay = one_way_delay(entry_region, to.region);
                          result.request_id = call.request_id;
                          result.report = report_of(to, m_schedule.now());
                          if (call.kind == routing::query_kind::ask) {
                              result.state = to.model.ask(call.request_id);
                          } else if (call.kind == routing::query_kind::cancel) {
                              result.state = to.model.cancel(call.request_id);
                          } else if (const auto kept = to.model.kept_answer(call.request_id)) {
                              result.state = routing::run_state::done;
                              result.status = kept->status;
                              result.body = kept->body;
                          } else {
                              result.state = routing::run_state::not_seen;
                          }
                      }
                      m_schedule.at(m_schedule.now() + delay, [this, result, complete_query] {
                          complete_query(result);
                          if (m_duplicate_deliveries) {
                              complete_query(result);
                          }
                      });
                  });
}

void routing_network::ping(const std::string& entry_region, runner_node& to,
                           const routing::ping_call& call, const ping_completion& complete_ping) {
    const bool answered = to.up && to.model.responds();
    const common::duration delay =
        answered || !to.up ? 2 * one_way_delay(entry_region, to.region) : query_timeout;
    m_schedule.at(m_schedule.now() + delay, [this, &to, call, answered, complete_ping] {
        complete_ping({call.token, answered,
                       answered ? report_of(to, m_schedule.now()) : routing::runner_report{}});
    });
}

void routing_network::send_peer(const std::pair<std::string, std::string>& entries,
                                const std::pair<std::string, std::string>& regions,
                                const std::function<void()>& deliver) {
    constexpr std::uint64_t percent = 100;
    const auto max_delay_us = static_cast<std::uint64_t>(m_peer_faults.max_delay.count());
    for (int copies = m_duplicate_deliveries ? 2 : 1; copies > 0; --copies) {
        const bool is_cut_off =
            m_peer_faults.cut_off == entries.first || m_peer_faults.cut_off == entries.second;
        if (is_cut_off || (m_peer_faults.lost_percent > 0 &&
                           m_random.below(percent) < m_peer_faults.lost_percent)) {
            continue;
        }
        const common::duration extra_delay(static_cast<common::duration::rep>(
            max_delay_us > 0 ? m_random.below(max_delay_us) : 0));
        m_schedule.at(m_schedule.now() + one_way_delay(regions.first, regions.second) + extra_delay,
                      deliver);
    }
}

void routing_network::abandon(const std::string& entry, routing::call_token token) {
    for (const auto& [tag, open] : m_runs) {
        if (open.entry == entry && open.token == token) {
            m_schedule.at(m_schedule.now(), [this, t = tag, token] { complete(t, lost(token)); });
            return;
        }
    }
}

void routing_network::replace_connections(const std::string& entry, const std::string& runner) {
    m_links[{entry, runner}] = {};
}

void routing_network::silence(const std::string& entry, const std::string& runner) {
    m_links[{entry, runner}].silent = true;
    for (auto& [tag, open] : m_runs) {
        open.silent = open.silent || (open.entry == entry && open.runner == runner);
    }
}

void routing_network::half_open(const std::string& entry, const std::string& runner) {
    m_links[{entry, runner}].half_open = true;
}

void routing_network::end_connections(const std::string& runner) {
    for (const auto& [tag, open] : m_runs) {
        if (open.runner == runner && !open.silent) {
            m_schedule.at(m_schedule.now(),
                          [this, t = tag, token = open.token] { complete(t, lost(token)); });
        }
    }
}

} // namespace buckthornspar::scenario
