#pragma once

#include "core/dispatch/plan_state.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace buckthornspar::dispatch {

/// Decides which ticket requests a plan sends for the selected step of a plan_state.
class ticket_planner {
public:
    explicit ticket_planner(plan_state& plan) : m_plan(plan) {}

    [[nodiscard]] bool may_request(const waiting_step& step) const;
    /// Whether a node could begin a call for all candidates of the step now.
    [[nodiscard]] bool has_slot(const waiting_step& step) const;
    /// Requests the first tickets of a step whose tasks are placed one by one, renews them where
    /// there is room, or widens the choice when no worker was granted or the granted ones are full.
    void request_for_tasks(const waiting_step& step);
    /// Requests tickets for workers that have not been named yet.
    void request_from_unasked(const waiting_step& step, std::string_view reason);
    /// Requests what a blocked gang needs to start as soon as it fits.
    void request_for_blocked_gang(const waiting_step& step);
    /// Requests new tickets on the workers on which a gang is planned, and on some others. Returns
    /// whether the request could be made.
    bool renew_for_gang(const waiting_step& step, std::vector<worker_slot> workers);
    /// Requests the tickets for a planned start so that they arrive when the capacity is free.
    void request_ahead(const waiting_step& step, std::vector<worker_slot> workers,
                       common::time_point start);
    /// Adds the optional requests, as far as the other requests of the plan have left slots.
    void add_deferred_requests();

private:
    struct deferred_request {
        waiting_step step;
        std::vector<worker_slot> workers;
        std::string_view reason;
        std::size_t calls = 1;
    };

    /// Maximum number of workers that one call for the step names.
    [[nodiscard]] std::size_t max_named(const waiting_step& step) const;
    /// Number of calls of the expected duration that may be made for the step.
    [[nodiscard]] std::size_t permitted(const waiting_step& step, common::duration expected) const;
    [[nodiscard]] bool is_unasked(const waiting_step& step, worker_slot w) const;
    [[nodiscard]] std::vector<worker_slot> unasked(const waiting_step& step) const;
    [[nodiscard]] std::vector<worker_slot> unasked_with_room(const waiting_step& step) const;
    /// A task of the step fits on the worker beside what earlier steps of the plan have requested
    /// tickets for.
    [[nodiscard]] bool has_unclaimed_room(const waiting_step& step, worker_slot w) const;
    /// Returns whether at least one call could be made.
    bool add_requests(const waiting_step& step, std::vector<worker_slot> workers,
                      std::string_view reason, std::size_t calls = 1);
    void defer_requests(const waiting_step& step, std::vector<worker_slot> workers,
                        std::string_view reason, std::size_t calls);
    void request_and_claim(const waiting_step& step, std::vector<worker_slot> workers,
                           std::string_view reason);
    /// Leaves the room that the step has requested tickets for to it when further steps request
    /// theirs.
    void claim_room(const waiting_step& step, const std::vector<worker_slot>& workers);
    bool renew_expiring(const waiting_step& step);
    void request_from_free(const waiting_step& step);
    [[nodiscard]] bool has_sufficient_capacity(const waiting_step& step) const;

    plan_state& m_plan;
    std::vector<deferred_request> m_deferred;
};

} // namespace buckthornspar::dispatch
