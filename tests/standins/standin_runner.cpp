// Stand-in for a runner of the platform contract: serves fakes::runner_model over HTTP.

#include "core/common/clock.h"
#include "core/common/error.h"
#include "fakes/runner_model.h"
#include "standins/standin.h"

#include <boost/json.hpp>

#include <charconv>
#include <map>
#include <optional>
#include <utility>

namespace buckthornspar::standins {

namespace json = boost::json;
using namespace fakes;

namespace {

std::int64_t to_number(std::string_view name, std::string_view text) {
    std::int64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || end != text.data() + text.size()) {
        throw common::format_error(std::string(name) + " must be an integer");
    }
    return number;
}

std::string required_field(const net::http_request& request, std::string_view name) {
    const auto value = request.fields.find(name);
    if (!value) {
        throw common::format_error("the field " + std::string(name) + " is required");
    }
    return std::string(*value);
}

class runner_handler final : public standin_handler {
public:
    runner_handler(net::event_loop& loop, runner_model model, common::duration work)
        : standin_handler(loop), m_model(std::move(model)), m_work(work) {}

protected:
    void serve(const net::http_request& request, const net::http_reply& reply) override {
        m_model.advance(m_clock.now());
        const auto segments = net::path_segments(request.path());
        const bool is_run = segments.size() >= 3 && segments[1] == "run";
        if (is_run && request.method == net::http_method::post) {
            run(request, reply);
        } else if (!is_run && request.path() != "/v1/ping") {
            reply(net::error_response(404, "unknown_path", "unknown path"));
        } else if (!m_model.responds()) {
            m_withheld_replies.push_back(reply);
        } else if (!is_run) {
            reply(with_load(net::json_response(200, "{}")));
        } else if (request.method == net::http_method::del) {
            reply(with_load(state_response(segments[2], m_model.cancel(segments[2]).value())));
        } else if (segments.size() == 4 && segments[3] == "answer") {
            fetch_answer(segments[2], reply);
        } else {
            reply(with_load(state_response(segments[2], m_model.ask(segments[2]).value())));
        }
        send_replies();
    }

    std::string call_kind(const net::http_request& request) const override {
        if (request.method == net::http_method::post) {
            return "run";
        }
        if (request.method == net::http_method::del) {
            return "cancel";
        }
        return request.path() == "/v1/ping" ? "ping" : "ask";
    }

    bool is_write(const net::http_request& request) const override {
        return request.method == net::http_method::post;
    }

    bool serve_control(const net::http_request& request, const net::http_reply& reply) override {
        if (request.path() == "/v1/history") {
            m_model.advance(m_clock.now());
            reply(net::json_response(200, json::serialize(history())));
            send_replies();
            return true;
        }
        if (request.path() == "/v1/restart" && request.method == net::http_method::post) {
            m_model.restart(m_clock.now());
            m_pending.clear();
            reply(net::json_response(200, "{}"));
            return true;
        }
        return false;
    }

    bool set_fault(std::string_view name, const json::value& value) override {
        if (name == "fault" && value.is_string()) {
            m_model.set_fault(runner_fault_from(value.get_string()), m_clock.now());
        } else if (name == "late_ms" && value.is_int64()) {
            m_model.set_reply_delay(std::chrono::milliseconds(value.get_int64()));
        } else if (name == "leaving" && value.is_bool()) {
            m_model.set_leaving(value.get_bool());
        } else if (name == "work_ms" && value.is_int64()) {
            m_work = std::chrono::milliseconds(value.get_int64());
        } else {
            return false;
        }
        send_replies();
        return true;
    }

private:
    void run(const net::http_request& request, const net::http_reply& reply) {
        run_arrival arrival;
        arrival.tag = ++m_last_tag;
        arrival.id = required_field(request, "X-Request-Id");
        arrival.remaining = std::chrono::milliseconds(
            to_number("X-Deadline-Ms", required_field(request, "X-Deadline-Ms")));
        arrival.work = work_of(request.body);
        arrival.body = request.body;
        const std::string expected(request.fields.get("X-Expect-Incarnation"));
        if (!expected.empty()) {
            // The model's incarnation does not include the start time of this process.
            arrival.expected_incarnation =
                expected == incarnation() ? m_model.incarnation() : expected;
        }
        m_pending.emplace(arrival.tag, reply);
        m_model.post(std::move(arrival), m_clock.now());
    }

    // A body that begins with "work_ms=N" sets the duration of the request.
    [[nodiscard]] common::duration work_of(std::string_view body) const {
        constexpr std::string_view marker = "work_ms=";
        if (!body.starts_with(marker)) {
            return m_work;
        }
        body.remove_prefix(marker.size());
        return std::chrono::milliseconds(to_number("work_ms", body.substr(0, body.find(' '))));
    }

