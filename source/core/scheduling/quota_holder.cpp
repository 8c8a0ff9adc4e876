#include "core/scheduling/quota_holder.h"

#include "core/scheduling/quota_amounts.h"

#include <algorithm>

namespace buckthornspar::scheduling {

using placement::resources;

namespace {

constexpr common::duration repeated_request_window = std::chrono::seconds(1);

} // namespace

void quota_holder::on_quota_removed() {
    m_limit = {};
    m_amount_at_home.reset();
    m_requested.reset();
    m_reply_due = false;
    m_lowering_unconfirmed = false;
    m_quota.reset();
    m_last_confirmed = m_last_statement;
}

void quota_holder::on_home_epoch(common::time_point now, std::uint64_t epoch) {
    if (epoch <= m_home_epoch) {
        return;
    }
    m_home_epoch = epoch;
    m_last_grant = 0;
    m_amount_at_home.reset();
    m_requested.reset();
    m_retry_interval = m_settings.retry;
    m_retry_at = now;
}

quota_message_result quota_holder::on_message(common::time_point now, const quota_message& message,
                                              const resources& quota) {
    update_quota(quota);
    if (message.from_epoch < m_home_epoch) {
        return quota_message_result::stale_epoch;
    }
    on_home_epoch(now, message.from_epoch);
    m_last_message_at = now;
    m_retry_interval = m_settings.retry;
    if (message.kind == quota_message_kind::query) {
        m_reply_due = true;
        return quota_message_result::accepted;
    }
    // A grant computed from an outdated quota must not raise the limit, because the quota may have
    // been lowered since.
    const bool raises =
        message.sequence > m_last_grant && !message.recall && exceeds(message.amount, m_limit);
    if (raises && message.quota != m_quota) {
        return quota_message_result::stale_quota;
    }
    m_last_confirmed = std::max(m_last_confirmed, message.answers);
    m_lowering_unconfirmed = m_lowering_unconfirmed && message.quota != m_quota;
    if (message.sequence == 0) {
        return quota_message_result::accepted;
    }
    m_reply_due = m_reply_due || (message.reply && message.sequence >= m_last_grant);
    if (message.sequence <= m_last_grant) {
        return message.sequence < m_last_grant ? quota_message_result::stale_sequence
                                               : quota_message_result::accepted;
    }
    m_last_grant = message.sequence;
    m_limit = message.recall ? min_of(m_limit, message.amount) : message.amount;
    m_amount_at_home = message.amount;
    m_window_start = now;
    m_window_peak = {};
    m_use_rose = false;
    return quota_message_result::accepted;
}

void quota_holder::update_quota(const resources& quota) {
    if (m_quota && exceeds(*m_quota, quota) && m_limit != resources{}) {
        m_lowering_unconfirmed = true;
        m_retry_at = {};
    }
    m_quota = quota;
}

/// Tasks that end are often followed immediately by others, so only what was unused for a whole
/// window is returned.
void quota_holder::return_unused(common::time_point now, const quota_need& need) {
    if (exceeds(need.used, m_previous_use)) {
        m_use_rose = true;
        m_request_backoff = {};
        m_next_request_at = now;
        m_unused_returned_at.reset();
    }
    m_previous_use = need.used;
    m_window_peak = max_of(m_window_peak, need.used);
    if (now < m_window_start + m_settings.return_after) {
        return;
    }
    if (exceeds(m_limit, m_window_peak)) {
        m_limit = min_of(m_limit, m_window_peak);
        if (!m_use_rose) {
            m_unused_returned_at = now;
        }
    }
    m_window_start = now;
    m_window_peak = need.used;
}

/// If tasks wait for quota directly after unused quota was returned, there was no capacity for them
/// on the workers. Requesting the quota again immediately would only cause messages.
void quota_holder::back_off_repeated_request(common::time_point now, const quota_need& need) {
    if (!m_unused_returned_at || now < *m_unused_returned_at) {
        return;
    }
    if (now > *m_unused_returned_at + repeated_request_window) {
        m_unused_returned_at.reset();
    } else if (need.waiting != resources{}) {
        m_request_backoff = std::clamp(m_request_backoff * 2, m_settings.request_backoff,
                                       m_settings.max_request_backoff);
        m_next_request_at = now + m_request_backoff;
        m_unused_returned_at.reset();
    }
}

resources quota_holder::wanted(common::time_point now, const quota_need& need,
                               const resources& quota) const {
    if (now < m_next_request_at) {
        return need.used;
    }
    return max_of(need.used, min_of(need.used + need.waiting, quota));
}

bool quota_holder::changed(const resources& holding, const resources& want) const {
    if (m_amount_at_home && *m_amount_at_home != holding) {
        return true;
    }
    if (exceeds(want, m_limit)) {
        return exceeds(want, m_requested.value_or(resources{}));
    }
    return m_requested && exceeds(*m_requested, m_limit);
}

void quota_holder::schedule_wakeup(common::time_point time) {
    m_wakeup = std::min(m_wakeup.value_or(time), time);
}

std::optional<outgoing_quota_message> quota_holder::on_time(common::time_point now,
                                                            const quota_need& need,
                                                            const resources& quota,
                                                            std::uint64_t& sequence) {
    m_wakeup.reset();
    update_quota(quota);
    back_off_repeated_request(now, need);
    return_unused(now, need);
    if (exceeds(m_limit, need.used)) {
        schedule_wakeup(m_window_start + m_settings.return_after);
    }
    if (now < m_next_request_at && need.waiting != resources{}) {
        schedule_wakeup(m_next_request_at);
    }
    const resources holding = max_of(m_limit, need.used);
    const resources want = wanted(now, need, quota);
    const bool statement_due = m_reply_due || changed(holding, want);
    bool unanswered = m_last_statement > m_last_confirmed || m_lowering_unconfirmed;
    if (!unanswered && m_requested && need.waiting != resources{}) {
        unanswered = true;
        m_retry_at = std::max(m_retry_at, m_last_message_at + m_settings.refresh_after);
    }
    if (!statement_due && !unanswered) {
        return std::nullopt;
    }
    const auto due =
        statement_due ? m_next_statement_at : std::max(m_next_statement_at, m_retry_at);
    if (now < due) {
        schedule_wakeup(due);
        return std::nullopt;
    }
    m_retry_interval =
        statement_due ? m_settings.retry
                      : std::clamp(m_retry_interval * 2, m_settings.retry, m_settings.max_retry);
    m_retry_at = now + m_retry_interval;
    m_next_statement_at = now + m_settings.min_interval;
    m_reply_due = false;
    m_amount_at_home = holding;
    m_requested.reset();
    if (exceeds(want, m_limit)) {
        m_requested = want;
    }
    m_last_statement = ++sequence;
    schedule_wakeup(m_retry_at);
    quota_message message;
    message.kind = quota_message_kind::statement;
    message.to_epoch = m_home_epoch;
    message.sequence = m_last_statement;
    message.answers = m_last_grant;
    message.amount = holding;
    message.wanted = want;
    message.least = need.used + need.next;
    message.reply = m_lowering_unconfirmed;
    return outgoing_quota_message{message, !statement_due};
}

} // namespace buckthornspar::scheduling
