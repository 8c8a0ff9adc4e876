#include "core/service/node_settings.h"

#include "core/common/error.h"
#include "core/common/settings.h"

namespace buckthornspar::service {

namespace {

constexpr std::int64_t min_value_bytes = std::int64_t{16} << 10U;
constexpr std::int64_t usual_value_bytes = std::int64_t{1} << 20U;
constexpr std::int64_t max_value_bytes = std::int64_t{64} << 20U;
constexpr std::int64_t usual_body_bytes = std::int64_t{1} << 20U;
constexpr std::int64_t day_ms = std::int64_t{24} * 3600 * 1000;

net::endpoint read_endpoint(common::settings_section& settings, const char* key) {
    const auto text = settings.text(key);
    try {
        return net::parse_endpoint(text);
    } catch (const common::format_error& e) {
        settings.fail(key, e.what());
    }
}

common::duration read_ms(common::settings_section& settings, const char* key, std::int64_t min,
                         std::int64_t fallback) {
    return std::chrono::milliseconds(settings.number(key, {min, day_ms, "ms"}, fallback));
}

common::duration read_seconds(common::settings_section& settings, const char* key,
                              double fallback) {
    constexpr double day_s = 24.0 * 3600.0;
    return std::chrono::duration_cast<common::duration>(
        std::chrono::duration<double>(settings.real(key, 0.0, day_s, fallback)));
}

} // namespace

node_settings read_node_settings(common::settings_section& settings) {
    node_settings result;
    result.id = settings.text("id");
    result.data_centre = settings.text("data_centre");
    result.log_level = settings.text("log_level", "info");
    result.adapter = settings.text("adapter", "shared_cluster");
    result.callers = read_endpoint(settings, "callers");
    result.readiness = read_endpoint(settings, "readiness");
    const auto address = settings.text("address");
    const auto port = settings.number("peer_port", {1, 65535, "port"});
    result.peers = {address, static_cast<std::uint16_t>(port)};
    result.store = read_endpoint(settings, "store");
    if (!settings.text("advice", "").empty()) {
        result.advice = read_endpoint(settings, "advice");
    }
    result.lease = read_ms(settings, "lease_ms", 500, 6000);
    result.stop_grace = read_seconds(settings, "stop_grace_s", 6.0);
    result.state_retention = read_seconds(settings, "state_retention_s", 120.0);
    result.cancel_bound = read_ms(settings, "cancel_bound_ms", 2000, 3000);
    result.drain_bound = read_ms(settings, "drain_bound_ms", 2000, 2500);
    result.min_store_lease = read_ms(settings, "min_store_lease_ms", 1, 1000);
    result.requests = net::read_request_settings(settings, usual_body_bytes);
    result.max_store_value_bytes = static_cast<std::size_t>(settings.number(
        "store_value_bytes", {min_value_bytes, max_value_bytes, "bytes"}, usual_value_bytes));
    result.cpu_share = settings.real("cpu_share", 0.0, 1024.0, 1.0);
    result.link_mbps = settings.real("link_mbps", 0.0, 1e6, 0.0);
    result.order = settings.text("order", "deadline");
    result.learn_speeds = settings.flag("learn_speeds", true);
    result.learn_interference = settings.flag("learn_interference", true);
    return result;
}

} // namespace buckthornspar::service
