#pragma once

#include "core/routing/admission_queue.h"
#include "core/routing/routing_policy.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::routing {

/// Event rate, averaged exponentially over about half a second.
class event_rate {
public:
    void add(time_point now);
    [[nodiscard]] double per_second(time_point now) const;

private:
    double m_rate = 0;
    time_point m_last{};
};

/// Token bucket for bytes, with a burst of one second.
class byte_budget {
public:
    explicit byte_budget(double bytes_per_s)
        : m_per_second(bytes_per_s), m_remaining(bytes_per_s) {}

    void set_rate(double bytes_per_s) { m_per_second = bytes_per_s; }
    [[nodiscard]] bool has_remaining(time_point now);
    /// May overdraw the budget; has_remaining() is then false until the deficit is refilled.
    void spend(double bytes) { m_remaining -= bytes; }

private:
    double m_per_second;
    double m_remaining;
    time_point m_last{};
};

struct route_settings {
    policy_setup setup;
    std::string policy = "slot_grants";
    queue_limits queue;
    /// One-way network delay between regions.
    duration crossing_time = std::chrono::milliseconds(20);
    double crossing_bytes_per_s = 10e6;
};

/// Queue, runners and policy of one service.
class service_route {
public:
    explicit service_route(const route_settings& settings);

    /// Applies an instance list. Returns the indices of new runners.
    std::vector<std::size_t> update(const membership::instance_snapshot& list, time_point now);

    /// Chooses a runner for a request, in the entry's region if local is set, otherwise in another
    /// region. Empty when the policy finds none.
    [[nodiscard]] std::optional<std::size_t> choose(const std::vector<std::size_t>& excluded,
                                                    bool local, time_point now,
                                                    common::rng& random);

    /// The waiting request that may be sent to another region.
    enum class crossing_candidate { none, front, back };
    [[nodiscard]] crossing_candidate find_crossing_candidate(time_point front_submitted,
                                                             time_point now);

    void on_sent(std::size_t index, std::size_t bytes, time_point now);
    void on_answer(std::size_t index, bool failed, duration service_time, std::size_t bytes,
                   time_point now);

    /// Expected time in the queue of a new request with this class and deadline.
    [[nodiscard]] duration expected_wait(request_class priority, time_point deadline,
                                         time_point now) const;

    [[nodiscard]] const std::string& name() const { return m_settings.setup.service; }
    [[nodiscard]] double crossing_bytes() const { return m_crossing_bytes; }
    void set_crossing_rate(double bytes_per_s) { m_budget.set_rate(bytes_per_s); }

    admission_queue queue;
    runner_table table;
    std::unique_ptr<routing_policy> policy;

private:
    void count_crossing(std::size_t index, std::size_t bytes);

    route_settings m_settings;
    event_rate m_local_answers;
    event_rate m_answers;
    byte_budget m_budget;
    double m_crossing_bytes = 0;
};

} // namespace buckthornspar::routing
