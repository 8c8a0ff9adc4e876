#include "scheduler_settings.h"

#include "core/common/settings.h"

#include <xxhash.h>

namespace buckthornspar::scheduler {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t claim_delay_steps = 8;
constexpr common::duration claim_delay_step = milliseconds(150);

common::duration read_ms(common::settings_section& settings, std::string_view key, std::int64_t min,
                         std::int64_t max, std::int64_t fallback) {
    return milliseconds(settings.number(key, {min, max, "ms"}, fallback));
}

void read_fleet(common::settings_section& settings, scheduling::worker_fleet_settings& fleet) {
    fleet.lease.lease = read_ms(settings, "lease_ms", 1000, 600'000, 6000);
    fleet.lease.start_validity = read_ms(settings, "start_validity_ms", 500, 60'000, 2000);
    fleet.lease.drift_permille = settings.number("clock_drift_permille", {0, 500, "permille"}, 10);
    fleet.authority = read_ms(settings, "authority_ms", 500, 600'000, 4000);
    fleet.renew = read_ms(settings, "renew_ms", 100, 300'000, 1500);
    fleet.gone_after = read_ms(settings, "gone_after_ms", 1000, 3'600'000, 60'000);
}

} // namespace

scheduler_settings read_scheduler_settings(common::settings_section& settings) {
    scheduler_settings s;
    read_fleet(settings, s.fleet);
    s.suspect_after = read_ms(settings, "suspect_after_ms", 200, 600'000, 3000);
    s.worker_timeout = read_ms(settings, "worker_timeout_ms", 50, 60'000, 1000);
    s.tasks.max_failures =
        static_cast<unsigned>(settings.number("max_task_failures", {1, 1000, "failures"}, 5));
    s.tasks.health.min_quarantine = read_ms(settings, "quarantine_min_ms", 100, 3'600'000, 30'000);
    s.tasks.health.max_quarantine =
        read_ms(settings, "quarantine_max_ms", 100, 86'400'000, 3'600'000);
    s.placement.scorer = settings.text("scorer", "best_fit");
    s.placement.gang_wait_bound =
        read_ms(settings, "gang_wait_bound_ms", 1000, 86'400'000, 600'000);
    s.store_writes_per_second = static_cast<std::size_t>(
        settings.number("store_writes_per_second", {1, 100'000, "writes"}, 300));
    s.log_slots =
        static_cast<std::size_t>(settings.number("log_slots", {8, 65'536, "records"}, 256));
    s.ring_capacity = static_cast<std::size_t>(
        settings.number("ring_capacity", {64, 1'000'000, "events"}, 16'384));
    return s;
}

scheduling::shard_engine_settings engine_settings(const scheduler_settings& own,
                                                  const server::server_settings& shared,
                                                  const std::string& shard,
                                                  std::int64_t start_number) {
    const std::string name = shared.id + "/" + shard;
    const std::uint64_t hash = XXH3_64bits(name.data(), name.size());
    scheduling::shard_engine_settings s;
    s.shard = shard;
    s.self = shared.id;
    s.suspect_after = own.suspect_after;
    s.claim_delay = static_cast<std::int64_t>(hash % claim_delay_steps) * claim_delay_step;
    s.fleet = own.fleet;
    s.fleet.shard = shard;
    s.fleet.self = shared.id;
    s.tasks = own.tasks;
    s.tasks.shared_quotas = shared.shards.size() > 1;
    s.placement = own.placement;
    s.placement.seed = hash;
    s.log.log.prefix = "shards/" + shard;
    s.log.log.writer = shared.id + "." + std::to_string(start_number);
    s.log.log.slots = own.log_slots;
    s.log.log.seed = hash;
    s.log.flush_interval =
        scheduling::flush_interval(shared.shards.size(), own.store_writes_per_second);
    return s;
}

} // namespace buckthornspar::scheduler
