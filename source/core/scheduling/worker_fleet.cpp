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
    for (auto& [worker, link] : m_links) {
        link.next_call = now;
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
    m_unconfirmed_restarts.clear();
    m_had_authority = false;
    ++m_presence_version;
    for (auto& [worker, link] : m_links) {
        worker_link cleared;
        cleared.listing = std::move(link.listing);
        cleared.missing_since = link.missing_since;
        cleared.gone = link.gone;
        cleared.leaving =
            cleared.listing && cleared.listing->state == membership::instance_state::leaving;
        link = std::move(cleared);
    }
}

void worker_fleet::on_worker_list(common::time_point now,
                                  const std::vector<membership::instance>& workers) {
    m_listed_once = true;
    std::set<std::string> shown;
    for (const auto& instance : workers) {
        shown.insert(instance.id);
        worker_link& link = m_links[instance.id];
        const bool leaving = instance.state == membership::instance_state::leaving;
        // The leaving flag of the link is reset when an ownership ends, so an unchanged listing
        // does not imply that placement knows that the worker is leaving.
        const bool changed = !link.listing || link.listing->state != instance.state ||
                             link.listing->address != instance.address || link.leaving != leaving;
        mark_listed(instance, link);
        if (changed) {
            mark_changed(instance.id);
            m_events.emplace_back(worker_changed{instance.id});
        }
    }
    for (auto& [worker, link] : m_links) {
        if (!shown.contains(worker)) {
            mark_missing(now, link);
        }
    }
}

void worker_fleet::mark_listed(const membership::instance& instance, worker_link& link) {
    if (!link.listing || link.gone) {
        ++m_presence_version;
    }
    link.listing = instance;
    link.missing_since.reset();
    link.gone = false;
    link.leaving = instance.state == membership::instance_state::leaving;
}

void worker_fleet::mark_missing(common::time_point now, worker_link& link) {
    if (!link.missing_since) {
        link.missing_since = now;
    }
    const bool gone = now - *link.missing_since >= m_settings.gone_after;
    if (gone != link.gone) {
        ++m_presence_version;
    }
    link.gone = gone;
}

// Results of calls.

worker_fleet::worker_link* worker_fleet::complete_call(const std::string& worker,
                                                       std::uint64_t call) {
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
    worker_link* const link = complete_call(worker, call);
    if (link == nullptr) {
        return;
    }
    if (const auto* const error = std::get_if<worker_error>(&result)) {
        on_call_failed(now, worker, *link, *error);
        return;
    }
    take_inventory(now, worker, *link, std::get<worker_inventory>(result));
}

void worker_fleet::take_inventory(common::time_point now, const std::string& worker,
                                  worker_link& link, const worker_inventory& inventory) {
    const bool restarted = link.seen && link.incarnation != inventory.incarnation;
    if (restarted) {
        m_counters.get("worker_restarts_seen_total").add();
    }
    if (link.incarnation != inventory.incarnation) {
        link.events_after = 0;
    }
    m_leases.record_stamp(worker, {inventory.incarnation, inventory.stamp_ms, now});
    if (restarted) {
        link.restart_seen_at = now;
        m_unconfirmed_restarts.insert(worker);
    }
    record_acceptance(worker, link);
    if (!link.seen) {
        // Former owners may have renewed leases up to the adoption.
        m_leases.record_grant(worker);
    }
    if (!link.seen && !link.listing) {
        ++m_presence_version;
    }
    link.seen = true;
    link.adopted = true;
    link.failures = 0;
    link.incarnation = inventory.incarnation;
    link.capacity = inventory.capacity;
    link.leaving = link.leaving || inventory.state == worker_availability::leaving;
    m_events.emplace_back(worker_changed{worker});
    resolve_unconfirmed(worker, link, inventory, restarted);
    const bool adopt_again = !link.unconfirmed.empty() || !has_authority(now);
    link.next_call = adopt_again ? now + m_settings.renew / 3 : now;
    m_events.emplace_back(worker_adopted{inventory, restarted});
}

void worker_fleet::record_acceptance(const std::string& worker, worker_link& link) {
    link.accepted_at = link.call_sent;
    if (!link.restart_seen_at) {
        m_authority.record_acceptance(worker, link.accepted_at);
    }
}

