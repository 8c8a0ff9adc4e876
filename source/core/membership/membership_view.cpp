#include "core/membership/membership_view.h"

#include "core/common/name_table.h"

#include <set>
#include <utility>

namespace buckthornspar::membership {

namespace {

constexpr common::name_table<member_state, 3> state_names{"member state",
                                                          {"live", "leaving", "suspected"}};

} // namespace

std::string_view to_string(member_state state) {
    return state_names.name(state);
}

void membership_view::on_list(common::time_point now, const instance_snapshot& snapshot) {
    m_failed_lists = 0;
    if (is_older(snapshot)) {
        return;
    }
    m_index = snapshot.index;
    m_last_good = now;
    for (const auto& listed : snapshot.instances) {
        take_instance(now, listed);
    }
    note_missing(now, snapshot);
}

bool membership_view::is_older(const instance_snapshot& snapshot) {
    if (snapshot.index >= m_index) {
        m_older_lists = 0;
        return false;
    }
    ++m_older_lists;
    if (m_older_lists < m_options.max_older_lists) {
        return true;
    }
    m_older_lists = 0;
    return false;
}

void membership_view::take_instance(common::time_point now, const instance& listed) {
    const auto [position, is_new] = m_entries.try_emplace(listed.id);
    entry& e = position->second;
    if (!is_new && e.shown.info.address != listed.address) {
        // The id is in use by another process now; what was known of the old one is void.
        e.failures = 0;
        e.said_leaving.reset();
    }
    e.shown.info = listed;
    e.shown.missing_since.reset();
    if (is_new) {
        e.shown.state = state_of(now, e);
        m_changes.push_back({listed.id, std::nullopt, e.shown.state});
        return;
    }
    update_state(now, e);
}

void membership_view::note_missing(common::time_point now, const instance_snapshot& snapshot) {
    std::set<std::string_view> listed;
    for (const auto& i : snapshot.instances) {
        listed.insert(i.id);
    }
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        entry& e = position->second;
        if (listed.contains(position->first)) {
            ++position;
            continue;
        }
        if (!e.shown.missing_since) {
            e.shown.missing_since = now;
        }
        if (now - *e.shown.missing_since >= m_options.gone_after) {
            m_changes.push_back({position->first, e.shown.state, std::nullopt});
            position = m_entries.erase(position);
            continue;
        }
        update_state(now, e);
        ++position;
    }
}

void membership_view::on_heard(common::time_point now, const std::string& id) {
    const auto position = m_entries.find(id);
    if (position != m_entries.end()) {
        position->second.failures = 0;
        update_state(now, position->second);
    }
}

void membership_view::on_connection_failed(common::time_point now, const std::string& id) {
    const auto position = m_entries.find(id);
    if (position != m_entries.end()) {
        ++position->second.failures;
        update_state(now, position->second);
    }
}

void membership_view::on_leaving(common::time_point now, const std::string& id) {
    const auto position = m_entries.find(id);
    if (position != m_entries.end()) {
        position->second.said_leaving = now;
        update_state(now, position->second);
    }
}

member_state membership_view::state_of(common::time_point now, const entry& e) const {
    const bool said_leaving = e.said_leaving && now - *e.said_leaving < m_options.leaving_hold;
    if (e.shown.info.state == instance_state::leaving || said_leaving) {
        return member_state::leaving;
    }
    if (e.failures >= m_options.suspect_after_failures || e.shown.missing_since) {
        return member_state::suspected;
    }
    return member_state::live;
}

void membership_view::update_state(common::time_point now, entry& e) {
    const member_state after = state_of(now, e);
    if (after != e.shown.state) {
        m_changes.push_back({e.shown.info.id, e.shown.state, after});
        e.shown.state = after;
    }
}

const member* membership_view::find(const std::string& id) const {
    const auto position = m_entries.find(id);
    return position == m_entries.end() ? nullptr : &position->second.shown;
}

std::vector<member> membership_view::members(instance_role role) const {
    std::vector<member> found;
    for (const auto& [id, e] : m_entries) {
        if (e.shown.info.role == role) {
            found.push_back(e.shown);
        }
    }
    return found;
}

std::vector<membership_change> membership_view::take_changes() {
    return std::exchange(m_changes, {});
}

} // namespace buckthornspar::membership
