#include "process/region_links.h"

#include "process/http_caller.h"

#include <boost/json.hpp>

#include <stdexcept>

namespace buckthornspar::process_test {

namespace json = boost::json;

namespace {

call_result require_ok(call_result result) {
    if (result.status != 200) {
        throw std::runtime_error("control call to the link stand-in failed: " + result.body +
                                 result.failure);
    }
    return result;
}

} // namespace

net::endpoint region_links::relay(const std::string& from, const std::string& to,
                                  const net::endpoint& target) {
    const auto [position, is_new] = m_relays.try_emplace({from, to, target});
    if (is_new) {
        const json::object body{{"from", from}, {"to", to}, {"target", net::to_string(target)}};
        const auto result = require_ok(m_http.post(m_admin, "/v1/relays", json::serialize(body)));
        position->second = net::parse_endpoint(result.text("address"));
    }
    return position->second;
}

void region_links::set_state(const std::string& state, const std::string& region) {
    const json::object body{{"state", state}, {"region", region}};
    require_ok(m_http.post(m_admin, "/v1/state", json::serialize(body)));
}

link_bytes region_links::bytes(const net::endpoint& store) {
    const auto result = require_ok(m_http.get(m_admin, "/v1/relays"));
    link_bytes sum;
    const json::value document = result.json();
    for (const auto& relay : document.at("relays").as_array()) {
        const std::int64_t forwarded =
            relay.at("bytes_forward").as_int64() + relay.at("bytes_back").as_int64();
        const bool is_store = relay.at("target").as_string() == net::to_string(store);
        (is_store ? sum.to_store : sum.between_processes) += forwarded;
    }
    return sum;
}

} // namespace buckthornspar::process_test
