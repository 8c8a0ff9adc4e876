// Stand-in for a worker of the platform contract: serves fakes::worker_model over HTTP.

#include "core/common/clock.h"
#include "core/common/error.h"
#include "core/scheduling/worker_codec.h"
#include "fakes/worker_model.h"
#include "standins/standin.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace buckthornspar::standins {

namespace json = boost::json;
using namespace scheduling;

namespace {

constexpr std::int64_t max_poll_ms = 60'000;

std::int64_t number_query(const net::http_request& request, std::string_view name) {
    const std::string text = request.query(name).value_or("0");
    try {
        return std::stoll(text);
    } catch (const std::exception&) {
        throw common::format_error(std::string(name) + " must be an integer");
    }
}

// Starts and ends of tasks, with times of the monotonic clock that all processes of the machine
// share.
class task_history {
public:
    void started(std::int64_t now_ms, const std::string& task, const std::string& attempt) {
        add(now_ms, "start", task, attempt, "");
        m_running_attempts[attempt] = task;
    }

    void ended(std::int64_t now_ms, const ended_attempt& end) {
        if (m_running_attempts.erase(end.attempt) > 0) {
            add(now_ms, "end", end.task, end.attempt, to_string(end.outcome));
        }
    }

    void restarted(std::int64_t now_ms) {
        for (const auto& [attempt, task] : m_running_attempts) {
            add(now_ms, "end", task, attempt, "restart");
        }
        m_running_attempts.clear();
    }

    [[nodiscard]] const json::array& events() const { return m_events; }

private:
    void add(std::int64_t now_ms, std::string_view event, const std::string& task,
             const std::string& attempt, std::string_view outcome) {
        m_events.push_back(json::object{{"time_ms", now_ms},
                                        {"event", event},
                                        {"task", task},
                                        {"attempt", attempt},
                                        {"outcome", outcome}});
    }

    json::array m_events;
    std::map<std::string, std::string> m_running_attempts;
};

class worker_handler final : public standin_handler {
public:
    worker_handler(net::event_loop& loop, fakes::worker_model model)
        : standin_handler(loop), m_model(std::move(model)) {}

protected:
    void serve(const net::http_request& request, const net::http_reply& reply) override {
        record_ends();
        const auto path = request.path();
        const bool is_post = request.method == net::http_method::post;
        if (is_post && path == "/v1/adopt") {
            answer(m_model.adopt(now_ms(), read_adopt_request(request.body)), reply);
        } else if (is_post && path == "/v1/sync") {
            sync(read_sync_request(request.body), reply);
        } else if (!is_post && path == "/v1/inventory") {
            reply(net::json_response(200, to_json(m_model.inventory(now_ms()))));
        } else if (!is_post && path == "/v1/events") {
            poll(request, reply);
        } else {
            reply(net::error_response(404, "unknown_path", "unknown path or method"));
        }
        update_after_call();
    }

    std::string call_kind(const net::http_request& request) const override {
        return std::string(request.path());
    }

    bool is_write(const net::http_request& request) const override {
        return request.method == net::http_method::post;
    }

    bool serve_control(const net::http_request& request, const net::http_reply& reply) override {
        if (request.path() == "/v1/history") {
            record_ends();
            const auto& peak = m_peak;
            const json::object body{{"worker", m_model.id()},
                                    {"now_ms", now_ms()},
                                    {"events", m_history.events()},
                                    {"peak", json::object{{"cpu_milli", peak.cpu_milli},
                                                          {"memory_mb", peak.memory_mb},
                                                          {"accelerators", peak.accelerators}}},
                                    {"overcommitted", !peak.fits(m_model.capacity())}};
            reply(net::json_response(200, json::serialize(body)));
            return true;
        }
        if (request.path() == "/v1/restart" && request.method == net::http_method::post) {
            record_ends();
            m_history.restarted(now_ms());
            m_model.restart();
            m_last_recorded_event = 0;
            reply(net::json_response(200, "{}"));
            return true;
        }
        return false;
    }

    bool set_fault(std::string_view name, const json::value& value) override {
        const std::map<std::string_view, bool*> flags{
            {"fail_every_task", &m_model.faults().fail_every_task},
            {"skip_epoch_check", &m_model.faults().skip_epoch_check},
            {"skip_lease_end", &m_model.faults().skip_lease_end},
            {"skip_capacity_check", &m_model.faults().skip_capacity_check},
            {"skip_start_validity", &m_model.faults().skip_start_validity}};
        if (name == "leaving" && value.is_bool()) {
            m_model.set_leaving(value.get_bool());
            return true;
        }
        const auto position = flags.find(name);
        if (position == flags.end() || !value.is_bool()) {
            return false;
        }
        *position->second = value.get_bool();
        return true;
    }

private:
    struct waiting_poll {
        std::uint64_t after;
        net::http_reply reply;
    };

    [[nodiscard]] std::int64_t now_ms() const { return common::to_milliseconds(m_clock.now()); }

