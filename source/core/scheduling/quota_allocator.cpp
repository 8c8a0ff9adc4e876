#include "core/scheduling/quota_allocator.h"

#include "core/scheduling/quota_amounts.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::scheduling {

using placement::resources;

namespace {

// The product of two amounts of a large fleet can overflow 64 bits.
std::int64_t scale_down(std::int64_t amount, std::int64_t whole, std::int64_t sum) {
    if (sum <= whole) {
        return amount;
    }
    return static_cast<std::int64_t>(static_cast<long double>(amount) *
                                     static_cast<long double>(whole) /
                                     static_cast<long double>(sum));
}

resources scale_down(const resources& amount, const resources& whole, const resources& sum) {
    return {scale_down(amount.cpu_milli, whole.cpu_milli, sum.cpu_milli),
            scale_down(amount.memory_mb, whole.memory_mb, sum.memory_mb),
            scale_down(amount.accelerators, whole.accelerators, sum.accelerators)};
}

} // namespace

quota_allocator::quota_allocator(const quota_exchange_settings& settings,
                                 const std::vector<std::string>& others)
    : m_settings(settings) {
    for (const auto& shard : others) {
        m_holders[shard].retry = settings.retry;
    }
}

void quota_allocator::on_quota_removed() {
    m_limit = {};
    m_own_waiting_since.reset();
    for (auto& [shard, holder] : m_holders) {
        holder.known = false;
        holder.reply_due = false;
        holder.needs_confirmation = false;
        holder.awaits_quota = false;
        holder.wanted = {};
    }
}

bool quota_allocator::all_known() const {
    return std::all_of(m_holders.begin(), m_holders.end(),
                       [](const auto& item) { return item.second.known; });
}

resources quota_allocator::committed() const {
    resources sum;
    for (const auto& [shard, holder] : m_holders) {
        sum += holder.committed;
    }
    return sum;
}

bool quota_allocator::has_waiting_demand(const quota_need& need) const {
    return need.waiting != resources{} ||
           std::any_of(m_holders.begin(), m_holders.end(), [](const auto& item) {
               return item.second.awaits_quota ||
                      exceeds(item.second.wanted, item.second.committed);
           });
}

void quota_allocator::on_outdated_epoch(const std::string& shard) {
    m_holders.at(shard).outdated_epoch = true;
}

quota_message_result quota_allocator::on_statement(common::time_point now,
                                                   const quota_message& message) {
    holder_state& holder = m_holders.at(message.from_shard);
    if (message.from_epoch < holder.epoch) {
        return quota_message_result::stale_epoch;
    }
    if (message.from_epoch > holder.epoch) {
        // The limit of the former owner is void; the new owner starts with a limit of zero.
        holder.epoch = message.from_epoch;
        holder.last_statement = 0;
        holder.last_grant = 0;
        holder.grant_acknowledged = true;
        holder.granted = {};
        holder.recalled = false;
        holder.needs_confirmation = false;
    }
    if (message.sequence <= holder.last_statement) {
        return quota_message_result::stale_sequence;
    }
    const bool waited = exceeds(holder.wanted, holder.granted);
    holder.last_statement = message.sequence;
    holder.last_heard = now;
    holder.outdated_epoch = false;
    holder.reply_due = true;
    holder.retry = m_settings.retry;
    holder.wanted = message.wanted;
    holder.least = message.least;
    holder.awaits_quota = message.reply;
    if (message.answers == holder.last_grant) {
        holder.committed = message.amount;
        // A former owner of the home shard may have granted this amount.
        holder.granted = holder.known ? min_of(holder.granted, message.amount) : message.amount;
        holder.needs_confirmation = false;
        holder.grant_acknowledged = true;
    } else {
        // A grant in flight may raise the limit after this statement was sent.
        holder.committed = max_of(holder.committed, message.amount);
    }
    holder.known = true;
    if (!waited && exceeds(holder.wanted, holder.granted)) {
        holder.waiting_since = now;
    }
    return quota_message_result::accepted;
}

/// After the quota was lowered, reduces limits proportionally if their sum exceeds it. Usage above
/// the new limits remains committed until the tasks have ended.
void quota_allocator::recall(const resources& quota, std::uint64_t& sequence) {
    resources sum;
    for (const auto& [shard, holder] : m_holders) {
        sum += holder.granted;
    }
    if (!exceeds(sum, quota)) {
        return;
    }
    for (auto& [shard, holder] : m_holders) {
        const resources target = scale_down(holder.granted, quota, sum);
        if (target != holder.granted) {
            recall_to(holder, target, sequence);
        }
    }
}

void quota_allocator::recall_to(holder_state& holder, const resources& limit,
                                std::uint64_t& sequence) {
    holder.granted = limit;
    holder.last_grant = ++sequence;
    holder.recalled = true;
    holder.grant_acknowledged = false;
    holder.needs_confirmation = true;
    holder.next_send = {};
}

