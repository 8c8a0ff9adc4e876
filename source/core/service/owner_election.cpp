#include "core/service/owner_election.h"

#include "core/common/error.h"
#include "core/common/logging.h"
#include "core/service/store_keys.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace buckthornspar::service {

using common::log_event;
using common::severity;
using dispatch::store_item;
using dispatch::store_result;
using dispatch::store_status;
namespace json = boost::json;

namespace {

// Claims are delayed by a random time up to this bound, so that usually only one candidate claims.
constexpr std::uint64_t max_claim_jitter_us = 40'000;
// Delayed claims are spread further, because many nodes may have the same delay.
constexpr std::uint64_t delay_jitter_divisor = 8;
// After a hand-over the other nodes may claim for this long before this node does. Longer than the
// longest delay of a claim and the claim itself.
constexpr auto claim_pause = std::chrono::milliseconds(2500);
// A failed renewal is retried sooner than the regular interval. A single failure can be a lost
// answer; two in a row are reported.
constexpr common::duration failed_renewal_retry_delay = std::chrono::milliseconds(100);
constexpr unsigned failed_renewals_to_report = 2;
// Calls to the store that fail do so within 0.7 s. A failure that is handled later than this shows
// a pause of the process or a busy event loop, and not a store that does not respond.
constexpr auto max_failure_time = std::chrono::milliseconds(1000);
constexpr auto claim_retry_delay = std::chrono::milliseconds(200);
// The watch may wait this long because most ends of an ownership are detected earlier: the owner
// reports that it has resigned, or its port refuses connections.
constexpr auto watch_wait = std::chrono::milliseconds(3000);

std::string write_owner(const election_settings& settings) {
    return json::serialize(json::object{{"node", settings.node},
                                        {"process", settings.process},
                                        {"address", net::to_string(settings.address)}});
}

owner_record read_owner(const store_item& item) {
    return common::read_document("owner record", [&] {
        const auto value = json::parse(item.value);
        const auto& object = value.as_object();
        owner_record owner;
        owner.node = json::value_to<std::string>(object.at("node"));
        owner.process = object.at("process").to_number<std::uint64_t>();
        owner.address = net::parse_endpoint(json::value_to<std::string>(object.at("address")));
        owner.fence = item.revision;
        return owner;
    });
}

} // namespace

owner_election::owner_election(dispatch::shared_store& store, net::event_loop& loop,
                               election_settings settings, listener receiver)
    : m_store(store),
      m_loop(loop),
      m_settings(std::move(settings)),
      m_listener(std::move(receiver)),
      m_rng(m_settings.process) {}

void owner_election::start() {
    prefix_watcher::listener receiver;
    receiver.on_snapshot = [this](const std::vector<store_item>& items, std::uint64_t revision) {
        on_item(items.empty() ? std::nullopt : std::optional(items.front()), revision);
    };
    receiver.on_events = [this](const std::vector<dispatch::store_event>& events) {
        const auto& last = events.back();
        on_item(last.removed ? std::nullopt : std::optional(last.item), last.item.revision);
    };
    m_watcher = std::make_shared<prefix_watcher>(
        m_store, m_loop, watch_settings{std::string(owner_key), watch_wait, {}},
        std::move(receiver));
    m_watcher->start();
}

void owner_election::set_candidate(bool candidate) {
    m_candidate = candidate;
    schedule_claim_if_vacant();
}

void owner_election::on_item(const std::optional<store_item>& item, std::uint64_t at) {
    // The answer to a claim may arrive before the watch has delivered the events that preceded it.
    if (at < m_known_at) {
        return;
    }
    m_known_at = at;
    m_owner_key_read = true;
    m_revision = item ? item->revision : 0;
    m_owner.reset();
    if (item) {
        try {
            m_owner = read_owner(*item);
        } catch (const common::format_error& e) {
            log_event(severity::error, "owner_record_unreadable", {{"reason", e.what()}});
        }
    }
    const bool own =
        m_owner && m_owner->node == m_settings.node && m_owner->process == m_settings.process;
    if (m_is_owner && !own) {
        m_is_owner = false;
        m_lost_fence = std::max(m_lost_fence, m_won_fence);
        const std::string_view reason = m_owner ? "replaced" : "key_removed";
        log_event(severity::warning, "owner_lost", {{"reason", reason}});
        m_listener.on_ownership_lost(reason);
    }
    m_listener.on_owner_changed(m_owner);
    if (own && !m_is_owner && !m_stopping && m_lease != 0 && m_owner->fence > m_lost_fence) {
        m_is_owner = true;
        m_won_fence = m_owner->fence;
        log_event(severity::info, "owner_won", {{"fence", m_owner->fence}});
        begin_renewals();
        m_listener.on_elected(*m_owner);
        return;
    }
    schedule_claim_if_vacant();
}

void owner_election::schedule_claim_if_vacant() {
    const bool own_key =
        m_owner && m_owner->node == m_settings.node && m_owner->process == m_settings.process;
    if (!m_owner_key_read || !m_candidate || m_claim_pending || m_is_owner || m_stopping ||
        own_key || owned_by_other_process()) {
        return;
    }
    m_claim_pending = true;
    m_loop.post_after(next_claim_delay(), [self = shared_from_this()] { self->claim(); });
}

