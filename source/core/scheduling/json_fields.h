#pragma once

#include "core/placement/resources.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornspar::scheduling {

/// Typed access to JSON documents. All readers throw a common::format_error naming the key.
[[nodiscard]] boost::json::value parse_json(std::string_view body);
[[nodiscard]] const boost::json::object& as_object(const boost::json::value& value,
                                                   std::string_view what);

[[nodiscard]] std::int64_t read_int(const boost::json::object& object, std::string_view key);
[[nodiscard]] std::int64_t read_int(const boost::json::object& object, std::string_view key,
                                    std::int64_t fallback);
[[nodiscard]] std::string read_text(const boost::json::object& object, std::string_view key);
[[nodiscard]] std::string read_text(const boost::json::object& object, std::string_view key,
                                    std::string_view fallback);
[[nodiscard]] bool read_bool(const boost::json::object& object, std::string_view key,
                             bool fallback);

/// Returns an empty array if the key is absent.
[[nodiscard]] const boost::json::array& read_array(const boost::json::object& object,
                                                   std::string_view key);

/// Returns zero resources if the key is absent.
[[nodiscard]] placement::resources read_resources(const boost::json::object& object,
                                                  std::string_view key);
[[nodiscard]] boost::json::value resources_json(const placement::resources& amount);

} // namespace buckthornspar::scheduling
