#include "core/scheduling/worker_fleet.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::scheduling {

namespace {

constexpr unsigned max_doublings = 10;

bool starts_or_reserves(const worker_operation& operation) {
    return operation.op == worker_op::start || operation.op == worker_op::reserve;
}

} // namespace

worker_fleet::worker_fleet(worker_fleet_settings settings, common::counters& counters)
    : m_settings(std::move(settings)),
      m_counters(counters),
      m_leases(m_settings.lease),
      m_authority(m_settings.authority) {}

void worker_fleet::begin(common::time_point now, std::uint64_t epoch,
                         const std::set<std::string>& workers) {
    end();
    m_running = true;
    m_epoch = epoch;
    for (const auto& worker : workers) {
        m_links.try_emplace(worker);
    }
    for (auto& [worker, l] : m_links) {
        l.next_call = now;
    }
    mark_all_changed();
}

void worker_fleet::end() {
    m_running = false;
    m_events.clear();
    m_leases.clear();
    m_authority.clear();
    m_due.clear();
    m_changed.clear();
    m_had_authority = false;
    ++m_presence_version;
    for (auto& [worker, l] : m_links) {
        link cleared;
        cleared.listing = std::move(l.listing);
        cleared.missing_since = l.missing_since;
        cleared.gone = l.gone;
        cleared.leaving =
            cleared.listing && cleared.listing->state == membership::instance_state::leaving;
        l = std::move(cleared);
    }
}

void worker_fleet::on_worker_list(common::time_point now,
                                  const std::vector<membership::instance>& workers) {
    m_listed_once = true;
    std::set<std::string> shown;
    for (const auto& instance : workers) {
        shown.insert(instance.id);
        link& l = m_links[instance.id];
        const bool leaving = instance.state == membership::instance_state::leaving;
        // The leaving flag of the link is reset when an ownership ends, so an unchanged listing
        // does not imply that placement knows that the worker is leaving.
        const bool changed = !l.listing || l.listing->state != instance.state ||
                             l.listing->address != instance.address || l.leaving != leaving;
        mark_listed(instance, l);
        if (changed) {
            mark_changed(instance.id);
            m_events.emplace_back(worker_changed{instance.id});
        }
    }
    for (auto& [worker, l] : m_links) {
        if (!shown.contains(worker)) {
            mark_missing(now, l);
        }
    }
}

void worker_fleet::mark_listed(const membership::instance& instance, link& l) {
    if (!l.listing || l.gone) {
        ++m_presence_version;
    }
    l.listing = instance;
    l.missing_since.reset();
    l.gone = false;
    l.leaving = instance.state == membership::instance_state::leaving;
}

void worker_fleet::mark_missing(common::time_point now, link& l) {
    if (!l.missing_since) {
        l.missing_since = now;
    }
    const bool gone = now - *l.missing_since >= m_settings.gone_after;
    if (gone != l.gone) {
        ++m_presence_version;
    }
    l.gone = gone;
}

// Results of calls.

worker_fleet::link* worker_fleet::complete_call(const std::string& worker, std::uint64_t call) {
    const auto position = m_links.find(worker);
    if (!m_running || position == m_links.end() || position->second.call != call) {
        return nullptr;
    }
    position->second.call = 0;
    mark_changed(worker);
    return &position->second;
}

void worker_fleet::on_adopt(common::time_point now, const std::string& worker, std::uint64_t call,
                            const adopt_result& result) {
    link* const l = complete_call(worker, call);
    if (l == nullptr) {
        return;
    }
    if (const auto* const error = std::get_if<worker_error>(&result)) {
        on_call_failed(now, worker, *l, *error);
        return;
    }
    take_inventory(now, worker, *l, std::get<worker_inventory>(result));
}

void worker_fleet::take_inventory(common::time_point now, const std::string& worker, link& l,
                                  const worker_inventory& inventory) {
    const bool restarted = l.seen && l.incarnation != inventory.incarnation;
    if (restarted) {
        m_counters.get("worker_restarts_seen_total").add();
    }
    if (l.incarnation != inventory.incarnation) {
        l.events_after = 0;
    }
    m_leases.record_stamp(worker, {inventory.incarnation, inventory.stamp_ms, now});
    m_authority.record_acceptance(worker, l.call_sent);
    if (!l.seen && !l.listing) {
        ++m_presence_version;
    }
    l.seen = true;
    l.adopted = true;
    l.failures = 0;
    l.incarnation = inventory.incarnation;
    l.capacity = inventory.capacity;
    l.leaving = l.leaving || inventory.state == worker_availability::leaving;
    m_events.emplace_back(worker_changed{worker});
    resolve_unconfirmed(worker, l, inventory, restarted);
    const bool adopt_again = !l.unconfirmed.empty() || !has_authority(now);
    l.next_call = adopt_again ? now + m_settings.renew / 3 : now;
    m_events.emplace_back(worker_adopted{inventory, restarted});
}