common::duration owner_election::next_claim_delay() {
    if (left_by_earlier_process()) {
        if (m_settings.claim_delay <= common::duration(0)) {
            return common::duration(0);
        }
        // More suitable nodes need not wait for the end of its lease.
        release_earlier_key();
    }
    const auto jitter = std::chrono::duration_cast<common::duration>(
        std::chrono::microseconds(m_rng.below(max_claim_jitter_us)) +
        std::chrono::duration_cast<std::chrono::microseconds>(m_settings.claim_delay) *
            static_cast<std::int64_t>(m_rng.below(1000)) / 1000 / delay_jitter_divisor);
    const auto pause = std::max(common::duration(0), m_claims_paused_until - m_clock.now());
    return pause + m_settings.claim_delay + jitter;
}

void owner_election::release_earlier_key() {
    if (m_released_fence == m_owner->fence) {
        return;
    }
    m_released_fence = m_owner->fence;
    dispatch::store_commit change;
    change.expect.push_back({std::string(owner_key), m_revision});
    change.remove.emplace_back(owner_key);
    m_store.commit(change, [](const store_result&) {});
}

void owner_election::claim() {
    if (owned_by_other_process() || m_stopping) {
        m_claim_pending = false;
        return;
    }
    m_store.open_lease(m_settings.lease, [self = shared_from_this(),
                                          sent_at = m_clock.now()](const store_result& result) {
        if (result.status != store_status::ok) {
            self->m_loop.post_after(claim_retry_delay, [self] {
                self->m_claim_pending = false;
                self->schedule_claim_if_vacant();
            });
            return;
        }
        self->commit_claim(result.lease, sent_at);
    });
}

bool owner_election::owned_by_other_process() const {
    if (!m_owner || m_owner->fence == m_ended_fence) {
        return false;
    }
    if (m_owner->node != m_settings.node) {
        return true;
    }
    return m_owner->process != m_settings.process && !left_by_earlier_process();
}

// A key of an earlier process of this node can be replaced at once if that process has ended. It
// has when this process listens on its address, which only one process at a time can do. A process
// with other settings may still run, and two such processes would replace each other without end.
bool owner_election::left_by_earlier_process() const {
    return m_owner && m_owner->node == m_settings.node && m_owner->process != m_settings.process &&
           m_owner->address == m_settings.address;
}

void owner_election::on_owner_suspected(const owner_record& owner, bool ended) {
    if (!m_owner || m_owner->fence != owner.fence || m_is_owner || m_stopping) {
        return;
    }
    if (!ended) {
        m_watcher->refresh();
        return;
    }
    if (m_ended_fence == owner.fence) {
        return;
    }
    log_event(severity::info, "owner_ended", {{"owner", owner.node}, {"fence", owner.fence}});
    m_ended_fence = owner.fence;
    schedule_claim_if_vacant();
}

// A connection can be refused while the process goes on. A delayed claim must not follow from it.
void owner_election::on_owner_alive(std::uint64_t fence) {
    if (m_ended_fence == fence) {
        m_ended_fence = 0;
    }
}

void owner_election::commit_claim(std::uint64_t lease, common::time_point opened_at) {
    if (owned_by_other_process() || m_stopping) {
        // Another node has claimed the ownership while the lease was being opened.
        m_claim_pending = false;
        m_store.end_lease(lease, [](const store_result&) {});
        return;
    }
    m_lease = lease;
    m_lease_opened_at = opened_at;
    dispatch::store_commit change;
    change.expect.push_back({std::string(owner_key), m_revision});
    change.put.push_back({std::string(owner_key), write_owner(m_settings), lease});
    m_store.commit(change, [self = shared_from_this(), lease](const store_result& result) {
        if (result.status == store_status::ok) {
            // The watch may deliver the key before or after this answer. The ownership follows from
            // the key, whichever comes first.
            self->m_claim_pending = false;
            if (!self->m_is_owner && self->m_revision < result.revision) {
                store_item item;
                item.key = std::string(owner_key);
                item.value = write_owner(self->m_settings);
                item.revision = result.revision;
                self->on_item(item, result.revision);
            }
            return;
        }
        // Without an answer the claim may still have succeeded; the watch then delivers the key.
        const bool open = result.status == store_status::unknown;
        self->m_loop.post_after(claim_retry_delay, [self, lease, open] {
            if (open && !self->m_is_owner) {
                // The next claim has a lease of its own, and only that one would be renewed. The
                // store refuses a key with a lease that has ended.
                self->m_store.end_lease(lease, [](const store_result&) {});
            }
            self->m_claim_pending = false;
            self->schedule_claim_if_vacant();
        });
    });
}

void owner_election::begin_renewals() {
    m_failed_renewals = 0;
    m_failed_at.reset();
    m_renewed_at = m_lease_opened_at;
    m_confirmed_until = m_lease_opened_at + m_settings.lease;
    m_next_renewal = m_clock.now();
    renew_if_due();
}

