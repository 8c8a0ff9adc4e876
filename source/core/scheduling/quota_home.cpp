#include "core/scheduling/quota_home.h"

#include "core/scheduling/quota_amounts.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::scheduling {

using placement::resources;

namespace {

// The product of two amounts of a large fleet can overflow 64 bits.
std::int64_t portion(std::int64_t amount, std::int64_t whole, std::int64_t sum) {
    if (sum <= whole) {
        return amount;
    }
    return static_cast<std::int64_t>(static_cast<long double>(amount) *
                                     static_cast<long double>(whole) /
                                     static_cast<long double>(sum));
}

resources portion(const resources& amount, const resources& whole, const resources& sum) {
    return {portion(amount.cpu_milli, whole.cpu_milli, sum.cpu_milli),
            portion(amount.memory_mb, whole.memory_mb, sum.memory_mb),
            portion(amount.accelerators, whole.accelerators, sum.accelerators)};
}

} // namespace

quota_home::quota_home(const quota_exchange_settings& settings,
                       const std::vector<std::string>& others)
    : m_settings(settings) {
    for (const auto& shard : others) {
        m_parts[shard].retry = settings.retry;
    }
}

void quota_home::forget() {
    m_limit = {};
    m_own_since.reset();
    for (auto& [shard, p] : m_parts) {
        p.known = false;
        p.reply_due = false;
        p.confirm = false;
        p.asks_quota = false;
        p.wanted = {};
    }
}

bool quota_home::all_known() const {
    return std::all_of(m_parts.begin(), m_parts.end(),
                       [](const auto& item) { return item.second.known; });
}

resources quota_home::counted() const {
    resources sum;
    for (const auto& [shard, p] : m_parts) {
        sum += p.counted;
    }
    return sum;
}

bool quota_home::anybody_waits(const quota_need& need) const {
    return need.waiting != resources{} ||
           std::any_of(m_parts.begin(), m_parts.end(), [](const auto& item) {
               return item.second.asks_quota || exceeds(item.second.wanted, item.second.counted);
           });
}

void quota_home::on_misdirected(const std::string& shard) {
    m_parts.at(shard).misdirected = true;
}

quota_verdict quota_home::on_statement(common::time_point now, const quota_message& message) {
    part& p = m_parts.at(message.from_shard);
    if (message.from_epoch < p.epoch) {
        return quota_verdict::stale_epoch;
    }
    if (message.from_epoch > p.epoch) {
        // The former owner's limit has ended; that of the new one starts at zero.
        p.epoch = message.from_epoch;
        p.heard = 0;
        p.grant = 0;
        p.settled = true;
        p.granted = {};
        p.recalled = false;
        p.confirm = false;
    }
    if (message.sequence <= p.heard) {
        return quota_verdict::stale_sequence;
    }
    const bool waited = exceeds(p.wanted, p.granted);
    p.heard = message.sequence;
    p.last_heard = now;
    p.misdirected = false;
    p.reply_due = true;
    p.retry = m_settings.retry;
    p.wanted = message.wanted;
    p.least = message.least;
    p.asks_quota = message.reply;
    if (message.answers == p.grant) {
        p.counted = message.amount;
        // A former owner of this shard may have granted as much.
        p.granted = p.known ? least_of(p.granted, message.amount) : message.amount;
        p.confirm = false;
        p.settled = true;
    } else {
        // A grant is on its way, which may raise the limit after this statement was sent.
        p.counted = most_of(p.counted, message.amount);
    }
    p.known = true;
    if (!waited && exceeds(p.wanted, p.granted)) {
        p.since = now;
    }
    return quota_verdict::taken;
}

/// After a lowering of the quota: limits that are too large together come down in proportion. What
/// tasks use beyond them stays counted until it has ended.
void quota_home::recall(const resources& quota, std::uint64_t& sequence) {
    resources sum;
    for (const auto& [shard, p] : m_parts) {
        sum += p.granted;
    }
    if (!exceeds(sum, quota)) {
        return;
    }
    for (auto& [shard, p] : m_parts) {
        const resources target = portion(p.granted, quota, sum);
        if (target != p.granted) {
            take_back(p, target, sequence);
        }
    }
}

void quota_home::take_back(part& p, const resources& limit, std::uint64_t& sequence) {
    p.granted = limit;
    p.grant = ++sequence;
    p.recalled = true;
    p.settled = false;
    p.confirm = true;
    p.next_send = {};
}

