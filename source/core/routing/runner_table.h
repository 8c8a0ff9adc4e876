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

/// One runner of a service as an entry sees it.
struct runner {
    std::string id;
    net::endpoint address;
    std::string region;
    std::uint32_t slots = 0;
    bool listed = true;
    bool leaving = false;
    time_point unlisted_since{};
    /// Run calls of this entry that have not completed.
    std::uint32_t outstanding = 0;
    /// All calls of this entry that have not completed.
    std::uint32_t open_calls = 0;
    bool probing = false;
    /// Free slots that the runner reported last, and when the report arrived.
    std::optional<std::uint32_t> reported_free;
    time_point reported_at{};
    /// Sending times of the requests that the runner had not seen when it made the report.
    std::deque<time_point> unreported;
    /// Time for a message there and back, from probes and refusals.
    duration round_trip{0};
    /// No new work before this time, after refusals that say the runner is full.
    time_point refused_until{};
    unsigned refusals_in_row = 0;
    /// Share of answers that are failures, newest weighted most.
    double failure_rate = 0;
    unsigned answers = 0;
    time_point quarantined_until{};
    duration next_quarantine{0};
    std::string incarnation;
    time_point last_response{};
    connection_health health;
};

/// The runners of one service. Indices stay valid while calls to the runner are open.
class runner_table {
public:
    explicit runner_table(std::string own_region) : m_own_region(std::move(own_region)) {}

    /// Takes over the runners of the service from a list. Returns the indices of new ones.
    std::vector<std::size_t> update(const std::string& service,
                                    const membership::instance_snapshot& list, time_point now);

    [[nodiscard]] std::size_t size() const { return m_runners.size(); }
    [[nodiscard]] const runner& at(std::size_t index) const { return m_runners.at(index); }
    [[nodiscard]] runner& at(std::size_t index) { return m_runners.at(index); }
    [[nodiscard]] std::optional<std::size_t> find(const std::string& id) const;
    [[nodiscard]] bool is_local(std::size_t index) const;

    /// Listed, not leaving, not suspected, and not in quarantine.
    [[nodiscard]] bool is_available(std::size_t index, time_point now) const;
    /// Available, below its slots with this entry's own requests, and not refused just now.
    [[nodiscard]] bool is_usable(std::size_t index, time_point now) const;
    [[nodiscard]] bool any_available(bool local_only, time_point now) const;
    /// Number of slots that are probably free.
    [[nodiscard]] std::uint32_t free_estimate(std::size_t index, time_point now) const;

    void on_sent(std::size_t index, time_point now);
    /// The runner responded at once, so that the time shows the round trip.
    void on_round_trip(std::size_t index, duration time);
    /// Any response of the runner, also to queries and probes.
    void on_response(std::size_t index, const runner_report& report, time_point now);
    void on_answer(std::size_t index, bool failed, duration service_time, time_point now);
    void on_full(std::size_t index, time_point now);
    void on_leaving(std::size_t index) { at(index).leaving = true; }
    void on_run_closed(std::size_t index);

    /// Mean time between sending and answer, newest weighted most.
    [[nodiscard]] duration service_time() const;
    /// False until a runner has answered; service_time() is a default until then.
    [[nodiscard]] bool service_time_known() const { return m_answers > 0; }
    [[nodiscard]] std::uint32_t outstanding() const { return m_outstanding; }

private:
    std::size_t slot_for_new_runner();
    [[nodiscard]] double other_failure_rate(std::size_t index) const;

    std::string m_own_region;
    std::vector<runner> m_runners;
    double m_service_time_us = 100'000;
    unsigned m_answers = 0;
    std::uint32_t m_outstanding = 0;
};

} // namespace buckthornspar::routing
