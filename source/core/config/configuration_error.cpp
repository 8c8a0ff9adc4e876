#include "core/config/configuration_error.h"

#include "core/common/name_table.h"

namespace buckthornspar::config {

namespace {

constexpr common::name_table<configuration_error_kind, 9> kind_names{
    "configuration error kind",
    {"not_json", "wrong_type", "missing_field", "unknown_field", "unknown_value", "out_of_range",
     "invalid_name", "nothing_to_remove", "overlapping_changes"}};

} // namespace

configuration_error::configuration_error(configuration_error_kind kind, std::string field,
                                         const std::string& detail)
    : common::error(field.empty() ? detail : field + ": " + detail),
      m_kind(kind),
      m_field(std::move(field)) {}

std::string_view configuration_error::type() const noexcept {
    return kind_names.name(m_kind);
}

} // namespace buckthornspar::config
