#include "core/scheduling/worker_fleet.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::scheduling {

namespace {

constexpr common::duration poll_end_margin = std::chrono::milliseconds(50);
// A majority usually accepts the epoch with the next renewals, within one renewal period.
constexpr common::duration confirmation_interval = std::chrono::milliseconds(200);
constexpr common::duration min_events_wait = std::chrono::milliseconds(200);

void earlier(std::optional<common::time_point>& next, common::time_point candidate) {
    next = std::min(next.value_or(candidate), candidate);
}

} // namespace

void worker_fleet::mark_changed(const std::string& worker) {
    m_changed.insert(worker);
}

void worker_fleet::mark_all_changed() {
    for (const auto& [worker, link] : m_links) {
        mark_changed(worker);
    }
}

/// Processes the links that have changed or are due. When authority is regained, all links are
/// processed, so that operations held back in the meantime are sent immediately.
void worker_fleet::on_time(common::time_point now) {
    if (!m_running) {
        return;
    }
    for (const auto& worker : m_due.take_due(now)) {
        mark_changed(worker);
    }
    check_leases(now);
    const bool authorised = has_authority(now);
    if (authorised && !m_had_authority) {
        mark_all_changed();
    }
    m_had_authority = authorised;
    for (const auto& worker : std::exchange(m_changed, {})) {
        worker_link& link = m_links.at(worker);
        send_due_calls(now, worker, link, authorised);
        m_due.set(worker, due_time(worker, link));
    }
}

/// A successor that reaches the worker may have renewed the leases before their end. It renews only
/// with a majority, so the end is confirmed once a majority has accepted this epoch after it.
void worker_fleet::check_leases(common::time_point now) {
    std::optional<common::time_point> sole_until;
    for (const auto& worker : m_changed) {
        worker_link& link = m_links.at(worker);
        const auto end = m_leases.latest_end(worker);
        if (!end || now < *end || link.confirmed_end == end) {
            continue;
        }
        if (link.lapsed_end != end) {
            link.lapsed_end = end;
            m_events.emplace_back(leases_lapsed{worker, false});
        } else if (now < link.next_confirmation_check) {
            continue;
        }
        if (!sole_until) {
            sole_until = m_authority.sole_majority_until().value_or(common::time_point::min());
        }
        if (*sole_until < *end) {
            link.next_confirmation_check = now + confirmation_interval;
            continue;
        }
        link.confirmed_end = end;
        link.unconfirmed.clear();
        m_events.emplace_back(leases_lapsed{worker, true});
    }
}

/// Without authority the owner must not renew leases and sends adopt requests instead: they extend
/// no lease, and their acceptance restores the authority.
void worker_fleet::send_due_calls(common::time_point now, const std::string& worker,
                                  worker_link& link, bool authorised) {
    if (!link.listing) {
        return;
    }
    if (link.call == 0) {
        const bool due = now >= link.next_call;
        if (!link.adopted || !link.unconfirmed.empty() || !authorised) {
            if (due) {
                send_adopt(now, worker, link);
            }
        } else if (due || !link.outbox.empty()) {
            send_sync(now, worker, link);
        }
    }
    if (link.adopted && link.events_call == 0 && now >= link.next_events) {
        send_events(now, worker, link);
    }
}

void worker_fleet::send_adopt(common::time_point now, const std::string& worker,
                              worker_link& link) {
    link.call = m_next_call++;
    link.call_sent = now;
    link.next_call = now + m_settings.retry_max;
    m_events.emplace_back(adopt_call{
        worker, link.listing->address, link.call, {m_settings.shard, m_epoch, m_settings.self}});
}

void worker_fleet::send_sync(common::time_point now, const std::string& worker, worker_link& link) {
    const worker_stamp* const stamp = m_leases.newest_stamp(worker);
    if (stamp == nullptr) {
        return;
    }
    sync_request request;
    request.shard = m_settings.shard;
    request.epoch = m_epoch;
    request.owner = m_settings.self;
    request.stamp_ms = stamp->stamp_ms;
    request.incarnation = link.incarnation;
    request.lease_ms = common::to_milliseconds(m_settings.lease.lease);
    request.start_validity_ms = common::to_milliseconds(m_settings.lease.start_validity);
    request.renew = true;
    request.acknowledge = link.outbox.take_acknowledged();
    request.operations = link.outbox.take_operations(m_settings.max_operations_per_sync);
    m_leases.record_grant(worker);
    link.in_flight = request.operations;
    link.in_flight_stamp_ms = request.stamp_ms;
    link.call = m_next_call++;
    link.call_sent = now;
    link.next_call = now + m_settings.renew;
    m_counters.get("worker_renewals_total").add();
    m_events.emplace_back(sync_call{worker, link.listing->address, link.call, std::move(request)});
}

void worker_fleet::send_events(common::time_point now, const std::string& worker,
                               worker_link& link) {
    // The poll ends just before the next renewal, so that the renewal carries a recent stamp.
    // Leases count from the stamp: one as old as a renewal period shortens them by that time.
    const auto wait = std::clamp(link.next_call - now - poll_end_margin, min_events_wait,
                                 std::max(m_settings.renew, min_events_wait));
    link.events_call = m_next_call++;
    link.next_events = now;
    m_events.emplace_back(
        events_call{worker, link.listing->address, link.events_call, link.events_after, wait});
}

std::optional<common::time_point> worker_fleet::due_time(const std::string& worker,
                                                         const worker_link& link) const {
    std::optional<common::time_point> due;
    if (link.listing && link.call == 0) {
        earlier(due, link.next_call);
    }
    if (link.listing && link.adopted && link.events_call == 0) {
        earlier(due, link.next_events);
    }
    const auto end = m_leases.latest_end(worker);
    if (end && link.lapsed_end != end) {
        earlier(due, *end);
    } else if (end && link.confirmed_end != end) {
        earlier(due, link.next_confirmation_check);
    }
    return due;
}

std::optional<common::time_point> worker_fleet::next_wakeup() const {
    std::optional<common::time_point> next = m_due.next();
    for (const auto& worker : m_changed) {
        if (const auto due = due_time(worker, m_links.at(worker))) {
            earlier(next, *due);
        }
    }
    return next;
}

} // namespace buckthornspar::scheduling