/// A start that is missing from the inventory may still be in transit. It can no longer take effect
/// once its validity has expired on the worker's own clock.
void worker_fleet::resolve_unconfirmed(const std::string& worker, worker_link& link,
                                       const worker_inventory& inventory, bool restarted) {
    const auto validity_ms = common::to_milliseconds(m_settings.lease.start_validity);
    std::vector<unconfirmed_operation> remaining;
    for (auto& item : link.unconfirmed) {
        const auto& attempt = item.operation.attempt;
        const bool held =
            std::any_of(inventory.tasks.begin(), inventory.tasks.end(),
                        [&](const inventory_task& task) { return task.attempt == attempt; });
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
    link.unconfirmed = std::move(remaining);
}

void worker_fleet::on_sync(common::time_point now, const std::string& worker, std::uint64_t call,
                           const sync_result& result) {
    worker_link* const link = complete_call(worker, call);
    if (link == nullptr) {
        return;
    }
    if (const auto* const error = std::get_if<worker_error>(&result)) {
        on_call_failed(now, worker, *link, *error);
        return;
    }
    const auto& response = std::get<sync_response>(result);
    m_leases.record_stamp(worker, {response.incarnation, response.stamp_ms, now});
    record_acceptance(worker, *link);
    link->failures = 0;
    take_results(worker, *link, response);
    emit_reports(worker, response.ended, response.usage);
}

void worker_fleet::take_results(const std::string& worker, worker_link& link,
                                const sync_response& response) {
    std::map<std::string_view, const operation_result*> results;
    for (const auto& item : response.results) {
        results[item.attempt] = &item;
    }
    for (auto& operation : std::exchange(link.in_flight, {})) {
        const auto position = results.find(operation.attempt);
        if (position == results.end()) {
            // A response without a result for an operation violates the protocol; the next
            // inventory shows whether the operation was executed.
            link.unconfirmed.push_back({std::move(operation), link.in_flight_stamp_ms});
            link.adopted = false;
            continue;
        }
        const operation_result& found = *position->second;
        const bool executed = found.status == operation_status::accepted ||
                              found.reason == operation_reason::duplicate;
        if (found.reason == operation_reason::leaving) {
            link.leaving = true;
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
    worker_link& link = position->second;
    link.events_call = 0;
    mark_changed(worker);
    const auto* const response = std::get_if<events_response>(&result);
    if (response == nullptr || response->incarnation != link.incarnation) {
        link.next_events = now + m_settings.retry_max;
        return;
    }
    link.next_events = now;
    link.events_after = response->next;
    m_leases.record_stamp(worker, {response->incarnation, response->stamp_ms, now});
    emit_reports(worker, response->ended, response->usage);
}

void worker_fleet::on_call_failed(common::time_point now, const std::string& worker,
                                  worker_link& link, const worker_error& error) {
    m_counters.get("worker_call_failures_total", "reason", to_string(error.kind)).add();
    if (error.kind == worker_error_kind::stale_epoch) {
        m_events.emplace_back(epoch_fenced{error.accepted_epoch});
        return;
    }
    for (auto& operation : std::exchange(link.in_flight, {})) {
        if (!starts_or_reserves(operation)) {
            continue;
        }
        // Nothing was executed if the request was not sent, and a reservation expires by itself.
        const bool executable = error.kind == worker_error_kind::no_answer ||
                                error.kind == worker_error_kind::bad_answer;
        if (executable && operation.op == worker_op::start) {
            link.unconfirmed.push_back({std::move(operation), link.in_flight_stamp_ms});
        } else {
            m_events.emplace_back(operation_completed{
                worker, std::move(operation), operation_completion::not_executed, {}});
        }
    }
    if (error.kind == worker_error_kind::stale_incarnation) {
        link.next_call = now;
    } else {
        link.next_call = now + backoff(link.failures);
        ++link.failures;
    }
    link.adopted = false;
    fail_queued(worker, link);
    m_events.emplace_back(worker_changed{worker});
}

/// Starts queued for a worker that does not respond can be placed elsewhere immediately. The other
/// operations are queued again after the next inventory.
void worker_fleet::fail_queued(const std::string& worker, worker_link& link) {
    for (auto& operation : link.outbox.take_operations(SIZE_MAX)) {
        if (starts_or_reserves(operation)) {
            m_events.emplace_back(operation_completed{
                worker, std::move(operation), operation_completion::not_executed, {}});
        }
    }
    (void)link.outbox.take_acknowledged();
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
    return m_running && m_authority.is_held(now);
}

void worker_fleet::confirm_restarts(common::time_point unclaimed_at) {
    for (const auto& worker : std::exchange(m_unconfirmed_restarts, {})) {
        worker_link& link = m_links.at(worker);
        if (link.restart_seen_at >= unclaimed_at) {
            m_unconfirmed_restarts.insert(worker);
            continue;
        }
        link.restart_seen_at.reset();
        // Later acceptances prove nothing yet about the time before them.
        m_authority.record_acceptance(worker, std::min(link.accepted_at, unclaimed_at));
        mark_changed(worker);
    }
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
    const worker_link& link = position->second;
    placement::worker_info info{worker,
                                link.listing->region,
                                link.listing->place,
                                link.listing->rack,
                                link.capacity,
                                placement::worker_state::available};
    if (!link.adopted) {
        info.state = placement::worker_state::unreachable;
    } else if (link.leaving) {
        info.state = placement::worker_state::leaving;
    }
    return info;
}

std::set<std::string> worker_fleet::present() const {
    std::set<std::string> workers;
    for (const auto& [worker, link] : m_links) {
        if (link.present()) {
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