/// A start that is missing from the inventory may still be in transit. It can no longer take effect
/// once its validity has expired on the worker's own clock.
void worker_fleet::resolve_unconfirmed(const std::string& worker, link& l,
                                       const worker_inventory& inventory, bool restarted) {
    const auto validity_ms = common::to_milliseconds(m_settings.lease.start_validity);
    std::vector<unconfirmed_operation> remaining;
    for (auto& item : l.unconfirmed) {
        const auto& attempt = item.operation.attempt;
        const bool held =
            std::any_of(inventory.tasks.begin(), inventory.tasks.end(),
                        [&](const held_task& task) { return task.attempt == attempt; });
        const bool ended =
            std::any_of(inventory.ended.begin(), inventory.ended.end(),
                        [&](const ended_attempt& e) { return e.attempt == attempt; });
        if (held || ended) {
            continue;
        }
        if (restarted) {
            m_events.emplace_back(operation_completed{
                worker, std::move(item.operation), operation_completion::lost_in_restart, {}});
        } else if (inventory.stamp_ms > item.stamp_ms + validity_ms) {
            m_events.emplace_back(operation_completed{
                worker, std::move(item.operation), operation_completion::not_executed, {}});
        } else {
            remaining.push_back(std::move(item));
        }
    }
    l.unconfirmed = std::move(remaining);
}

void worker_fleet::on_sync(common::time_point now, const std::string& worker, std::uint64_t call,
                           const sync_result& result) {
    link* const l = complete_call(worker, call);
    if (l == nullptr) {
        return;
    }
    if (const auto* const error = std::get_if<worker_error>(&result)) {
        on_call_failed(now, worker, *l, *error);
        return;
    }
    const auto& answer = std::get<sync_response>(result);
    m_leases.record_stamp(worker, {answer.incarnation, answer.stamp_ms, now});
    m_authority.record_acceptance(worker, l->call_sent);
    l->failures = 0;
    take_results(worker, *l, answer);
    emit_reports(worker, answer.ended, answer.usage);
}

void worker_fleet::take_results(const std::string& worker, link& l, const sync_response& answer) {
    std::map<std::string_view, const operation_result*> results;
    for (const auto& item : answer.results) {
        results[item.attempt] = &item;
    }
    for (auto& operation : std::exchange(l.in_flight, {})) {
        const auto position = results.find(operation.attempt);
        if (position == results.end()) {
            // A response without a result for an operation violates the protocol; the next
            // inventory shows whether the operation was executed.
            l.unconfirmed.push_back({std::move(operation), l.in_flight_stamp_ms});
            l.adopted = false;
            continue;
        }
        const operation_result& found = *position->second;
        const bool executed = found.status == operation_status::accepted ||
                              found.reason == operation_reason::duplicate;
        if (found.reason == operation_reason::leaving) {
            l.leaving = true;
            m_events.emplace_back(worker_changed{worker});
        }
        m_events.emplace_back(operation_completed{worker, std::move(operation),
                                                  executed ? operation_completion::accepted
                                                           : operation_completion::refused,
                                                  found.reason});
    }
}

void worker_fleet::emit_reports(const std::string& worker, const std::vector<ended_attempt>& ended,
                                const std::vector<usage_report>& usage) {
    if (!usage.empty()) {
        m_events.emplace_back(usage_received{worker, usage});
    }
    for (const auto& attempt : ended) {
        m_events.emplace_back(attempt_reported{worker, attempt});
    }
}

void worker_fleet::on_events(common::time_point now, const std::string& worker, std::uint64_t call,
                             const events_result& result) {
    const auto position = m_links.find(worker);
    if (!m_running || position == m_links.end() || position->second.events_call != call) {
        return;
    }
    link& l = position->second;
    l.events_call = 0;
    mark_changed(worker);
    const auto* const answer = std::get_if<events_response>(&result);
    if (answer == nullptr || answer->incarnation != l.incarnation) {
        l.next_events = now + m_settings.retry_max;
        return;
    }
    l.next_events = now;
    l.events_after = answer->next;
    m_leases.record_stamp(worker, {answer->incarnation, answer->stamp_ms, now});
    emit_reports(worker, answer->ended, answer->usage);
}

