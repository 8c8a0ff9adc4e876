#pragma once

#include "core/common/error.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace buckthornspar::common {

/// Names of the values of an enumeration whose values are consecutive from 0. The names are part of
/// the protocols and the settings and must not change once released.
template <typename Enum, std::size_t Count>
class name_table {
public:
    constexpr name_table(std::string_view title, std::array<std::string_view, Count> names)
        : m_title(title), m_names(names) {}

    [[nodiscard]] constexpr std::string_view name(Enum value) const {
        return m_names.at(static_cast<std::size_t>(value));
    }

    /// Throws unknown_name_error if no value has this name.
    [[nodiscard]] Enum value(std::string_view name) const {
        for (std::size_t i = 0; i < Count; ++i) {
            if (m_names[i] == name) {
                return static_cast<Enum>(i);
            }
        }
        throw unknown_name_error(m_title, name);
    }

    [[nodiscard]] static constexpr std::size_t size() { return Count; }

private:
    std::string_view m_title;
    std::array<std::string_view, Count> m_names;
};

} // namespace buckthornspar::common