// Renewals follow each other at a fixed interval and do not wait for the answer of the last one: a
// lost answer alone would use up more than half of the lease.
void owner_election::renew_if_due() {
    const auto now = m_clock.now();
    if (!m_is_owner || now < m_next_renewal) {
        return;
    }
    m_next_renewal = now + m_settings.renewal;
    schedule_renewal(m_next_renewal);
    m_store.keep_lease(m_lease, [self = shared_from_this(), lease = m_lease,
                                 sent_at = now](const store_result& result) {
        self->on_renewal(lease, sent_at, result);
    });
}

void owner_election::schedule_renewal(common::time_point due) {
    m_loop.post_after(due - m_clock.now(), [self = shared_from_this()] { self->renew_if_due(); });
}

void owner_election::on_renewal(std::uint64_t lease, common::time_point sent_at,
                                const store_result& result) {
    if (!m_is_owner || lease != m_lease) {
        return;
    }
    if (result.status == store_status::not_found) {
        mark_lost("lease_ended");
        schedule_claim_if_vacant();
        return;
    }
    if (result.status == store_status::ok) {
        m_failed_renewals = 0;
        m_failed_at.reset();
        m_renewed_at = std::max(m_renewed_at, sent_at);
        m_confirmed_until = std::max(m_confirmed_until, sent_at + m_settings.lease);
        return;
    }
    if (sent_at < m_renewed_at) {
        // A later renewal has succeeded.
        return;
    }
    record_failure(sent_at);
    ++m_failed_renewals;
    if (m_failed_renewals >= failed_renewals_to_report && m_owner) {
        m_listener.on_renewals_failing(*m_owner);
    }
    const auto retry_at = m_clock.now() + failed_renewal_retry_delay;
    if (retry_at < m_next_renewal) {
        m_next_renewal = retry_at;
        schedule_renewal(retry_at);
    }
}

void owner_election::record_failure(common::time_point sent_at) {
    const auto now = m_clock.now();
    if (now - sent_at < max_failure_time) {
        m_failed_at = now;
    }
}

bool owner_election::may_act() {
    renew_if_due();
    const auto now = m_clock.now();
    if (!m_is_owner || now < m_confirmed_until) {
        return m_is_owner;
    }
    if (m_failed_at && now - *m_failed_at < max_failure_time) {
        return true;
    }
    read_owner_key();
    return false;
}

// After a pause of the process another node may be the owner, and the watch may not have delivered
// its key yet. While calls to the store fail, the key cannot be read, and the owner's authority
// over the workers decides.
void owner_election::read_owner_key() {
    if (m_key_read_pending) {
        return;
    }
    m_key_read_pending = true;
    log_event(severity::info, "owner_lease_uncertain", {{"fence", m_won_fence}});
    m_store.read(std::string(owner_key), [self = shared_from_this(), fence = m_won_fence,
                                          sent_at = m_clock.now()](const store_result& result) {
        self->m_key_read_pending = false;
        if (!self->m_is_owner || self->m_won_fence != fence) {
            return;
        }
        if (result.status == store_status::ok && !result.items.empty()) {
            self->on_item(result.items.front(), result.revision);
        } else if (result.status == store_status::not_found) {
            // The answer has no revision. The read was sent in this term, so that it is newer than
            // all that is known of the key.
            self->on_item(std::nullopt, self->m_known_at);
            return;
        } else {
            self->record_failure(sent_at);
            return;
        }
        // The answer to the next renewal is due by then.
        self->m_confirmed_until =
            std::max(self->m_confirmed_until, self->m_clock.now() + self->m_settings.renewal);
    });
}

void owner_election::mark_lost(std::string_view reason) {
    if (!m_is_owner) {
        return;
    }
    m_is_owner = false;
    m_lost_fence = m_owner ? std::max(m_lost_fence, m_owner->fence) : m_lost_fence;
    log_event(severity::warning, "owner_lost", {{"reason", reason}});
    m_listener.on_ownership_lost(reason);
}

void owner_election::mark_lost(std::string_view reason, std::uint64_t fence) {
    if (fence == m_won_fence) {
        mark_lost(reason);
    }
}

// The key goes with the lease. If the store does not answer, it goes when the lease expires.
void owner_election::hand_over(std::uint64_t fence) {
    if (!m_is_owner || fence != m_won_fence || m_stopping) {
        return;
    }
    m_is_owner = false;
    m_lost_fence = std::max(m_lost_fence, fence);
    m_claims_paused_until = m_clock.now() + claim_pause;
    log_event(severity::info, "owner_resigns", {{"fence", fence}});
    m_listener.on_ownership_lost("handed_over");
    m_store.end_lease(m_lease, [](const store_result&) {});
}

void owner_election::resign(std::function<void()> complete) {
    m_stopping = true;
    if (m_watcher) {
        m_watcher->stop();
    }
    if (!m_is_owner) {
        complete();
        return;
    }
    m_is_owner = false;
    log_event(severity::info, "owner_resigns", {});
    m_store.end_lease(m_lease,
                      [complete = std::move(complete)](const store_result&) { complete(); });
}

} // namespace buckthornspar::service