void worker_fleet::on_call_failed(common::time_point now, const std::string& worker, link& l,
                                  const worker_error& error) {
    m_counters.get("worker_call_failures_total", "reason", to_string(error.kind)).add();
    if (error.kind == worker_failure::stale_epoch) {
        m_events.emplace_back(epoch_fenced{error.accepted_epoch});
        return;
    }
    for (auto& operation : std::exchange(l.in_flight, {})) {
        if (!starts_or_reserves(operation)) {
            continue;
        }
        // Nothing was executed if the request was not sent, and a reservation expires by itself.
        const bool executable =
            error.kind == worker_failure::no_answer || error.kind == worker_failure::bad_answer;
        if (executable && operation.op == worker_op::start) {
            l.unconfirmed.push_back({std::move(operation), l.in_flight_stamp_ms});
        } else {
            m_events.emplace_back(operation_completed{
                worker, std::move(operation), operation_completion::not_executed, {}});
        }
    }
    if (error.kind == worker_failure::stale_incarnation) {
        l.next_call = now;
    } else {
        l.next_call = now + backoff(l.failures);
        ++l.failures;
    }
    l.adopted = false;
    fail_queued(worker, l);
    m_events.emplace_back(worker_changed{worker});
}

/// Starts queued for a worker that does not respond can be placed elsewhere immediately. The other
/// operations are queued again after the next inventory.
void worker_fleet::fail_queued(const std::string& worker, link& l) {
    for (auto& operation : l.outbox.take_operations(SIZE_MAX)) {
        if (starts_or_reserves(operation)) {
            m_events.emplace_back(operation_completed{
                worker, std::move(operation), operation_completion::not_executed, {}});
        }
    }
    (void)l.outbox.take_acknowledged();
}

common::duration worker_fleet::backoff(unsigned failures) const {
    return std::min(m_settings.retry_max,
                    m_settings.retry_min * (1U << std::min(failures, max_doublings)));
}

// Queries and commands.

void worker_fleet::set_quorums(std::set<std::string> logged, std::set<std::string> pending) {
    m_authority.set_quorums(std::move(logged), std::move(pending));
}

bool worker_fleet::has_authority(common::time_point now) {
    return m_running && m_authority.held(now);
}

void worker_fleet::queue(const std::string& worker, worker_operation operation) {
    m_links[worker].outbox.add(std::move(operation));
    mark_changed(worker);
}

bool worker_fleet::remove_queued(const std::string& worker, const std::string& attempt) {
    const auto position = m_links.find(worker);
    return position != m_links.end() && position->second.outbox.remove_queued(attempt);
}

void worker_fleet::acknowledge(const std::string& worker, const std::string& attempt) {
    m_links[worker].outbox.acknowledge(attempt);
    mark_changed(worker);
}

bool worker_fleet::adopted(const std::string& worker) const {
    const auto position = m_links.find(worker);
    return position != m_links.end() && position->second.adopted;
}

bool worker_fleet::leaving(const std::string& worker) const {
    const auto position = m_links.find(worker);
    return position != m_links.end() && position->second.leaving;
}

bool worker_fleet::gone(const std::string& worker) const {
    const auto position = m_links.find(worker);
    return position != m_links.end() && position->second.gone;
}

bool worker_fleet::seen(const std::string& worker) const {
    const auto position = m_links.find(worker);
    return position != m_links.end() && position->second.seen;
}

std::uint64_t worker_fleet::incarnation(const std::string& worker) const {
    const auto position = m_links.find(worker);
    return position == m_links.end() ? 0 : position->second.incarnation;
}

std::optional<placement::worker_info> worker_fleet::info(const std::string& worker) const {
    const auto position = m_links.find(worker);
    if (position == m_links.end() || !position->second.seen || !position->second.listing) {
        return std::nullopt;
    }
    const link& l = position->second;
    placement::worker_info info{worker,           l.listing->region,
                                l.listing->place, l.listing->rack,
                                l.capacity,       placement::worker_state::available};
    if (!l.adopted) {
        info.state = placement::worker_state::unreachable;
    } else if (l.leaving) {
        info.state = placement::worker_state::leaving;
    }
    return info;
}

std::set<std::string> worker_fleet::present() const {
    std::set<std::string> workers;
    for (const auto& [worker, l] : m_links) {
        if (l.present()) {
            workers.insert(worker);
        }
    }
    return workers;
}

std::size_t worker_fleet::count_adopted(const std::set<std::string>& workers) const {
    return static_cast<std::size_t>(
        std::count_if(workers.begin(), workers.end(),
                      [&](const std::string& worker) { return adopted(worker); }));
}

std::vector<fleet_event> worker_fleet::take_events() {
    return std::exchange(m_events, {});
}

} // namespace buckthornspar::scheduling
