#pragma once

#include <boost/json/fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::config {

[[nodiscard]] std::vector<std::string> split_path(std::string_view path);

/// Returns null if the path does not exist.
[[nodiscard]] const boost::json::value* find_path(const boost::json::value& document,
                                                  std::string_view path);

/// Sets the value and creates missing parent objects. Returns false if a parent is not an object.
[[nodiscard]] bool set_path(boost::json::value& document, std::string_view path,
                            boost::json::value value);

/// Returns false if the path does not exist.
[[nodiscard]] bool remove_path(boost::json::value& document, std::string_view path);

} // namespace buckthornspar::config
