#include "request_settings.h"

#include "core/common/settings.h"

namespace buckthornspar::entry {

using std::chrono::milliseconds;

request_settings read_request_settings(common::settings_section settings) {
    request_settings s;
    routing::route_settings& route = s.engine.route;
    route.policy = settings.text("policy", route.policy);
    route.queue.max_waiting =
        static_cast<std::size_t>(settings.number("max_waiting", {1, 1'000'000, "requests"}, 2000));
    route.queue.lower_class_share =
        settings.real("lower_class_share", 0, 0.5, route.queue.lower_class_share);
    route.crossing_time = milliseconds(settings.number("crossing_time_ms", {0, 10'000, "ms"}, 20));
    route.crossing_bytes_per_s =
        settings.real("crossing_bytes_per_s", 0, 1e12, route.crossing_bytes_per_s);
    s.engine.max_per_caller = static_cast<std::size_t>(
        settings.number("max_per_caller", {1, 1'000'000, "requests"}, 500));
    s.engine.retries.share = settings.real("retry_share", 0, 1, s.engine.retries.share);
    s.engine.overdue_min = milliseconds(settings.number("overdue_min_ms", {10, 60'000, "ms"}, 500));
    s.default_deadline =
        milliseconds(settings.number("default_deadline_ms", {1, 3'600'000, "ms"}, 30'000));
    s.max_deadline = milliseconds(settings.number("max_deadline_ms", {1, 3'600'000, "ms"}, 60'000));
    // Runners retain request ids for at least the longest deadline.
    s.engine.id_retention = s.max_deadline;
    s.max_connections_per_runner = static_cast<std::size_t>(
        settings.number("max_connections_per_runner", {1, 10'000, "connections"}, 64));
    settings.finish();
    return s;
}

} // namespace buckthornspar::entry
