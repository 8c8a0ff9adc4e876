#pragma once

#include "core/scheduling/shard_engine.h"
#include "core/server/server_settings.h"

#include <cstddef>
#include <string>

namespace buckthornspar::common {
class settings_section;
}

namespace buckthornspar::scheduler {

/// Settings of the scheduler program in addition to the shared ones.
struct scheduler_settings {
    scheduling::worker_fleet_settings fleet;
    scheduling::task_runner_settings tasks;
    placement::placement_settings placement;
    common::duration suspect_after{};
    common::duration worker_timeout{};
    std::size_t store_writes_per_second = 0;
    std::size_t log_slots = 0;
    std::size_t ring_capacity = 0;
};

/// Throws settings_error.
[[nodiscard]] scheduler_settings read_scheduler_settings(common::settings_section& settings);

/// Settings of the engine of one shard. start_number distinguishes successive starts of a process.
[[nodiscard]] scheduling::shard_engine_settings
engine_settings(const scheduler_settings& own, const server::server_settings& shared,
                const std::string& shard, std::int64_t start_number);

} // namespace buckthornspar::scheduler
