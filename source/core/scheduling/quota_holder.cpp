#include "core/scheduling/quota_holder.h"

#include "core/scheduling/quota_amounts.h"

#include <algorithm>

namespace buckthornspar::scheduling {

using placement::resources;

namespace {

constexpr common::duration repeated_ask_within = std::chrono::seconds(1);

} // namespace

void quota_holder::forget() {
    m_limit = {};
    m_believed.reset();
    m_asked.reset();
    m_reply_due = false;
    m_lowered = false;
    m_quota.reset();
    m_answered = m_sent;
}

void quota_holder::on_home(common::time_point now, std::uint64_t epoch) {
    if (epoch <= m_home_epoch) {
        return;
    }
    m_home_epoch = epoch;
    m_grant = 0;
    m_believed.reset();
    m_asked.reset();
    m_retry = m_settings.retry;
    m_retry_at = now;
}

quota_verdict quota_holder::on_message(common::time_point now, const quota_message& message,
                                       const resources& quota) {
    note_quota(quota);
    if (message.from_epoch < m_home_epoch) {
        return quota_verdict::stale_epoch;
    }
    on_home(now, message.from_epoch);
    m_heard_at = now;
    m_retry = m_settings.retry;
    if (message.kind == quota_message_kind::query) {
        m_reply_due = true;
        return quota_verdict::taken;
    }
    // A grant of a quota that was lowered meanwhile must not raise the limit.
    const bool raises =
        message.sequence > m_grant && !message.recall && exceeds(message.amount, m_limit);
    if (raises && message.quota != m_quota) {
        return quota_verdict::stale_quota;
    }
    m_answered = std::max(m_answered, message.answers);
    m_lowered = m_lowered && message.quota != m_quota;
    if (message.sequence == 0) {
        return quota_verdict::taken;
    }
    m_reply_due = m_reply_due || (message.reply && message.sequence >= m_grant);
    if (message.sequence <= m_grant) {
        return message.sequence < m_grant ? quota_verdict::stale_sequence : quota_verdict::taken;
    }
    m_grant = message.sequence;
    m_limit = message.recall ? least_of(m_limit, message.amount) : message.amount;
    m_believed = message.amount;
    m_window = now;
    m_peak = {};
    m_rose = false;
    return quota_verdict::taken;
}

void quota_holder::note_quota(const resources& quota) {
    if (m_quota && exceeds(*m_quota, quota) && m_limit != resources{}) {
        m_lowered = true;
        m_retry_at = {};
    }
    m_quota = quota;
}

/// Tasks that end are often followed by others at once, so that only what a whole window has not
/// used is returned.
void quota_holder::return_unused(common::time_point now, const quota_need& need) {
    if (exceeds(need.used, m_last_used)) {
        m_rose = true;
        m_ask_wait = {};
        m_ask_at = now;
        m_returned_unused.reset();
    }
    m_last_used = need.used;
    m_peak = most_of(m_peak, need.used);
    if (now < m_window + m_settings.return_after) {
        return;
    }
    if (exceeds(m_limit, m_peak)) {
        m_limit = least_of(m_limit, m_peak);
        if (!m_rose) {
            m_returned_unused = now;
        }
    }
    m_window = now;
    m_peak = need.used;
}

/// Tasks that wait for the quota as soon as an unused part was returned have no room on the workers
/// either, and asking for the part again at once would only cause messages.
void quota_holder::check_repeated_ask(common::time_point now, const quota_need& need) {
    if (!m_returned_unused || now < *m_returned_unused) {
        return;
    }
    if (now > *m_returned_unused + repeated_ask_within) {
        m_returned_unused.reset();
    } else if (need.waiting != resources{}) {
        m_ask_wait = std::clamp(m_ask_wait * 2, m_settings.ask_again, m_settings.max_ask_again);
        m_ask_at = now + m_ask_wait;
        m_returned_unused.reset();
    }
}

resources quota_holder::wanted(common::time_point now, const quota_need& need,
                               const resources& quota) const {
    if (now < m_ask_at) {
        return need.used;
    }
    return most_of(need.used, least_of(need.used + need.waiting, quota));
}

bool quota_holder::changed(const resources& held, const resources& want) const {
    if (m_believed && *m_believed != held) {
        return true;
    }
    if (exceeds(want, m_limit)) {
        return exceeds(want, m_asked.value_or(resources{}));
    }
    return m_asked && exceeds(*m_asked, m_limit);
}

void quota_holder::wake_at(common::time_point time) {
    m_wakeup = std::min(m_wakeup.value_or(time), time);
}

std::optional<outgoing_quota_message> quota_holder::on_time(common::time_point now,
                                                            const quota_need& need,
                                                            const resources& quota,
                                                            std::uint64_t& sequence) {
    m_wakeup.reset();
    note_quota(quota);
    check_repeated_ask(now, need);
    return_unused(now, need);
    if (exceeds(m_limit, need.used)) {
        wake_at(m_window + m_settings.return_after);
    }
    if (now < m_ask_at && need.waiting != resources{}) {
        wake_at(m_ask_at);
    }
    const resources held = most_of(m_limit, need.used);
    const resources want = wanted(now, need, quota);
    const bool fresh = m_reply_due || changed(held, want);
    bool unanswered = m_sent > m_answered || m_lowered;
    if (!unanswered && m_asked && need.waiting != resources{}) {
        unanswered = true;
        m_retry_at = std::max(m_retry_at, m_heard_at + m_settings.refresh_after);
    }
    if (!fresh && !unanswered) {
        return std::nullopt;
    }
    const auto due = fresh ? m_earliest : std::max(m_earliest, m_retry_at);
    if (now < due) {
        wake_at(due);
        return std::nullopt;
    }
    m_retry =
        fresh ? m_settings.retry : std::clamp(m_retry * 2, m_settings.retry, m_settings.max_retry);
    m_retry_at = now + m_retry;
    m_earliest = now + m_settings.min_interval;
    m_reply_due = false;
    m_believed = held;
    m_asked.reset();
    if (exceeds(want, m_limit)) {
        m_asked = want;
    }
    m_sent = ++sequence;
    wake_at(m_retry_at);
    quota_message message;
    message.kind = quota_message_kind::statement;
    message.to_epoch = m_home_epoch;
    message.sequence = m_sent;
    message.answers = m_grant;
    message.amount = held;
    message.wanted = want;
    message.least = need.used + need.next;
    message.reply = m_lowered;
    return outgoing_quota_message{message, !fresh};
}

} // namespace buckthornspar::scheduling
