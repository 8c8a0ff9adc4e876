#pragma once

#include "core/config/patch.h"

#include <boost/json/fwd.hpp>

#include <string>
#include <vector>

namespace buckthornspar::config {

[[nodiscard]] std::vector<change> read_changes(const boost::json::value& value,
                                               const std::string& path);
[[nodiscard]] boost::json::array to_array(const std::vector<change>& changes);

} // namespace buckthornspar::config
