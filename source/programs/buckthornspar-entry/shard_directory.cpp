#include "shard_directory.h"

#include <xxhash.h>

#include <utility>

namespace buckthornspar::entry {

namespace {

std::uint64_t weight(std::string_view shard, std::string_view job_id) {
    const XXH64_hash_t shard_hash = XXH3_64bits(shard.data(), shard.size());
    return XXH3_64bits_withSeed(job_id.data(), job_id.size(), shard_hash);
}

} // namespace

shard_directory::shard_directory(std::vector<server::shard_settings> shards)
    : m_shards(std::move(shards)) {}

std::string shard_directory::home(std::string_view job_id, std::string_view region) const {
    std::string best;
    std::uint64_t best_weight = 0;
    for (const auto& shard : m_shards) {
        if (!region.empty() && shard.region != region) {
            continue;
        }
        const std::uint64_t w = weight(shard.id, job_id);
        if (best.empty() || w > best_weight) {
            best = shard.id;
            best_weight = w;
        }
    }
    return best;
}

std::string shard_directory::preferred_home(std::string_view job_id,
                                            const std::vector<std::string>& regions) const {
    for (const auto& region : regions) {
        if (std::string found = home(job_id, region); !region.empty() && !found.empty()) {
            return found;
        }
    }
    return home(job_id, "");
}

std::string shard_directory::region_of(std::string_view shard) const {
    for (const auto& s : m_shards) {
        if (s.id == shard) {
            return s.region;
        }
    }
    return {};
}

} // namespace buckthornspar::entry
