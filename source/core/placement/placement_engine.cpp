#include "core/placement/placement_engine.h"

#include "core/placement/placement_state.h"

#include <utility>

namespace buckthornspar::placement {

placement_engine::placement_engine(placement_settings settings)
    : m_state(std::make_unique<state>(std::move(settings))) {}
placement_engine::~placement_engine() = default;
placement_engine::placement_engine(placement_engine&&) noexcept = default;
placement_engine& placement_engine::operator=(placement_engine&&) noexcept = default;

void placement_engine::upsert_worker(const worker_info& info) {
    m_state->upsert_worker(info);
}

void placement_engine::remove_worker(const std::string& id) {
    m_state->remove_worker(id);
}

std::optional<infeasibility> placement_engine::check_feasible(const task_request& request,
                                                              std::size_t task_count) const {
    return m_state->check_feasible(request, task_count);
}

void placement_engine::submit(task_request request) {
    m_state->submit(std::move(request));
}

void placement_engine::submit_gang(std::vector<task_request> requests) {
    m_state->submit_gang(std::move(requests));
}

bool placement_engine::withdraw(const std::string& task) {
    return m_state->withdraw(task);
}

decisions placement_engine::decide(common::time_point now, std::size_t max_assignments) {
    return m_state->decide(now, max_assignments);
}

void placement_engine::confirm_started(const std::string& task, common::time_point now) {
    m_state->confirm_started(task, now);
}

void placement_engine::release(const std::string& task, common::time_point /*now*/) {
    m_state->release(task);
}

void placement_engine::requeue(const std::string& task) {
    m_state->requeue(task);
}

void placement_engine::adopt_running(const std::string& worker, const task_request& request,
                                     common::time_point now) {
    m_state->adopt_running(worker, request, now);
}

wait_reason placement_engine::explain(const std::string& task) const {
    return m_state->explain(task);
}

std::optional<gang_wait> placement_engine::explain_gang(const std::string& job) const {
    return m_state->explain_gang(job);
}

void placement_engine::set_workload(workload_kind kind, const workload_settings& settings) {
    m_state->set_workload(kind, settings);
}

void placement_engine::set_quota(const std::string& team, const resources& limit) {
    m_state->set_quota(team, limit);
}

void placement_engine::clear_quota(const std::string& team) {
    m_state->set_quota(team, std::nullopt);
}

void placement_engine::set_quota_part(const std::string& team, const resources& part) {
    m_state->set_quota_part(team, part);
}

std::vector<quota_demand> placement_engine::quota_demands() const {
    return m_state->quota_demands();
}

resources placement_engine::allocated(const std::string& worker) const {
    return m_state->allocated(worker);
}

resources placement_engine::free_resources() const {
    return m_state->free_resources();
}

std::size_t placement_engine::waiting() const {
    return m_state->waiting();
}

} // namespace buckthornspar::placement
