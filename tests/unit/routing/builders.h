#pragma once

#include "core/membership/instance_list.h"

#include <cstdint>
#include <string>
#include <utility>

namespace buckthornspar::routing::test {

/// A live runner of the service "s".
inline membership::instance make_runner(std::string id, std::string region, std::uint32_t slots) {
    membership::instance runner;
    runner.id = std::move(id);
    runner.role = membership::instance_role::runner;
    runner.region = std::move(region);
    runner.service = "s";
    runner.slots = slots;
    return runner;
}

} // namespace buckthornspar::routing::test
