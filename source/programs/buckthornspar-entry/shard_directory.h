#pragma once

#include "core/server/server_settings.h"

#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::entry {

/// Assigns jobs to shards by rendezvous hashing of the job's id, so that every entry determines the
/// same home shard without shared state.
class shard_directory {
public:
    explicit shard_directory(std::vector<server::shard_settings> shards);

    /// Home shard of the job among the shards of the region, or among all shards when the region is
    /// empty. Empty when the region has no shard.
    [[nodiscard]] std::string home(std::string_view job_id, std::string_view region) const;

    /// Home shard in the first of the regions that has a shard, or among all shards when none has.
    /// The result does not depend on which schedulers are live, so that a repeated submission goes
    /// to the same shard.
    [[nodiscard]] std::string preferred_home(std::string_view job_id,
                                             const std::vector<std::string>& regions) const;

    /// Region of the shard; empty when it is unknown.
    [[nodiscard]] std::string region_of(std::string_view shard) const;

    [[nodiscard]] const std::vector<server::shard_settings>& shards() const { return m_shards; }

private:
    std::vector<server::shard_settings> m_shards;
};

} // namespace buckthornspar::entry
