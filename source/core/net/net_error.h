#pragma once

#include "core/common/error.h"

namespace buckthornspar::net {

/// Thrown when a socket operation fails, for example binding an address that is in use.
class net_error : public common::error {
public:
    using error::error;
    [[nodiscard]] std::string_view type() const noexcept override { return "net_error"; }
};

} // namespace buckthornspar::net
