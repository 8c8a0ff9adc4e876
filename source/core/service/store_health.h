#pragma once

#include "core/common/clock.h"
#include "core/dispatch/shared_store.h"

namespace buckthornspar::service {

/// Tracks from the outcomes of store calls whether this node reaches the store.
class store_health {
public:
    explicit store_health(const common::clock& clock) : m_clock(clock) {}

    void record_outcome(dispatch::store_status status);

    /// False during an outage: the most recent calls have failed, and another one would most likely
    /// fail as well. True again once the probe interval has passed since the last failure,
    /// so that a call can probe the store.
    [[nodiscard]] bool usable() const;
    /// It is uncertain whether the next call reaches the store.
    [[nodiscard]] bool last_call_failed() const { return m_failures > 0; }
    /// Time since the last answer that showed a working store.
    [[nodiscard]] common::duration time_since_answer() const {
        return m_clock.now() - m_last_answer;
    }
    [[nodiscard]] bool has_answered() const { return m_last_answer != common::time_point{}; }

private:
    const common::clock& m_clock;
    common::time_point m_last_answer;
    common::time_point m_last_failure;
    unsigned m_failures = 0;
};

/// Forwards calls to a store and records their outcomes in a store_health.
class monitored_store final : public dispatch::shared_store {
public:
    monitored_store(dispatch::shared_store& store, store_health& health)
        : m_store(store), m_health(health) {}

    void read(const std::string& key, dispatch::store_completion complete) override;
    void range(const std::string& prefix, const std::string& after,
               dispatch::store_completion complete) override;
    void watch(const std::string& prefix, std::uint64_t after, common::duration wait,
               dispatch::store_completion complete) override;
    void commit(const dispatch::store_commit& change, dispatch::store_completion complete) override;
    void open_lease(common::duration ttl, dispatch::store_completion complete) override;
    void keep_lease(std::uint64_t lease, dispatch::store_completion complete) override;
    void end_lease(std::uint64_t lease, dispatch::store_completion complete) override;

private:
    [[nodiscard]] dispatch::store_completion observe(dispatch::store_completion complete);

    dispatch::shared_store& m_store;
    store_health& m_health;
};

} // namespace buckthornspar::service
