#pragma once

#include "core/membership/instance_list.h"
#include "core/routing/connection_health.h"
#include "core/routing/routing_messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::routing {

/// State of one runner of a service, as known to an entry.
struct runner {
    std::string id;
    net::endpoint address;
    std::string region;
    std::uint32_t slots = 0;
    bool listed = true;
    bool leaving = false;
    time_point unlisted_since{};
    /// Number of run calls of this entry that have not completed.
    std::uint32_t outstanding = 0;
    /// Number of calls of any kind of this entry that have not completed.
    std::uint32_t open_calls = 0;
    bool probing = false;
    /// Free slots according to the runner's last report, and the arrival time of that report.
    std::optional<std::uint32_t> reported_free;
    time_point reported_at{};
    /// Send times of the requests that had not reached the runner when it made the report.
    std::deque<time_point> unreported_sends;
    /// Network round-trip time, measured by probes and refusals.
    duration round_trip{0};
    /// Gets no new requests before this time, because it has refused requests as full.
    time_point backoff_until{};
    unsigned consecutive_refusals = 0;
    /// Exponential moving average of the share of failed answers.
    double failure_rate = 0;
    unsigned answers = 0;
    time_point quarantined_until{};
    duration next_quarantine{0};
    std::string incarnation;
    time_point last_response{};
    connection_health health;
};

/// The runners of one service. The index of a runner stays valid while calls to it are open.
class runner_table {
public:
    explicit runner_table(std::string own_region) : m_own_region(std::move(own_region)) {}

    /// Updates the runners of the service from an instance list. Returns the indices of new ones.
    std::vector<std::size_t> update(const std::string& service,
                                    const membership::instance_snapshot& list, time_point now);

    [[nodiscard]] std::size_t size() const { return m_runners.size(); }
    [[nodiscard]] const runner& at(std::size_t index) const { return m_runners.at(index); }
    [[nodiscard]] runner& at(std::size_t index) { return m_runners.at(index); }
    [[nodiscard]] std::optional<std::size_t> find(const std::string& id) const;
    [[nodiscard]] bool is_local(std::size_t index) const;

    /// Listed, not leaving, not suspected, and not in quarantine.
    [[nodiscard]] bool is_available(std::size_t index, time_point now) const;
    /// Available, not in backoff, and with fewer outstanding requests of this entry than slots.
    [[nodiscard]] bool is_usable(std::size_t index, time_point now) const;
    [[nodiscard]] bool any_available(bool local_only, time_point now) const;
    /// Estimated number of free slots.
    [[nodiscard]] std::uint32_t free_estimate(std::size_t index, time_point now) const;

    void on_sent(std::size_t index, time_point now);
    /// Records the duration of a call that the runner answered immediately, as a round-trip sample.
    void on_round_trip(std::size_t index, duration time);
    /// Called for any response of the runner, including responses to queries and probes.
    void on_response(std::size_t index, const runner_report& report, time_point now);
    void on_answer(std::size_t index, bool failed, duration service_time, time_point now);
    void on_full_refusal(std::size_t index, time_point now);
    void on_leaving(std::size_t index) { at(index).leaving = true; }
    void on_run_completed(std::size_t index);

    /// Exponential moving average of the time between sending a request and its answer.
    [[nodiscard]] duration service_time() const;
    /// False until a runner has answered; service_time() is a default until then.
    [[nodiscard]] bool service_time_known() const { return m_answers > 0; }
    [[nodiscard]] std::uint32_t outstanding() const { return m_outstanding; }

private:
    std::size_t index_for_new_runner();
    [[nodiscard]] double other_failure_rate(std::size_t index) const;

    std::string m_own_region;
    std::vector<runner> m_runners;
    double m_service_time_us = 100'000;
    unsigned m_answers = 0;
    std::uint32_t m_outstanding = 0;
};

} // namespace buckthornspar::routing
