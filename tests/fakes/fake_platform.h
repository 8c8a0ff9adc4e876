#pragma once

#include "core/common/error.h"
#include "core/net/event_loop.h"
#include "core/service/platform_adapter.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace buckthornspar::fakes {

/// A format whose worker entries are empty values: all workers are equal and serve one service.
class fake_format final : public service::platform_format {
public:
    std::string worker_prefix() const override { return "w/"; }
    std::string configuration_key() const override { return "configuration"; }
    dispatch::worker_report read_worker(const std::string& id,
                                        const std::string& /*value*/) const override {
        dispatch::worker_report report;
        report.id = id;
        report.service = "planner";
        report.address = {id, 1};
        report.rack = "r1";
        report.capacity = {64'000, std::int64_t{128} * 1024, 0};
        report.start_time_ms = 1000;
        report.clock_ms = 5000;
        return report;
    }
    service::service_configuration read_configuration(const std::string& /*value*/) const override {
        return {};
    }
    dispatch::job_spec read_submission(const std::string& /*body*/) const override {
        throw common::format_error("the fake reads no submissions");
    }
    bool is_job_id(std::string_view /*text*/) const override { return true; }
    std::string state_body(dispatch::job_state /*state*/) const override { return {}; }
    std::string pending_body(std::size_t /*jobs*/) const override { return {}; }
    std::string deadline_header() const override { return "Deadline-Ms"; }
    std::string key_header() const override { return "Key"; }
    std::string readiness_path() const override { return "/ready"; }
};

/// Workers that accept every order. Their address is their id.
class fake_worker_link final : public dispatch::worker_link {
public:
    explicit fake_worker_link(net::event_loop& loop) : m_loop(loop) {}

    std::vector<dispatch::start_order> starts;
    std::vector<dispatch::stop_order> stops;
    /// Responses to polls wait until release_polls() is called.
    bool hold_polls = false;

    void start(const net::endpoint& to, const dispatch::start_order& order,
               common::duration /*timeout*/,
               std::function<void(dispatch::order_result)> complete) override {
        starts.push_back(order);
        m_running[to.address].push_back({order.run, "", 0});
        m_loop.post([this, complete = std::move(complete)] {
            complete({dispatch::order_status::accepted, clock_ms()});
        });
    }

    void stop(const net::endpoint& /*to*/, const dispatch::stop_order& order,
              common::duration /*timeout*/,
              std::function<void(dispatch::order_result)> complete) override {
        stops.push_back(order);
        m_loop.post([this, complete = std::move(complete)] {
            complete({dispatch::order_status::accepted, clock_ms()});
        });
    }

    void poll(const net::endpoint& to, const dispatch::poll_order& order,
              common::duration /*timeout*/,
              std::function<void(dispatch::poll_result)> complete) override {
        auto respond = [this, worker = to.address, order, complete = std::move(complete)] {
            complete(list(worker, order));
        };
        if (hold_polls) {
            m_held_polls.push_back(std::move(respond));
        } else {
            m_loop.post_after(std::chrono::milliseconds(5), std::move(respond));
        }
    }

    /// All held responses become ready at the same time.
    void release_polls() {
        hold_polls = false;
        for (auto& respond : std::exchange(m_held_polls, {})) {
            m_loop.post(std::move(respond));
        }
    }
    [[nodiscard]] std::size_t held_polls() const { return m_held_polls.size(); }

    void end_run(const std::string& worker, const dispatch::run_key& run, dispatch::run_end how) {
        std::erase_if(m_running[worker], [&run](const auto& item) { return item.run == run; });
        m_ended[worker].push_back({++m_end_numbers[worker], run, how, ""});
    }

private:
    [[nodiscard]] std::int64_t clock_ms() const {
        return 5000 + common::to_milliseconds(m_clock.now() - m_started);
    }

    dispatch::poll_result list(const std::string& worker, const dispatch::poll_order& order) {
        dispatch::poll_result result;
        result.status = dispatch::order_status::accepted;
        result.clock_ms = clock_ms();
        result.start_time_ms = 1000;
        result.running = m_running[worker];
        auto& ended = m_ended[worker];
        std::erase_if(ended,
                      [&order](const auto& item) { return item.number <= order.ends_saved; });
        result.ended = ended;
        return result;
    }

    net::event_loop& m_loop;
    common::system_clock m_clock;
    common::time_point m_started = m_clock.now();
    std::map<std::string, std::vector<dispatch::running_run>> m_running;
    std::map<std::string, std::vector<dispatch::ended_run>> m_ended;
    std::map<std::string, std::uint64_t> m_end_numbers;
    std::vector<std::function<void()>> m_held_polls;
};

class fake_advice final : public dispatch::advice_source {
public:
    void ask(const dispatch::advice_request& /*request*/, common::duration /*timeout*/,
             std::function<void(dispatch::advice_result)> complete) override {
        complete({});
    }
};

/// A platform in memory, on the event loop of the test.
class fake_platform final : public service::platform_adapter {
public:
    fake_platform(net::event_loop& loop, dispatch::shared_store& store)
        : link(loop), m_store(store) {}

    fake_worker_link link;

    const service::platform_format& format() const override { return m_format; }
    dispatch::shared_store& store() override { return m_store; }
    dispatch::worker_link& workers() override { return link; }
    dispatch::advice_source& advice() override { return m_advice; }

private:
    dispatch::shared_store& m_store;
    fake_format m_format;
    fake_advice m_advice;
};

} // namespace buckthornspar::fakes
