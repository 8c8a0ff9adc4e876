#pragma once

#include "core/config/configuration.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornspar::config {

// JSON helpers shared by the source files of this module.

/// Throws configuration_error of kind not_json.
[[nodiscard]] boost::json::value parse_json(std::string_view text);

[[nodiscard]] boost::json::value to_value(const configuration& c);
[[nodiscard]] configuration read_value(const boost::json::value& document,
                                       const configuration_rules& rules);

/// Typed access to the members of a JSON object. Throws configuration_error; path is the path of
/// the object.
[[nodiscard]] const boost::json::object& require_object(const boost::json::value& value,
                                                        const std::string& path);
[[nodiscard]] const boost::json::value&
require_member(const boost::json::object& object, const std::string& path, std::string_view name);
[[nodiscard]] std::string require_text(const boost::json::object& object, const std::string& path,
                                       std::string_view name);
[[nodiscard]] std::int64_t require_number(const boost::json::object& object,
                                          const std::string& path, std::string_view name,
                                          std::int64_t min, std::int64_t max);

[[nodiscard]] std::string join_path(const std::string& path, std::string_view name);

} // namespace buckthornspar::config
