#include "config_responses.h"

#include <boost/json.hpp>

#include <algorithm>
#include <string>

namespace buckthornspar::config_server {

namespace json = boost::json;
using config::patch_status;

namespace {

unsigned status_code(patch_status status) {
    switch (status) {
    case patch_status::accepted:
        return 201;
    case patch_status::valid:
        return 200;
    case patch_status::invalid:
        return 400;
    case patch_status::version_conflict:
    case patch_status::unknown_version:
    case patch_status::id_reused:
    case patch_status::undo_conflict:
        return 409;
    case patch_status::queue_full:
    case patch_status::store_unavailable:
    case patch_status::outcome_unknown:
        return 503;
    }
    return 500;
}

std::string detail_of(const config::patch_result& result) {
    switch (result.status) {
    case patch_status::version_conflict:
        return "another version is in force; nothing was changed";
    case patch_status::unknown_version:
        return "the version is unknown or no longer kept; nothing was changed";
    case patch_status::id_reused:
        return "a different patch with this id was accepted; nothing was changed";
    case patch_status::undo_conflict:
        return "later versions changed the same fields; nothing was changed";
    case patch_status::queue_full:
        return "too many patches are queued; nothing was changed";
    case patch_status::store_unavailable:
        return "the store did not respond in time; this submission changed nothing";
    case patch_status::outcome_unknown:
        return "the patch may still be accepted; submit it again with the same id";
    default:
        return result.detail;
    }
}

net::http_response error_response_of(const config::patch_result& result) {
    const bool invalid = result.status == patch_status::invalid;
    json::object error{
        {"type", invalid ? std::string_view(result.error_type) : config::to_string(result.status)},
        {"detail", detail_of(result)},
        {"version_in_force", result.version}};
    if (!result.field.empty()) {
        error["field"] = result.field;
    }
    if (result.status == patch_status::version_conflict ||
        result.status == patch_status::undo_conflict) {
        error["clashing_fields"] = json::array(result.fields.begin(), result.fields.end());
    }
    return net::json_response(status_code(result.status),
                              json::serialize(json::object{{"error", std::move(error)}}));
}

/// The stored JSON of a patch without its reverse changes.
json::object patch_object(const config::accepted_patch& p) {
    json::object object = json::parse(config::to_json(p)).as_object();
    object.erase("reverse");
    return object;
}

json::value json_or_null(const std::string& text) {
    return text.empty() ? json::value(nullptr) : json::parse(text);
}

json::array diff_array(const config::configuration& before, const config::configuration& after) {
    json::array array;
    for (const auto& d : config::diff(before, after)) {
        array.push_back(json::object{{"path", d.path},
                                     {"before", json_or_null(d.before)},
                                     {"after", json_or_null(d.after)}});
    }
    return array;
}

} // namespace

net::http_response patch_response(const config::patch_result& result) {
    const bool success =
        result.status == patch_status::accepted || result.status == patch_status::valid;
    if (success) {
        const json::object body{{"status", config::to_string(result.status)},
                                {"version", result.version}};
        return net::json_response(status_code(result.status), json::serialize(body));
    }
    net::http_response response = error_response_of(result);
    if (result.status == patch_status::outcome_unknown) {
        response.fields.set("X-Outcome", "unknown");
    }
    return response;
}

net::http_response versions_response(const config::config_history& history, std::uint64_t before,
                                     std::size_t limit) {
    json::array versions;
    const auto& patches = history.patches();
    for (auto p = patches.rbegin(); p != patches.rend() && versions.size() < limit; ++p) {
        if (p->version < before) {
            versions.push_back(patch_object(*p));
        }
    }
    const json::object body{{"version_in_force", history.version()},
                            {"versions", std::move(versions)}};
    return net::json_response(200, json::serialize(body));
}

net::http_response version_response(const config::config_history& history, std::uint64_t version) {
    const auto* const patch = history.find_version(version);
    const auto document = history.at(version);
    if (patch == nullptr || !document) {
        return net::error_response(404, "unknown_version",
                                   "the version does not exist or is no longer kept");
    }
    json::object body = patch_object(*patch);
    if (const auto before = history.at(version - 1)) {
        body["diff"] = diff_array(*before, *document);
    }
    body["document"] = json::parse(config::to_json(*document));
    return net::json_response(200, json::serialize(body));
}

net::http_response in_force_response(std::uint64_t version, const config::configuration& in_force) {
    if (version == 0) {
        return net::error_response(503, "no_version", "no configuration version is known yet");
    }
    const json::object body{{"version", version},
                            {"document", json::parse(config::to_json(in_force))}};
    return net::json_response(200, json::serialize(body));
}

} // namespace buckthornspar::config_server
