#include "benchmark.h"

#include "core/common/latency_summary.h"
#include "core/net/event_loop.h"
#include "core/net/http_client.h"

#include <chrono>
#include <future>
#include <memory>
#include <string>

namespace buckthornspar::bench {

namespace {

using steady = std::chrono::steady_clock;

constexpr common::duration request_timeout = std::chrono::seconds(10);

double to_us(steady::duration d) {
    return std::chrono::duration<double, std::micro>(d).count();
}

// Keeps a fixed number of requests in flight until the given total has been sent. All state is
// used only on the thread of the event loop.
class load_generator {
public:
    load_generator(net::event_loop& loop, net::endpoint target, std::string path, std::size_t total)
        : m_client(loop, {}),
          m_target(std::move(target)),
          m_path(std::move(path)),
          m_total(total) {}

    std::future<void> start(std::size_t concurrency, net::event_loop& loop) {
        loop.post([this, concurrency] {
            for (std::size_t i = 0; i < concurrency; ++i) {
                send_next();
            }
        });
        return m_done.get_future();
    }

    [[nodiscard]] const common::latency_summary& latency() const { return m_latency; }
    [[nodiscard]] std::size_t failures() const { return m_failures; }

private:
    void send_next() {
        if (m_sent == m_total) {
            return;
        }
        net::http_request request;
        request.method = net::http_method::post;
        request.target = m_path;
        request.fields.set("X-Request-Id", "load-" + std::to_string(m_sent++));
        request.fields.set("X-Deadline-Ms", "5000");
        request.fields.set("X-Attempt", "1");
        request.fields.set("X-Origin", "bench");
        request.body = "load";
        m_client.send(m_target, std::move(request), request_timeout,
                      [this, sent_at = steady::now()](const net::http_result& result) {
                          finish(sent_at, result);
                      });
    }

    void finish(steady::time_point sent_at, const net::http_result& result) {
        const auto* const response = std::get_if<net::http_response>(&result);
        if (response == nullptr || response->status != 200) {
            ++m_failures;
        } else {
            m_latency.add(to_us(steady::now() - sent_at));
        }
        if (++m_finished == m_total) {
            m_done.set_value();
            return;
        }
        send_next();
    }

    net::http_client m_client;
    net::endpoint m_target;
    std::string m_path;
    std::size_t m_total;
    std::size_t m_sent = 0;
    std::size_t m_finished = 0;
    std::size_t m_failures = 0;
    common::latency_summary m_latency;
    std::promise<void> m_done;
};

class request_load final : public benchmark {
public:
    [[nodiscard]] std::string summary() const override {
        return "latency of requests to a running server on loopback "
               "(target=IP:PORT, path, requests, concurrency, label)";
    }

    void run(const bench_run& run) override {
        const auto target = net::parse_endpoint(run.settings.text("target", ""));
        const auto path = run.settings.text("path", "/v1/requests/echo");
        const auto requests = run.settings.number("requests", 20'000);
        const auto concurrency = run.settings.number("concurrency", 1);

        net::event_loop loop;
        loop.start();
        load_generator generator(loop, target, path, requests);
        const auto begin = steady::now();
        generator.start(concurrency, loop).wait();
        const auto elapsed = steady::now() - begin;
        loop.stop();

        result_row row;
        row.setting("label", run.settings.text("label", "load"))
            .setting("requests", requests)
            .setting("concurrency", concurrency)
            .result("p50_us", generator.latency().p50())
            .result("p99_us", generator.latency().p99())
            .result("p999_us", generator.latency().p999())
            .result("per_s", static_cast<double>(requests) * 1e6 / to_us(elapsed))
            .result("failures", static_cast<double>(generator.failures()));
        run.write(row);
    }
};

const benchmark_registration registration("request-load",
                                          [] { return std::make_unique<request_load>(); });

} // namespace

} // namespace buckthornspar::bench
