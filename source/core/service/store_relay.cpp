#include "core/service/store_relay.h"

#include "core/common/logging.h"

#include <boost/json.hpp>

#include <utility>

namespace buckthornspar::service {

using namespace dispatch;
namespace json = boost::json;

namespace {

// Covers a commit at the store and the round trip to the other node.
constexpr auto relay_timeout = std::chrono::milliseconds(800);

json::object write_item(const store_item& item) {
    return {{"key", item.key}, {"value", item.value}, {"revision", item.revision}};
}

std::string write_result(const store_result& result) {
    json::array items;
    for (const auto& item : result.items) {
        items.push_back(write_item(item));
    }
    return json::serialize(json::object{{"status", static_cast<int>(result.status)},
                                        {"revision", result.revision},
                                        {"items", std::move(items)}});
}

store_result read_result(const std::string& body) {
    const auto value = json::parse(body);
    const auto& object = value.as_object();
    store_result result;
    const auto status = object.at("status").to_number<int>();
    if (status < 0 || status > static_cast<int>(store_status::unknown)) {
        return result;
    }
    result.status = static_cast<store_status>(status);
    result.revision = object.at("revision").to_number<std::uint64_t>();
    for (const auto& row : object.at("items").as_array()) {
        const auto& fields = row.as_object();
        store_item item;
        item.key = json::value_to<std::string>(fields.at("key"));
        item.value = json::value_to<std::string>(fields.at("value"));
        item.revision = fields.at("revision").to_number<std::uint64_t>();
        result.items.push_back(std::move(item));
    }
    return result;
}

} // namespace

void store_relay::send(std::string body, store_completion complete) {
    const auto to = m_peer();
    if (!to) {
        complete({store_status::unavailable, {}, {}, false, 0, 0});
        return;
    }
    m_client.send(*to, net::json_post("/peer/store", std::move(body)), relay_timeout,
                  [this, to = *to, complete = std::move(complete)](net::http_result answer) {
                      store_result result;
                      if (const auto* const failure = std::get_if<net::http_failure>(&answer)) {
                          m_client.close_idle(to);
                          result.status = failure->request_sent ? store_status::unknown
                                                                : store_status::unavailable;
                          complete(std::move(result));
                          return;
                      }
                      try {
                          result = read_result(std::get<net::http_response>(answer).body);
                      } catch (const std::exception& e) {
                          common::log_event(common::severity::warning, "peer_answer_unreadable",
                                            {{"reason", e.what()}});
                          result = {};
                      }
                      complete(std::move(result));
                  });
}

void store_relay::read(const std::string& key, store_completion complete) {
    send(json::serialize(json::object{{"read", key}}), std::move(complete));
}

void store_relay::commit(const store_commit& change, store_completion complete) {
    json::array expect;
    for (const auto& row : change.expect) {
        expect.push_back(json::array{row.key, row.revision});
    }
    json::array put;
    for (const auto& row : change.put) {
        put.push_back(json::array{row.key, row.value});
    }
    send(json::serialize(json::object{{"expect", std::move(expect)},
                                      {"put", std::move(put)},
                                      {"remove", json::value_from(change.remove)}}),
         std::move(complete));
}

void store_relay::serve(const net::http_request& request, net::http_reply reply) {
    const auto value = json::parse(request.body);
    const auto& object = value.as_object();
    auto complete = [reply = std::move(reply)](const store_result& result) {
        reply(net::json_response(200, write_result(result)));
    };
    if (!m_health.usable()) {
        complete({store_status::unavailable, {}, {}, false, 0, 0});
        return;
    }
    if (const auto* const key = object.if_contains("read")) {
        m_store.read(json::value_to<std::string>(*key), std::move(complete));
        return;
    }
    store_commit change;
    for (const auto& row : object.at("expect").as_array()) {
        const auto& fields = row.as_array();
        change.expect.push_back(
            {json::value_to<std::string>(fields.at(0)), fields.at(1).to_number<std::uint64_t>()});
    }
    for (const auto& row : object.at("put").as_array()) {
        const auto& fields = row.as_array();
        change.put.push_back({json::value_to<std::string>(fields.at(0)),
                              json::value_to<std::string>(fields.at(1)), 0});
    }
    change.remove = json::value_to<std::vector<std::string>>(object.at("remove"));
    m_store.commit(change, std::move(complete));
}

} // namespace buckthornspar::service
