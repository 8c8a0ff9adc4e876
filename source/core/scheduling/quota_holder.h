#pragma once

#include "core/scheduling/quota_message.h"

#include <cstdint>
#include <optional>

namespace buckthornspar::scheduling {

/// The part of a team's quota that the owner of a shard other than the home shard holds. It starts
/// with a limit of zero: tasks that were found running go on and count as held, and none starts
/// until the home shard has granted something to this owner.
class quota_holder {
public:
    explicit quota_holder(const quota_exchange_settings& settings) : m_settings(settings) {}

    /// Takes a grant or a query.
    [[nodiscard]] quota_verdict on_message(common::time_point now, const quota_message& message,
                                           const placement::resources& quota);
    /// The owner of the home shard has this epoch. Grants of lower epochs are refused from then on.
    void on_home(common::time_point now, std::uint64_t epoch);

    /// Lowers the limit when due, and answers with the statement to send, if any. The limit must
    /// be in force before the statement is sent.
    [[nodiscard]] std::optional<outgoing_quota_message> on_time(common::time_point now,
                                                                const quota_need& need,
                                                                const placement::resources& quota,
                                                                std::uint64_t& sequence);
    [[nodiscard]] std::optional<common::time_point> next_wakeup() const { return m_wakeup; }

    [[nodiscard]] const placement::resources& limit() const { return m_limit; }

    /// The quota was removed. Numbers received are kept, because late messages can still arrive.
    void forget();

private:
    void note_quota(const placement::resources& quota);
    void return_unused(common::time_point now, const quota_need& need);
    void check_repeated_ask(common::time_point now, const quota_need& need);
    [[nodiscard]] placement::resources wanted(common::time_point now, const quota_need& need,
                                              const placement::resources& quota) const;
    [[nodiscard]] bool changed(const placement::resources& held,
                               const placement::resources& want) const;
    void wake_at(common::time_point time);

    const quota_exchange_settings& m_settings;
    placement::resources m_limit;
    std::uint64_t m_home_epoch = 0;
    std::uint64_t m_grant = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_answered = 0;
    /// What the home shard takes this shard to hold, once it is up to date.
    std::optional<placement::resources> m_believed;
    /// What the last statement asked for; empty when it asked for nothing.
    std::optional<placement::resources> m_asked;
    bool m_reply_due = false;
    /// The quota was lowered, and no grant has shown that the home shard has acted on it. Without
    /// this, an owner of the home shard that is replaced at that moment would let limits stay that
    /// are too large together.
    bool m_lowered = false;
    std::optional<placement::resources> m_quota;
    common::time_point m_earliest{};
    common::time_point m_retry_at{};
    common::duration m_retry{};
    common::time_point m_heard_at{};
    // Use of the current window, see return_after.
    common::time_point m_window{};
    placement::resources m_peak;
    placement::resources m_last_used;
    bool m_rose = true;
    std::optional<common::time_point> m_returned_unused;
    common::duration m_ask_wait{};
    common::time_point m_ask_at{};
    std::optional<common::time_point> m_wakeup;
};

} // namespace buckthornspar::scheduling
