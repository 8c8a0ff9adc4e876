#include "core/learning/interference.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace buckthornspar::learning {

namespace {

// Runs that an estimate remembers; older ones fade.
constexpr float memory = 96.0F;
constexpr float min_runs = 24.0F;
// Slowdown below which keeping kinds apart is not worth a worse choice otherwise.
constexpr double min_slowdown = 0.12;
// All pairs are looked at after each run, so that chance has thousands of opportunities.
constexpr double needed_errors = 6.0;
// A believed pair is given up below these.
constexpr double kept_slowdown = 0.06;
constexpr double kept_errors = 2.5;
// A pair that is kept apart yields no more runs. Its evidence fades with each run without the
// neighbour, so that the pair is tried again in the end.
constexpr float parted_fading = 1.0F - 1.0F / 1024.0F;
constexpr float parted_min_runs = 4.0F;
// A few tasks take many times as long as the others of their step.
constexpr double max_deviation = 0.8;
constexpr double min_variance = 0.005;
// Runs that a believed slowdown weighs against, all without one.
constexpr float prior_runs = 8.0F;

} // namespace

void interference::mean_estimate::add(double value) {
    count = std::min(count + 1.0F, memory);
    const auto before = value - mean;
    mean += static_cast<float>(before / count);
    variance += static_cast<float>((before * (value - mean) - variance) / count);
}

kind_index interference::find_kind(std::string_view name) const {
    const auto found = std::find_if(m_kinds.begin(), m_kinds.end(),
                                    [name](const kind_state& k) { return k.name == name; });
    return found == m_kinds.end() ? no_kind : static_cast<kind_index>(found - m_kinds.begin());
}

kind_index interference::add_kind(std::string_view name) {
    const auto known = find_kind(name);
    if (known != no_kind || m_kinds.size() == max_kinds) {
        return known;
    }
    m_kinds.push_back({std::string(name), 0, 0, {}});
    return static_cast<kind_index>(m_kinds.size() - 1);
}

interference::pair_state& interference::pair_of(kind_index kind, kind_index neighbour) {
    auto& pairs = m_kinds[kind].pairs;
    if (pairs.size() < m_kinds.size()) {
        pairs.resize(m_kinds.size());
    }
    return pairs[neighbour];
}

void interference::add(kind_index kind, kind_set at_begin, kind_set at_end, double log_slowdown) {
    if (kind >= m_kinds.size()) {
        return;
    }
    const auto value = std::clamp(log_slowdown, -max_deviation, max_deviation);
    const auto present = at_begin & at_end;
    const auto absent = ~(at_begin | at_end);
    const auto explained = slowdown(kind, present);
    const auto kinds = static_cast<kind_index>(m_kinds.size());
    for (kind_index k = 0; k < kinds; ++k) {
        auto& pair = pair_of(kind, k);
        // What other believed neighbours explain is not put down to this one.
        if ((present & set_of(k)) != 0) {
            pair.with.add(value - explained + double{pair.believed});
        } else if ((absent & set_of(k)) != 0) {
            pair.without.add(value - explained);
            if (pair.believed != 0.0F) {
                pair.with.count *= parted_fading;
            }
        } else {
            continue;
        }
        evaluate(kind, k);
    }
}

void interference::evaluate(kind_index kind, kind_index neighbour) {
    auto& pair = pair_of(kind, neighbour);
    const bool known = pair.believed != 0.0F;
    if (known && pair.with.count < parted_min_runs) {
        pair.with = {};
        believe(kind, neighbour, 0.0);
        return;
    }
    if (!known && (pair.with.count < min_runs || pair.without.count < min_runs)) {
        return;
    }
    const auto difference = double{pair.with.mean} - double{pair.without.mean};
    const auto error_of = [](const mean_estimate& e) {
        return std::max(double{e.variance}, min_variance) / std::max(1.0, double{e.count});
    };
    const auto errors = difference / std::sqrt(error_of(pair.with) + error_of(pair.without));
    const bool believed = difference >= (known ? kept_slowdown : min_slowdown) &&
                          errors >= (known ? kept_errors : needed_errors);
    const auto weight = pair.with.count / (pair.with.count + prior_runs);
    believe(kind, neighbour, believed ? difference * double{weight} : 0.0);
}

void interference::believe(kind_index kind, kind_index neighbour, double log_slowdown) {
    auto& pair = pair_of(kind, neighbour);
    const bool before = pair.believed != 0.0F;
    pair.believed = static_cast<float>(log_slowdown);
    const bool now = pair.believed != 0.0F;
    if (before == now) {
        return;
    }
    auto& slowed_by = m_kinds[kind].slowed_by;
    slowed_by = now ? slowed_by | set_of(neighbour) : slowed_by & ~set_of(neighbour);
    m_believed += now ? 1U : 0U;
    m_believed -= before ? 1U : 0U;
    update_relation(kind, neighbour);
    update_relation(neighbour, kind);
    m_changes.push_back({m_kinds[kind].name, m_kinds[neighbour].name, now, log_slowdown});
}

void interference::update_relation(kind_index a, kind_index b) {
    const bool related =
        ((m_kinds[a].slowed_by & set_of(b)) | (m_kinds[b].slowed_by & set_of(a))) != 0;
    auto& relations = m_kinds[a].related;
    relations = related ? relations | set_of(b) : relations & ~set_of(b);
}

double interference::slowdown(kind_index kind, kind_set neighbours) const {
    if (kind >= m_kinds.size()) {
        return 0.0;
    }
    const auto& state = m_kinds[kind];
    double sum = 0.0;
    for (auto rest = state.slowed_by & neighbours; rest != 0; rest &= rest - 1) {
        sum += double{state.pairs[static_cast<std::size_t>(std::countr_zero(rest))].believed};
    }
    return sum;
}

double interference::cost(kind_index kind, kind_set neighbours) const {
    auto sum = slowdown(kind, neighbours);
    for (auto rest = related(kind) & neighbours; rest != 0; rest &= rest - 1) {
        sum += slowdown(static_cast<kind_index>(std::countr_zero(rest)), set_of(kind));
    }
    return sum;
}

std::vector<interference::change> interference::take_changes() {
    return std::exchange(m_changes, {});
}

} // namespace buckthornspar::learning
