#include "core/dispatch/cap_gate.h"

#include "core/dispatch/capacity_fit.h"

namespace buckthornspar::dispatch {

// A step that its cap forbids now gets neither room nor tickets, and no run is stopped for it. What
// is left of the cap is kept for it: otherwise smaller steps of the customer would take that again
// and again, and a gang might wait forever.
cap_effect cap_gate::check(const waiting_step& step) {
    if (!m_plan.caps.is_limited(step.customer)) {
        return cap_effect::none;
    }
    const auto demand = step.spec->allocation();
    const std::int64_t wanted = step.spec->gang ? std::int64_t{step.spec->count} : 1;
    if (permitted_tasks(step) < wanted) {
        const bool hold = m_plan.caps.fits_empty(step.customer, demand, wanted) &&
                          m_plan.limits.cap_holds->may_hold(
                              step.customer, m_plan.now, m_plan.caps.is_half_used(step.customer));
        return hold ? cap_effect::customer : cap_effect::step;
    }
    const auto& tickets = step.state->tickets;
    const bool first_request =
        step.queue->needs_tickets && tickets.asked.empty() && tickets.calls.empty();
    const bool claimed =
        first_request &&
        count_fitting_tasks(demand, m_plan.caps.unclaimed_room(step.customer)) < wanted;
    return claimed ? cap_effect::step : cap_effect::none;
}

std::int64_t cap_gate::permitted_tasks(const waiting_step& step) {
    return m_plan.caps.is_limited(step.customer)
               ? count_fitting_tasks(step.spec->allocation(), m_plan.caps.room(step.customer))
               : unlimited_tasks;
}

void cap_gate::claim(const waiting_step& step, std::size_t starts_before,
                     std::size_t requests_before) {
    const bool requested = !step.state->tickets.calls.empty() ||
                           m_plan.result.ticket_requests.size() > requests_before;
    if (!requested || !m_plan.caps.is_limited(step.customer)) {
        return;
    }
    const auto& state = *step.state;
    const auto started = static_cast<std::int64_t>(m_plan.planned_since(step, starts_before));
    const auto waiting =
        std::int64_t{state.tasks.size()} - state.succeeded - state.placed - started;
    m_plan.caps.claim(step.customer, m_plan.demand * waiting);
}

} // namespace buckthornspar::dispatch