    void sync(const sync_request& request, const net::http_reply& reply) {
        const auto now = now_ms();
        const auto result = m_model.sync(now, request);
        if (const auto* const done = std::get_if<sync_response>(&result)) {
            record_starts(now, request, *done);
        }
        answer(result, reply);
    }

    void record_starts(std::int64_t now, const sync_request& request, const sync_response& done) {
        for (std::size_t i = 0; i < request.operations.size(); ++i) {
            const auto& operation = request.operations[i];
            if (operation.op == worker_op::start &&
                done.results[i].status == operation_status::accepted) {
                m_history.started(now, operation.task, operation.attempt);
            }
        }
    }

    template <typename Answer>
    void answer(const std::variant<Answer, worker_error>& result, const net::http_reply& reply) {
        if (const auto* const done = std::get_if<Answer>(&result)) {
            reply(net::json_response(200, to_json(*done)));
            return;
        }
        const auto& error = std::get<worker_error>(result);
        const unsigned status = error.kind == worker_error_kind::stale_incarnation ? 410 : 409;
        reply(net::json_response(status, rejection_json(error)));
    }

    void poll(const net::http_request& request, const net::http_reply& reply) {
        const auto after = static_cast<std::uint64_t>(number_query(request, "after"));
        const auto wait =
            std::clamp<std::int64_t>(number_query(request, "wait_ms"), 0, max_poll_ms);
        if (m_model.last_event() > after || wait == 0) {
            answer_poll({after, reply});
            return;
        }
        const auto id = ++m_last_poll;
        m_polls.emplace(id, waiting_poll{after, reply});
        loop().post_after(std::chrono::milliseconds(wait), [this, id] {
            const auto position = m_polls.find(id);
            if (position != m_polls.end()) {
                answer_poll(position->second);
                m_polls.erase(position);
            }
        });
    }

    void answer_poll(const waiting_poll& poll) {
        poll.reply(net::json_response(200, to_json(m_model.events(now_ms(), poll.after))));
    }

    // Ends the tasks that are due and records their ends before an acknowledgement can remove them
    // from the model.
    void record_ends() {
        const auto now = now_ms();
        const auto events = m_model.events(now, m_last_recorded_event);
        for (const auto& end : events.ended) {
            m_history.ended(now, end);
        }
        m_last_recorded_event = events.next;
    }

    void update_after_call() {
        record_ends();
        const auto committed = m_model.committed();
        m_peak.cpu_milli = std::max(m_peak.cpu_milli, committed.cpu_milli);
        m_peak.memory_mb = std::max(m_peak.memory_mb, committed.memory_mb);
        m_peak.accelerators = std::max(m_peak.accelerators, committed.accelerators);
        for (auto i = m_polls.begin(); i != m_polls.end();) {
            const auto current = i++;
            if (m_model.last_event() > current->second.after) {
                answer_poll(current->second);
                m_polls.erase(current);
            }
        }
        schedule_timer();
    }

    // Keeps one timer, for the next end; a call that causes an earlier end sets an earlier timer.
    void schedule_timer() {
        const auto due = m_model.next_end();
        if (!due || (m_timer_at && *m_timer_at <= *due)) {
            return;
        }
        m_timer_at = *due;
        const auto delay = std::chrono::milliseconds(std::max<std::int64_t>(*due - now_ms(), 0));
        loop().post_after(delay, [this, at = *due] {
            if (m_timer_at == at) {
                m_timer_at.reset();
            }
            update_after_call();
        });
    }

    common::system_clock m_clock;
    fakes::worker_model m_model;
    task_history m_history;
    placement::resources m_peak;
    std::map<std::uint64_t, waiting_poll> m_polls;
    std::uint64_t m_last_poll = 0;
    std::uint64_t m_last_recorded_event = 0;
    std::optional<std::int64_t> m_timer_at;
};

std::unique_ptr<standin_handler> make_worker(net::event_loop& loop,
                                             const common::command_line& line) {
    placement::resources capacity;
    capacity.cpu_milli = std::stoll(line.get("cpu-milli", "8000"));
    capacity.memory_mb = std::stoll(line.get("memory-mb", "16384"));
    capacity.accelerators = std::stoll(line.get("accelerators", "0"));
    // A restarted process must not reuse an incarnation of its predecessor.
    const auto incarnation = static_cast<std::uint64_t>(common::wall_clock_ms());
    return std::make_unique<worker_handler>(
        loop, fakes::worker_model(line.get("id", "worker"), capacity, incarnation));
}

} // namespace

} // namespace buckthornspar::standins

int main(int argc, char** argv) {
    using namespace buckthornspar;
    return standins::run_standin(
        argc, argv, "\nWorker stand-in.",
        {{"id", 'i', "ID", "id of the worker"},
         {"cpu-milli", '\0', "N", "processors in thousandths of a core (default 8000)"},
         {"memory-mb", '\0', "N", "memory in MB (default 16384)"},
         {"accelerators", '\0', "N", "accelerators (default 0)"}},
        standins::make_worker);
}