/// Grants nothing if the first waiting task would still not fit, because the quota would stay
/// unused.
void quota_allocator::grant_more(common::time_point now, holder_state& holder, resources& available,
                                 std::uint64_t& sequence) {
    if (exceeds(surplus(holder.least, holder.committed), available)) {
        return;
    }
    const resources more = min_of(surplus(holder.wanted, holder.committed), available);
    const resources total = holder.committed + more;
    if (total == holder.granted) {
        return;
    }
    available -= more;
    holder.committed = total;
    holder.granted = total;
    holder.last_grant = ++sequence;
    holder.recalled = false;
    holder.grant_acknowledged = false;
    holder.waiting_since = now;
    // If a reply is lost, the holder repeats its statement, so a reply needs no confirmation.
    holder.needs_confirmation = !holder.reply_due;
    holder.next_send = {};
}

void quota_allocator::allocate(common::time_point now, const quota_need& need,
                               const resources& quota, std::uint64_t& sequence) {
    resources available = quota - committed() - need.used;
    if (!available.non_negative()) {
        // A grant in flight could raise a limit while the quota is exceeded.
        for (auto& [shard, holder] : m_holders) {
            if (!holder.grant_acknowledged && !holder.recalled) {
                recall_to(holder, holder.granted, sequence);
            }
        }
        return;
    }
    // The shard that has waited longest is served first; a null pointer denotes the home shard.
    std::vector<std::pair<common::time_point, holder_state*>> waiting;
    for (auto& [shard, holder] : m_holders) {
        if (exceeds(holder.wanted, holder.granted)) {
            waiting.emplace_back(holder.waiting_since, &holder);
        }
    }
    if (m_own_waiting_since) {
        waiting.emplace_back(*m_own_waiting_since, nullptr);
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [since, holder] : waiting) {
        if (holder != nullptr) {
            grant_more(now, *holder, available, sequence);
        } else if (need.next.fits(available)) {
            available -= min_of(need.waiting, available);
            m_own_waiting_since = now;
        }
    }
}

void quota_allocator::schedule_wakeup(common::time_point time) {
    m_wakeup = std::min(m_wakeup.value_or(time), time);
}

std::optional<outgoing_quota_message>
quota_allocator::next_message(common::time_point now, holder_state& holder, bool waits) {
    const bool silent = now >= holder.last_heard + m_settings.refresh_after;
    const bool query = holder.outdated_epoch ||
                       (waits && (!holder.known || (silent && holder.committed != resources{})));
    if (waits && holder.known && !silent && holder.committed != resources{}) {
        schedule_wakeup(holder.last_heard + m_settings.refresh_after);
    }
    if (!holder.reply_due && !holder.needs_confirmation && !query) {
        return std::nullopt;
    }
    const bool repeated = !holder.reply_due && holder.next_send != common::time_point{};
    if (!holder.reply_due && now < holder.next_send) {
        schedule_wakeup(holder.next_send);
        return std::nullopt;
    }
    quota_message message;
    message.to_epoch = holder.epoch;
    message.answers = holder.last_statement;
    message.reply = holder.needs_confirmation || query;
    // A grant is addressed to an epoch of its receiver. A silent shard may have a new owner, which
    // accepts only a query.
    message.kind = holder.reply_due || (holder.needs_confirmation && !silent)
                       ? quota_message_kind::grant
                       : quota_message_kind::query;
    if (message.kind == quota_message_kind::grant) {
        message.sequence = holder.last_grant;
        message.amount = holder.granted;
        message.recall = holder.recalled;
    }
    holder.retry = repeated ? std::min(holder.retry * 2, m_settings.max_retry) : m_settings.retry;
    holder.next_send = now + holder.retry;
    if (message.reply) {
        schedule_wakeup(holder.next_send);
    }
    holder.reply_due = false;
    holder.outdated_epoch = false;
    return outgoing_quota_message{message, repeated};
}

std::vector<outgoing_quota_message> quota_allocator::on_time(common::time_point now,
                                                             const quota_need& need,
                                                             const resources& quota,
                                                             std::uint64_t& sequence) {
    m_wakeup.reset();
    if (need.waiting == resources{}) {
        m_own_waiting_since.reset();
    } else if (!m_own_waiting_since) {
        m_own_waiting_since = now;
    }
    if (all_known()) {
        recall(quota, sequence);
        allocate(now, need, quota, sequence);
        m_limit = surplus(quota, committed());
        for (auto& [shard, holder] : m_holders) {
            holder.reply_due = std::exchange(holder.awaits_quota, false) || holder.reply_due;
        }
    } else {
        m_limit = {};
    }
    const bool waits = has_waiting_demand(need);
    std::vector<outgoing_quota_message> messages;
    for (auto& [shard, holder] : m_holders) {
        if (auto next = next_message(now, holder, waits)) {
            next->message.to_shard = shard;
            if (next->message.kind == quota_message_kind::grant && all_known()) {
                next->message.quota = quota;
            }
            messages.push_back(std::move(*next));
        }
    }
    return messages;
}

} // namespace buckthornspar::scheduling
