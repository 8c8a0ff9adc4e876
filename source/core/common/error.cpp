#include "core/common/error.h"

namespace buckthornspar::common {

unknown_name_error::unknown_name_error(std::string_view table, std::string_view name)
    : error("unknown " + std::string(table) + " '" + std::string(name) + "'") {}

} // namespace buckthornspar::common
