#include "programs/buckthornsparctl/answer.h"

#include <boost/json.hpp>

#include <iostream>

namespace buckthornspar::ctl {

namespace json = boost::json;

namespace {

constexpr unsigned first_error_status = 400;

void print_value(const std::string& path, const json::value& value) {
    if (const auto* const object = value.if_object()) {
        for (const auto& [key, member] : *object) {
            print_value(path.empty() ? std::string(key) : path + "." + std::string(key), member);
        }
        return;
    }
    if (const auto* const array = value.if_array()) {
        for (std::size_t i = 0; i < array->size(); ++i) {
            print_value(path + "[" + std::to_string(i) + "]", (*array)[i]);
        }
        return;
    }
    const auto* const text = value.if_string();
    std::cout << path << ": " << (text != nullptr ? std::string(*text) : json::serialize(value))
              << "\n";
}

// A service may return any body; only JSON objects and arrays are printed line by line.
void print_body(const std::string& body) {
    boost::system::error_code failure;
    const json::value value = json::parse(body, failure);
    if (!failure && (value.is_object() || value.is_array())) {
        print_value("", value);
        return;
    }
    std::cout << body << "\n";
}

void print_failure(const net::http_response& response) {
    boost::system::error_code failure;
    const json::value value = json::parse(response.body, failure);
    std::cerr << "refused with status " << response.status;
    const auto* const object = failure ? nullptr : value.if_object();
    if (object == nullptr) {
        std::cerr << "\n";
        return;
    }
    std::cerr << ": " << json::serialize(value) << "\n";
}

result_code result_code_of(const net::http_response& response) {
    const auto outcome = response.fields.get("X-Outcome");
    if (outcome == "unknown") {
        return result_code::outcome_unknown;
    }
    if (outcome == "not_run") {
        return result_code::not_run;
    }
    return response.status >= first_error_status ? result_code::refused : result_code::done;
}

// A repeated call with the same id does not do its work twice.
void print_repeat_hint(const ctl_call& call) {
    std::cerr << "the outcome is unknown";
    if (!call.id.empty()) {
        std::cerr << "; repeat with --id " << call.id;
    }
    std::cerr << "\n";
}

result_code print_response(const net::http_response& response, bool as_json) {
    const auto code = result_code_of(response);
    if (as_json) {
        std::cout << response.body << "\n";
    } else if (code == result_code::done) {
        print_body(response.body);
    } else {
        print_failure(response);
    }
    return code;
}

} // namespace

result_code print_answer(const ctl_call& call, const net::http_result& result, bool as_json) {
    if (const auto* const response = std::get_if<net::http_response>(&result)) {
        const auto code = print_response(*response, as_json);
        if (code == result_code::outcome_unknown) {
            print_repeat_hint(call);
        }
        return code;
    }
    const auto& failure = std::get<net::http_failure>(result);
    std::cerr << "no answer: " << to_string(failure.kind) << "\n";
    if (call.request.method == net::http_method::get || !failure.request_sent) {
        return result_code::unreachable;
    }
    print_repeat_hint(call);
    return result_code::outcome_unknown;
}

} // namespace buckthornspar::ctl
