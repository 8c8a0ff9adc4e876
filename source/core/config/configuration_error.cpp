#include "core/config/configuration_error.h"

#include "core/common/name_table.h"

namespace buckthornspar::config {

namespace {

constexpr common::name_table<configuration_fault, 9> fault_names{
    "configuration fault",
    {"not_json", "wrong_type", "missing_field", "unknown_field", "unknown_value", "out_of_range",
     "invalid_name", "nothing_to_remove", "overlapping_changes"}};

} // namespace

configuration_error::configuration_error(configuration_fault fault, std::string field,
                                         const std::string& detail)
    : common::error(field.empty() ? detail : field + ": " + detail),
      m_fault(fault),
      m_field(std::move(field)) {}

std::string_view configuration_error::type() const noexcept {
    return fault_names.name(m_fault);
}

} // namespace buckthornspar::config
