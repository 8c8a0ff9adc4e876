#pragma once

#include "core/placement/placement_engine.h"

#include <string>
#include <vector>

namespace buckthornspar::placement::test {

constexpr std::int64_t cores = 1000;
constexpr std::int64_t gigabytes = 1024;

inline common::time_point at(common::duration since_start) {
    return common::time_point{since_start};
}

inline worker_info make_worker(const std::string& id, const resources& capacity,
                               const std::string& rack = "r1", const std::string& place = "p1") {
    return {id, "region", place, rack, capacity, worker_state::available};
}

inline task_request make_task(const std::string& id, const resources& demand,
                              common::duration run = std::chrono::seconds(10)) {
    task_request request;
    request.task = id;
    request.job = "job of " + id;
    request.team = "team";
    request.demand = demand;
    request.expected_run = run;
    request.submitted = at(common::duration{0});
    return request;
}

inline std::vector<task_request> make_gang(const std::string& job, std::size_t tasks,
                                           const resources& demand,
                                           common::duration run = std::chrono::seconds(10)) {
    std::vector<task_request> requests;
    for (std::size_t i = 0; i < tasks; ++i) {
        task_request request = make_task(job + "/" + std::to_string(i), demand, run);
        request.job = job;
        request.kind = workload_kind::all_at_once;
        requests.push_back(request);
    }
    return requests;
}

} // namespace buckthornspar::placement::test