/// A part that is too small for the first waiting task would lie unused.
void quota_home::offer(common::time_point now, part& p, resources& room, std::uint64_t& sequence) {
    if (exceeds(beyond(p.least, p.counted), room)) {
        return;
    }
    const resources more = least_of(beyond(p.wanted, p.counted), room);
    const resources total = p.counted + more;
    if (total == p.granted) {
        return;
    }
    room -= more;
    p.counted = total;
    p.granted = total;
    p.grant = ++sequence;
    p.recalled = false;
    p.settled = false;
    p.since = now;
    // A lost answer is noticed by the holder, which repeats its statement.
    p.confirm = !p.reply_due;
    p.next_send = {};
}

void quota_home::allocate(common::time_point now, const quota_need& need, const resources& quota,
                          std::uint64_t& sequence) {
    resources room = quota - counted() - need.used;
    if (!room.non_negative()) {
        // A grant that is still on its way would raise a limit while the quota is exceeded.
        for (auto& [shard, p] : m_parts) {
            if (!p.settled && !p.recalled) {
                take_back(p, p.granted, sequence);
            }
        }
        return;
    }
    // The longest waiting shard goes first; an empty pointer stands for the own one.
    std::vector<std::pair<common::time_point, part*>> waiting;
    for (auto& [shard, p] : m_parts) {
        if (exceeds(p.wanted, p.granted)) {
            waiting.emplace_back(p.since, &p);
        }
    }
    if (m_own_since) {
        waiting.emplace_back(*m_own_since, nullptr);
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [since, p] : waiting) {
        if (p != nullptr) {
            offer(now, *p, room, sequence);
        } else if (need.next.fits(room)) {
            room -= least_of(need.waiting, room);
            m_own_since = now;
        }
    }
}

void quota_home::wake_at(common::time_point time) {
    m_wakeup = std::min(m_wakeup.value_or(time), time);
}

std::optional<outgoing_quota_message> quota_home::next_message(common::time_point now, part& p,
                                                               bool waits) {
    const bool silent = now >= p.last_heard + m_settings.refresh_after;
    const bool query =
        p.misdirected || (waits && (!p.known || (silent && p.counted != resources{})));
    if (waits && p.known && !silent && p.counted != resources{}) {
        wake_at(p.last_heard + m_settings.refresh_after);
    }
    if (!p.reply_due && !p.confirm && !query) {
        return std::nullopt;
    }
    const bool repeated = !p.reply_due && p.next_send != common::time_point{};
    if (!p.reply_due && now < p.next_send) {
        wake_at(p.next_send);
        return std::nullopt;
    }
    quota_message message;
    message.to_epoch = p.epoch;
    message.answers = p.heard;
    message.reply = p.confirm || query;
    // A grant names the epoch of its receiver; a new owner of a silent shard takes only a query.
    message.kind = p.reply_due || (p.confirm && !silent) ? quota_message_kind::grant
                                                         : quota_message_kind::query;
    if (message.kind == quota_message_kind::grant) {
        message.sequence = p.grant;
        message.amount = p.granted;
        message.recall = p.recalled;
    }
    p.retry = repeated ? std::min(p.retry * 2, m_settings.max_retry) : m_settings.retry;
    p.next_send = now + p.retry;
    if (message.reply) {
        wake_at(p.next_send);
    }
    p.reply_due = false;
    p.misdirected = false;
    return outgoing_quota_message{message, repeated};
}

std::vector<outgoing_quota_message> quota_home::on_time(common::time_point now,
                                                        const quota_need& need,
                                                        const resources& quota,
                                                        std::uint64_t& sequence) {
    m_wakeup.reset();
    if (need.waiting == resources{}) {
        m_own_since.reset();
    } else if (!m_own_since) {
        m_own_since = now;
    }
    if (all_known()) {
        recall(quota, sequence);
        allocate(now, need, quota, sequence);
        m_limit = beyond(quota, counted());
        for (auto& [shard, p] : m_parts) {
            p.reply_due = std::exchange(p.asks_quota, false) || p.reply_due;
        }
    } else {
        m_limit = {};
    }
    const bool waits = anybody_waits(need);
    std::vector<outgoing_quota_message> messages;
    for (auto& [shard, p] : m_parts) {
        if (auto next = next_message(now, p, waits)) {
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
