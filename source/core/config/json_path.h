#pragma once

#include <boost/json/fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::config {

[[nodiscard]] std::vector<std::string> split_path(std::string_view path);

/// Null when there is nothing at the path.
[[nodiscard]] const boost::json::value* find_path(const boost::json::value& document,
                                                  std::string_view path);

/// Sets the value; objects on the way are created. Returns false when something on the way is not
/// an object.
[[nodiscard]] bool set_path(boost::json::value& document, std::string_view path,
                            boost::json::value value);

/// Returns false when there is nothing at the path.
[[nodiscard]] bool remove_path(boost::json::value& document, std::string_view path);

} // namespace buckthornspar::config
