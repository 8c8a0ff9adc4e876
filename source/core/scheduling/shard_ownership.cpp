#include "core/scheduling/shard_ownership.h"

#include "core/common/name_table.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace buckthornspar::scheduling {

namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;

constexpr common::name_table<ownership_state, 5>
    state_names("ownership state", {"standby", "claiming", "adopting", "active", "stepping_down"});

struct owner_silent {};
struct claim_lost {};
struct claim_won {};
struct majority {};
struct fenced {};
struct drain_started {};
struct released {};

struct ownership_definition : front::state_machine_def<ownership_definition> {
    // MSM numbers the states by the order of the rows below; the numbers are not used.
    template <ownership_state State>
    struct state_of : front::state<> {
        template <typename Event, typename Machine>
        void on_entry(const Event&, Machine& machine) {
            machine.current = State;
        }
    };
    struct standby : state_of<ownership_state::standby> {};
    struct claiming : state_of<ownership_state::claiming> {};
    struct adopting : state_of<ownership_state::adopting> {};
    struct active : state_of<ownership_state::active> {};
    struct stepping_down : state_of<ownership_state::stepping_down> {};

    using initial_state = standby;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        //         state          event          next           action       guard
        front::Row<standby,       owner_silent,  claiming,      front::none, front::none>,
        front::Row<claiming,      claim_lost,    standby,       front::none, front::none>,
        front::Row<claiming,      claim_won,     adopting,      front::none, front::none>,
        front::Row<adopting,      majority,      active,        front::none, front::none>,
        front::Row<adopting,      fenced,        standby,       front::none, front::none>,
        front::Row<adopting,      drain_started, stepping_down, front::none, front::none>,
        front::Row<active,        fenced,        standby,       front::none, front::none>,
        front::Row<active,        drain_started, stepping_down, front::none, front::none>,
        front::Row<stepping_down, fenced,        standby,       front::none, front::none>,
        front::Row<stepping_down, released,      standby,       front::none, front::none>
    > {};
    // clang-format on

    /// Events that do not apply are reported by the result of process_event().
    template <typename Machine, typename Event>
    void no_transition(const Event&, Machine&, int) {}

    ownership_state current = ownership_state::standby;
};

using ownership_machine = msm::back::state_machine<ownership_definition>;

template <typename Event>
bool process(ownership_machine& machine, const Event& event) {
    return machine.process_event(event) == msm::back::HANDLED_TRUE;
}

} // namespace

struct shard_ownership::machine {
    ownership_machine msm;
};

shard_ownership::shard_ownership() : m_machine(std::make_unique<machine>()) {
    m_machine->msm.start();
}

shard_ownership::~shard_ownership() = default;

bool shard_ownership::on(ownership_event event) {
    auto& msm = m_machine->msm;
    switch (event) {
    case ownership_event::owner_silent:
        return process(msm, owner_silent{});
    case ownership_event::claim_lost:
        return process(msm, claim_lost{});
    case ownership_event::claim_won:
        return process(msm, claim_won{});
    case ownership_event::majority:
        return process(msm, majority{});
    case ownership_event::fenced:
        return process(msm, fenced{});
    case ownership_event::drain_started:
        return process(msm, drain_started{});
    case ownership_event::released:
        return process(msm, released{});
    }
    return false;
}

ownership_state shard_ownership::state() const {
    return m_machine->msm.current;
}

bool shard_ownership::owns() const {
    const ownership_state s = state();
    return s == ownership_state::adopting || s == ownership_state::active ||
           s == ownership_state::stepping_down;
}

std::string_view to_string(ownership_state state) {
    return state_names.name(state);
}

} // namespace buckthornspar::scheduling
