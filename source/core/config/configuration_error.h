#pragma once

#include "core/common/error.h"

#include <string>
#include <string_view>
#include <utility>

namespace buckthornspar::config {

enum class configuration_fault {
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

/// A configuration or patch that cannot be accepted. field is the path of the offending field, for
/// example "quotas/vision/cpu_milli"; it is empty when the document as a whole cannot be read.
class configuration_error : public common::error {
public:
    configuration_error(configuration_fault fault, std::string field, const std::string& detail);

    [[nodiscard]] configuration_fault fault() const noexcept { return m_fault; }
    [[nodiscard]] const std::string& field() const noexcept { return m_field; }
    [[nodiscard]] std::string_view type() const noexcept override;

private:
    configuration_fault m_fault;
    std::string m_field;
};

} // namespace buckthornspar::config
