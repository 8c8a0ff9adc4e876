#include "core/service/node_capability.h"

#include <algorithm>

namespace buckthornspar::service {

namespace {

// Slopes of docs/CAPACITY.md. The busiest instance took 16.1 % of a core and 1,453 connections with
// 300 workers, and 13 KB more memory with each further worker.
constexpr double cpu_share_per_worker = 0.161 / 300.0;
constexpr double fds_per_worker = 1453.0 / 300.0;
constexpr double memory_per_worker = 13'300.0;
// Files and the process itself.
constexpr double base_fds = 200.0;
constexpr double base_memory = 16.0 * 1024.0 * 1024.0;
// A job takes 1.6 KB, and all jobs together may take a quarter of a node's memory.
constexpr double memory_per_job = 4.0 * 1600.0;
// An owner of 90 workers sent and received 14 MB in 34 s. Twice the mean leaves room for bursts,
// and for loading the records at the beginning of a term.
constexpr double link_mbps_per_worker = 2.0 * 14.0 * 8.0 / 34.0 / 90.0;

// Without a link speed: with a smaller processor share an owner cannot keep up with 350 workers.
constexpr double small_cpu_share = 0.2;
constexpr common::duration small_node_claim_delay = std::chrono::milliseconds(700);
// A node that covers almost nothing of the need waits for this long. Nodes that cover all of it
// claim within a few tens of milliseconds.
constexpr common::duration max_claim_delay = std::chrono::milliseconds(1000);

} // namespace

owner_need need_of_owner(const fleet_size& fleet) {
    const auto workers = static_cast<double>(fleet.workers);
    const auto jobs = static_cast<double>(fleet.jobs);
    return {workers * cpu_share_per_worker, workers * link_mbps_per_worker,
            base_memory + workers * memory_per_worker + jobs * memory_per_job,
            base_fds + workers * fds_per_worker};
}

node_suitability suitability_of(const node_capability& node, const fleet_size& fleet) {
    const auto need = need_of_owner(fleet);
    node_suitability result;
    double smallest = 1.0;
    const auto cover = [&](double has, double needed, node_resource resource) {
        const auto covered = has >= needed ? 1.0 : has / needed;
        result.value *= covered;
        if (covered < smallest) {
            smallest = covered;
            result.shortest = resource;
        }
    };
    cover(node.cpu_share, need.cpu_share, node_resource::processor);
    if (node.link_mbps > 0.0) {
        cover(node.link_mbps, need.link_mbps, node_resource::link);
    }
    if (node.memory > 0) {
        cover(static_cast<double>(node.memory), need.memory, node_resource::memory);
    }
    if (node.max_fds > 0) {
        cover(static_cast<double>(node.max_fds), need.fds, node_resource::descriptors);
    }
    return result;
}

common::duration store_page_time(double link_mbps) {
    constexpr double page_megabits = 1024.0 * 1024.0 * 8.0 / 1e6;
    if (link_mbps <= 0.0) {
        return common::duration(0);
    }
    // Slower links than this are not waited for: the limit of a call would hide a dead connection.
    constexpr double max_seconds = 4.0;
    return std::chrono::duration_cast<common::duration>(
        std::chrono::duration<double>(std::min(max_seconds, 2.0 * page_megabits / link_mbps)));
}

common::duration claim_delay_of(const node_capability& node, const fleet_size& fleet) {
    if (node.link_mbps <= 0.0) {
        return node.cpu_share < small_cpu_share ? small_node_claim_delay : common::duration(0);
    }
    return std::chrono::duration_cast<common::duration>(
        max_claim_delay * std::clamp(1.0 - suitability_of(node, fleet).value, 0.0, 1.0));
}

} // namespace buckthornspar::service