    void fetch_answer(const std::string& id, const net::http_reply& reply) {
        const auto answer = m_model.kept_answer(id);
        reply(answer ? to_response(*answer)
                     : net::error_response(404, "not_found", "no stored answer"));
    }

    [[nodiscard]] net::http_response state_response(const std::string& id,
                                                    routing::run_state state) const {
        json::object body{{"state", routing::to_string(state)}};
        if (const auto answer = m_model.kept_answer(id)) {
            body["status"] = answer->status;
        }
        return net::json_response(200, json::serialize(body));
    }

    [[nodiscard]] net::http_response to_response(const run_reply& r) const {
        net::http_response response;
        response.status = r.status;
        response.body = r.body;
        response.fields.set("X-Request-Id", r.id);
        response.fields.set("X-Outcome", routing::to_string(r.outcome));
        if (r.outcome == routing::run_outcome::not_run) {
            response.fields.set("X-Reason", routing::to_string(r.reason));
        }
        return with_load(std::move(response));
    }

    [[nodiscard]] net::http_response with_load(net::http_response response) const {
        response.fields.set("X-Slots", std::to_string(m_model.slots()));
        response.fields.set("X-Slots-Free", std::to_string(m_model.slots_free()));
        response.fields.set("X-Incarnation", incarnation());
        response.fields.set("X-Uptime-Ms", std::to_string(uptime_ms()));
        return response;
    }

    // A restarted process must not reuse an incarnation of its predecessor.
    [[nodiscard]] std::string incarnation() const {
        return m_model.incarnation() + "." + m_started;
    }

    [[nodiscard]] std::int64_t uptime_ms() const {
        const auto uptime = m_model.uptime(m_clock.now());
        return std::chrono::duration_cast<std::chrono::milliseconds>(uptime).count();
    }

    // Sends the replies that are due and schedules the next event of the model.
    void send_replies() {
        m_model.advance(m_clock.now());
        for (const run_reply& r : m_model.take_replies()) {
            const auto position = m_pending.find(r.tag);
            if (position == m_pending.end()) {
                continue;
            }
            // Destroying the reply function closes the connection without a response.
            if (!r.truncated) {
                position->second(to_response(r));
            }
            m_pending.erase(position);
        }
        schedule_next_event();
    }

    void schedule_next_event() {
        const auto next = m_model.next_event();
        if (!next || (m_timer_at && *m_timer_at <= *next)) {
            return;
        }
        m_timer_at = *next;
        const auto delay = std::max(*next - m_clock.now(), common::duration(0));
        loop().post_after(delay, [this, at = *next] {
            if (m_timer_at == at) {
                m_timer_at.reset();
            }
            send_replies();
        });
    }

    [[nodiscard]] json::object history() const {
        json::array executions;
        for (const auto& e : m_model.executions()) {
            json::object item{{"id", e.id}, {"start_ms", common::to_milliseconds(e.start)}};
            if (e.end) {
                item["end_ms"] = common::to_milliseconds(*e.end);
            }
            executions.push_back(std::move(item));
        }
        return {{"runner", m_model.id()}, {"executions", std::move(executions)}};
    }

    common::system_clock m_clock;
    runner_model m_model;
    common::duration m_work;
    std::map<std::uint64_t, net::http_reply> m_pending;
    std::vector<net::http_reply> m_withheld_replies;
    std::uint64_t m_last_tag = 0;
    std::optional<common::time_point> m_timer_at;
    std::string m_started = std::to_string(common::wall_clock_ms());
};

std::unique_ptr<standin_handler> make_runner(net::event_loop& loop,
                                             const common::command_line& line) {
    const auto slots = static_cast<std::uint32_t>(std::stoul(line.get("slots", "8")));
    const auto work = std::chrono::milliseconds(std::stoll(line.get("work-ms", "5")));
    runner_model model(line.get("id", "runner"), slots);
    // Entries trust what a runner reports about repeated requests only after a minimum uptime.
    const auto age = std::chrono::seconds(std::stoll(line.get("started-s-ago", "0")));
    model.set_started(common::system_clock().now() - age);
    return std::make_unique<runner_handler>(loop, std::move(model), work);
}

} // namespace

} // namespace buckthornspar::standins

int main(int argc, char** argv) {
    using namespace buckthornspar;
    return standins::run_standin(
        argc, argv, "\nRunner stand-in; a body that begins with \"work_ms=N\" takes N ms.",
        {{"id", 'i', "ID", "id of the runner"},
         {"slots", '\0', "N", "number of concurrent requests (default 8)"},
         {"started-s-ago", '\0', "N", "pretend to have started N s earlier (default 0)"},
         {"work-ms", '\0', "N", "duration of a request in ms (default 5)"}},
        standins::make_runner);
}
