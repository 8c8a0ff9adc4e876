#pragma once

#include "core/common/error.h"

#include <string>
#include <string_view>
#include <utility>

namespace buckthornspar::config {

enum class configuration_error_kind {
    not_json,
    wrong_type,
    missing_field,
    unknown_field,
    unknown_value,
    out_of_range,
    invalid_name,
    nothing_to_remove,
    overlapping_changes,
};

/// Thrown for an invalid configuration or patch. field is the path of the invalid field, for
/// example "quotas/vision/cpu_milli"; it is empty if the error concerns the whole document.
class configuration_error : public common::error {
public:
    configuration_error(configuration_error_kind kind, std::string field,
                        const std::string& detail);

    [[nodiscard]] configuration_error_kind kind() const noexcept { return m_kind; }
    [[nodiscard]] const std::string& field() const noexcept { return m_field; }
    [[nodiscard]] std::string_view type() const noexcept override;

private:
    configuration_error_kind m_kind;
    std::string m_field;
};

} // namespace buckthornspar::config
