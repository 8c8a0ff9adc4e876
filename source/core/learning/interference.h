#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::learning {

/// Index of a kind of work, and a set of kinds as a bit mask.
using kind_index = std::uint8_t;
using kind_set = std::uint32_t;
inline constexpr kind_index no_kind = 0xFF;
inline constexpr std::size_t max_kinds = 32;

/// The set that contains only this kind; empty for no_kind.
[[nodiscard]] constexpr kind_set set_of(kind_index kind) {
    return kind < max_kinds ? kind_set{1} << kind : kind_set{0};
}

/// Number of runs of each kind.
class kind_counts {
public:
    void add(kind_index kind) {
        if (kind < max_kinds && m_counts[kind]++ == 0) {
            m_all |= set_of(kind);
        }
    }
    /// The kind must have been added.
    void remove(kind_index kind) {
        if (kind < max_kinds && --m_counts[kind] == 0) {
            m_all &= ~set_of(kind);
        }
    }
    [[nodiscard]] kind_set all() const { return m_all; }
    /// Kinds of the runs beside one run of the kind.
    [[nodiscard]] kind_set beside(kind_index kind) const {
        return kind < max_kinds && m_counts[kind] == 1 ? m_all & ~set_of(kind) : m_all;
    }

private:
    std::array<std::uint32_t, max_kinds> m_counts{};
    kind_set m_all = 0;
};

/// How much kinds of work slow each other down on a worker, for pairs of at most 32 kinds. A pair
/// is believed when runs beside the neighbour take longer than runs without it by more than chance
/// explains. Slowdowns are natural logarithms. Takes 28 bytes an ordered pair, at most 28 kB.
class interference {
public:
    /// A pair is believed for the first time, or no longer.
    struct change {
        std::string kind;
        std::string neighbour;
        bool believed = false;
        double log_slowdown = 0.0;
    };

    /// The kind of this name; a new one while the table has room, else no_kind.
    [[nodiscard]] kind_index add_kind(std::string_view name);
    [[nodiscard]] kind_index find_kind(std::string_view name) const;

    /// A run took this much longer than expected of its step and its worker. The neighbours are
    /// those at its begin and at its end; one that was present only at one of them tells nothing.
    void add(kind_index kind, kind_set at_begin, kind_set at_end, double log_slowdown);

    /// Believed slowdown of the kind by the neighbours.
    [[nodiscard]] double slowdown(kind_index kind, kind_set neighbours) const;
    /// Believed slowdown that a run of the kind suffers and causes beside these neighbours.
    [[nodiscard]] double cost(kind_index kind, kind_set neighbours) const;
    /// Kinds that the kind disturbs or is disturbed by.
    [[nodiscard]] kind_set related(kind_index kind) const {
        return kind < m_kinds.size() ? m_kinds[kind].related : kind_set{0};
    }
    [[nodiscard]] std::size_t believed_pairs() const { return m_believed; }
    [[nodiscard]] std::vector<change> take_changes();

private:
    struct mean_estimate {
        float count = 0.0F;
        float mean = 0.0F;
        float variance = 0.0F;

        void add(double value);
    };
    /// Runs of a kind with and without the neighbour.
    struct pair_state {
        mean_estimate with;
        mean_estimate without;
        float believed = 0.0F;
    };
    struct kind_state {
        std::string name;
        /// Neighbours that are believed to slow this kind down.
        kind_set slowed_by = 0;
        kind_set related = 0;
        std::vector<pair_state> pairs;
    };

    [[nodiscard]] pair_state& pair_of(kind_index kind, kind_index neighbour);
    void evaluate(kind_index kind, kind_index neighbour);
    void believe(kind_index kind, kind_index neighbour, double log_slowdown);
    void update_relation(kind_index a, kind_index b);

    std::vector<kind_state> m_kinds;
    std::vector<change> m_changes;
    std::size_t m_believed = 0;
};

} // namespace buckthornspar::learning
