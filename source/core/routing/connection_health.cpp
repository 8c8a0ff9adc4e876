#include "core/routing/connection_health.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace buckthornspar::routing {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct answer {};
struct overdue {};
struct connection_lost {};
struct probe_answered {};
struct probe_failed {};
struct found_silent {};

struct healthy : msm::front::state<> {};
struct probing : msm::front::state<> {};
struct suspected : msm::front::state<> {};

struct replace {
    template <typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event&, Machine& machine, Source&, Target&) const {
        machine.reaction.replace_connections = true;
    }
};

struct health_definition : msm::front::state_machine_def<health_definition> {
    using initial_state = healthy;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        //  from       event            to         action   guard
        Row<healthy,   answer,          none,      none,    none>,
        Row<healthy,   overdue,         probing,   none,    none>,
        Row<healthy,   connection_lost, probing,   none,    none>,
        Row<healthy,   probe_answered,  none,      none,    none>,
        Row<healthy,   probe_failed,    suspected, none,    none>,
        Row<healthy,   found_silent,    none,      replace, none>,
        Row<probing,   answer,          healthy,   none,    none>,
        Row<probing,   overdue,         none,      none,    none>,
        Row<probing,   connection_lost, none,      none,    none>,
        Row<probing,   probe_answered,  healthy,   replace, none>,
        Row<probing,   probe_failed,    suspected, replace, none>,
        Row<probing,   found_silent,    healthy,   replace, none>,
        Row<suspected, answer,          healthy,   none,    none>,
        Row<suspected, overdue,         none,      none,    none>,
        Row<suspected, connection_lost, none,      none,    none>,
        Row<suspected, probe_answered,  healthy,   replace, none>,
        Row<suspected, probe_failed,    none,      none,    none>,
        Row<suspected, found_silent,    healthy,   replace, none>
    > {};
    // clang-format on

    health_reaction reaction;
};

} // namespace

struct connection_health::machine {
    msm::back::state_machine<health_definition> states;
};

connection_health::connection_health() : m_machine(std::make_unique<machine>()) {
    m_machine->states.start();
}

connection_health::~connection_health() = default;
connection_health::connection_health(connection_health&&) noexcept = default;
connection_health& connection_health::operator=(connection_health&&) noexcept = default;

template <typename Event>
health_reaction connection_health::process() {
    m_machine->states.reaction = {};
    m_machine->states.process_event(Event{});
    return m_machine->states.reaction;
}

health_reaction connection_health::on_answer() {
    return process<answer>();
}

health_reaction connection_health::on_overdue() {
    return process<overdue>();
}

health_reaction connection_health::on_connection_lost() {
    return process<connection_lost>();
}

health_reaction connection_health::on_probe_answered() {
    return process<probe_answered>();
}

health_reaction connection_health::on_probe_failed() {
    return process<probe_failed>();
}

health_reaction connection_health::on_found_silent() {
    return process<found_silent>();
}

health_state connection_health::state() const {
    // Boost.MSM numbers the states in the order of their first appearance in the transition table.
    return static_cast<health_state>(m_machine->states.current_state()[0]);
}

} // namespace buckthornspar::routing
