#include "core/net/http_message.h"

#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>

#include <cctype>
#include <cstdlib>

namespace buckthornspar::net {

namespace {

int hex_digit(char c) {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percent_decode(std::string_view text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escape = text[i] == '%' && i + 2 < text.size() && hex_digit(text[i + 1]) >= 0 &&
                            hex_digit(text[i + 2]) >= 0;
        if (!escape) {
            decoded.push_back(text[i]);
            continue;
        }
        decoded.push_back(static_cast<char>(hex_digit(text[i + 1]) * 16 + hex_digit(text[i + 2])));
        i += 2;
    }
    return decoded;
}

} // namespace

void http_fields::set(std::string_view name, std::string_view value) {
    for (auto& [existing, old_value] : m_fields) {
        if (boost::beast::iequals(existing, name)) {
            old_value = std::string(value);
            return;
        }
    }
    m_fields.emplace_back(name, value);
}

std::optional<std::string_view> http_fields::find(std::string_view name) const {
    for (const auto& [existing, value] : m_fields) {
        if (boost::beast::iequals(existing, name)) {
            return value;
        }
    }
    return std::nullopt;
}

std::string_view http_fields::get(std::string_view name, std::string_view fallback) const {
    return find(name).value_or(fallback);
}

std::string_view http_request::path() const {
    const std::string_view full_target(target);
    return full_target.substr(0, full_target.find('?'));
}

std::optional<std::string> http_request::query(std::string_view name) const {
    const std::string_view full_target(target);
    const auto query_start = full_target.find('?');
    if (query_start == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view rest = full_target.substr(query_start + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) != name) {
            continue;
        }
        return equals == std::string_view::npos ? std::string{}
                                                : percent_decode(pair.substr(equals + 1));
    }
    return std::nullopt;
}

http_request json_post(std::string target, std::string body) {
    http_request request;
    request.method = http_method::post;
    request.target = std::move(target);
    request.fields.set("Content-Type", "application/json");
    request.body = std::move(body);
    return request;
}

http_response json_response(unsigned status, std::string body) {
    http_response response;
    response.status = status;
    response.fields.set("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

http_response error_response(unsigned status, std::string_view type, std::string_view detail,
                             std::string_view field) {
    boost::json::object error{{"type", type}, {"detail", detail}};
    if (!field.empty()) {
        error["field"] = field;
    }
    return json_response(status, boost::json::serialize(boost::json::object{{"error", error}}));
}

std::vector<std::string> path_segments(std::string_view path) {
    std::vector<std::string> segments;
    std::size_t start = 1;
    while (start <= path.size() && !path.empty()) {
        const auto end = path.find('/', start);
        const auto length = end == std::string_view::npos ? path.size() - start : end - start;
        segments.push_back(percent_decode(path.substr(start, length)));
        if (end == std::string_view::npos) {
            break;
        }
        start = end + 1;
    }
    return segments;
}

std::string percent_encode(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            encoded.push_back(c);
            continue;
        }
        encoded.push_back('%');
        encoded.push_back(digits[byte >> 4U]);
        encoded.push_back(digits[byte & 15U]);
    }
    return encoded;
}

} // namespace buckthornspar::net
