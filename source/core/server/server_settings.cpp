#include "core/server/server_settings.h"

#include "core/common/error.h"
#include "core/common/settings.h"

namespace buckthornspar::server {

namespace {

net::endpoint read_endpoint(common::settings_section& settings, std::string_view key) {
    const std::string text = settings.text(key);
    try {
        return net::parse_endpoint(text);
    } catch (const common::format_error& e) {
        settings.fail(key, e.what());
    }
}

adapter_settings read_adapter(common::settings_section settings) {
    adapter_settings adapter;
    adapter.adapter = settings.text("adapter", "http");
    adapter.address = read_endpoint(settings, "address");
    settings.finish();
    return adapter;
}

std::vector<shard_settings> read_shards(common::settings_section& settings) {
    std::vector<shard_settings> shards;
    for (auto& section : settings.sections("shards")) {
        shards.push_back({section.text("id"), section.text("region"), section.list("places")});
        section.finish();
    }
    return shards;
}

} // namespace

server_settings read_server_settings(common::settings_section& settings) {
    using std::chrono::milliseconds;
    server_settings s;
    s.id = settings.text("id");
    s.region = settings.text("region");
    s.place = settings.text("place");
    s.log_level = settings.text("log_level", "info");
    s.listen = read_endpoint(settings, "listen");
    s.peer_listen = read_endpoint(settings, "peer_listen");
    s.store = read_adapter(settings.section("store"));
    s.instances = read_adapter(settings.section("instances"));
    s.instance_poll_period =
        milliseconds(settings.number("instance_poll_ms", {50, 60'000, "ms"}, 500));
    s.heartbeat_period = milliseconds(settings.number("heartbeat_ms", {50, 60'000, "ms"}, 1'000));
    s.drain_grace = milliseconds(settings.number("drain_grace_ms", {0, 60'000, "ms"}, 200));
    s.drain_timeout =
        milliseconds(settings.number("drain_timeout_ms", {100, 3'600'000, "ms"}, 30'000));
    constexpr std::int64_t usual_body_bytes = std::int64_t{8} << 20U;
    s.requests = net::read_request_settings(settings, usual_body_bytes);
    s.shards = read_shards(settings);
    return s;
}

} // namespace buckthornspar::server
