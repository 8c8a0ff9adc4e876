#pragma once

#include "core/scheduling/quota_message.h"

#include <cstdint>
#include <optional>

namespace buckthornspar::scheduling {

/// The share of a team's quota that the owner of a shard other than the home shard holds. The limit
/// is initially zero: tasks that are already running continue and count as held, and no task starts
/// until the home shard has granted quota to this owner.
class quota_holder {
public:
    explicit quota_holder(const quota_exchange_settings& settings) : m_settings(settings) {}

    /// Processes a grant or a query.
    [[nodiscard]] quota_message_result on_message(common::time_point now,
                                                  const quota_message& message,
                                                  const placement::resources& quota);
    /// Sets the epoch of the home shard's owner. Grants of lower epochs are refused from then on.
    void on_home_epoch(common::time_point now, std::uint64_t epoch);

    /// Lowers the limit when due and returns the statement to send, if any. The limit must be in
    /// force before the statement is sent.
    [[nodiscard]] std::optional<outgoing_quota_message> on_time(common::time_point now,
                                                                const quota_need& need,
                                                                const placement::resources& quota,
                                                                std::uint64_t& sequence);
    [[nodiscard]] std::optional<common::time_point> next_wakeup() const { return m_wakeup; }

    [[nodiscard]] const placement::resources& limit() const { return m_limit; }

    /// Called when the quota was removed. Received sequence numbers are kept because delayed
    /// messages can still arrive.
    void on_quota_removed();

private:
    void update_quota(const placement::resources& quota);
    void return_unused(common::time_point now, const quota_need& need);
    void back_off_repeated_request(common::time_point now, const quota_need& need);
    [[nodiscard]] placement::resources wanted(common::time_point now, const quota_need& need,
                                              const placement::resources& quota) const;
    [[nodiscard]] bool changed(const placement::resources& holding,
                               const placement::resources& want) const;
    void schedule_wakeup(common::time_point time);

    const quota_exchange_settings& m_settings;
    placement::resources m_limit;
    std::uint64_t m_home_epoch = 0;
    std::uint64_t m_last_grant = 0;
    std::uint64_t m_last_statement = 0;
    std::uint64_t m_last_confirmed = 0;
    /// The amount that the home shard attributes to this shard after the latest message in either
    /// direction.
    std::optional<placement::resources> m_amount_at_home;
    /// The amount requested by the last statement; empty if it requested nothing.
    std::optional<placement::resources> m_requested;
    bool m_reply_due = false;
    /// The quota was lowered, and no grant has confirmed yet that the home shard applied the
    /// lowered quota. Without this flag, limits whose sum exceeds the quota would persist if the
    /// owner of the home shard is replaced at that moment.
    bool m_lowering_unconfirmed = false;
    std::optional<placement::resources> m_quota;
    common::time_point m_next_statement_at{};
    common::time_point m_retry_at{};
    common::duration m_retry_interval{};
    common::time_point m_last_message_at{};
    // Usage in the current window, see return_after.
    common::time_point m_window_start{};
    placement::resources m_window_peak;
    placement::resources m_previous_use;
    bool m_use_rose = true;
    std::optional<common::time_point> m_unused_returned_at;
    common::duration m_request_backoff{};
    common::time_point m_next_request_at{};
    std::optional<common::time_point> m_wakeup;
};

} // namespace buckthornspar::scheduling
