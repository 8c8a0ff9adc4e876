#include "core/store/consul_format.h"

#include "core/common/error.h"

#include <boost/json.hpp>

#include <array>
#include <chrono>

namespace buckthornspar::store {

namespace {

constexpr std::string_view base64_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::uint8_t invalid_digit = 0xff;

constexpr std::array<std::uint8_t, 256> make_digit_values() {
    std::array<std::uint8_t, 256> values{};
    values.fill(invalid_digit);
    for (std::size_t i = 0; i < base64_digits.size(); ++i) {
        values.at(static_cast<unsigned char>(base64_digits[i])) = static_cast<std::uint8_t>(i);
    }
    return values;
}

constexpr auto digit_values = make_digit_values();

std::string encode_key(std::string_view key) {
    std::string path = "/v1/kv";
    std::size_t start = 0;
    while (start <= key.size()) {
        const auto end = std::min(key.find('/', start), key.size());
        path += '/' + net::percent_encode(key.substr(start, end - start));
        start = end + 1;
    }
    return path;
}

std::string query_string(const kv_request& request) {
    switch (request.operation) {
    case kv_operation::get:
        return "";
    case kv_operation::list:
        return "?recurse=true";
    case kv_operation::watch: {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(request.max_wait);
        return "?index=" + std::to_string(request.known_index) +
               "&wait=" + std::to_string(wait.count()) + "ms";
    }
    case kv_operation::put_if:
    case kv_operation::delete_if:
        return "?cas=" + std::to_string(request.expected_index);
    }
    return "";
}

net::http_method http_method_for(kv_operation operation) {
    switch (operation) {
    case kv_operation::put_if:
        return net::http_method::put;
    case kv_operation::delete_if:
        return net::http_method::del;
    default:
        return net::http_method::get;
    }
}

kv_entry read_entry(const boost::json::value& value) {
    const auto& object = value.as_object();
    kv_entry entry;
    entry.key = std::string(object.at("Key").as_string());
    entry.modify_index = object.at("ModifyIndex").to_number<std::uint64_t>();
    // The Consul API encodes an empty value as null.
    if (object.at("Value").is_string()) {
        entry.value = decode_base64(object.at("Value").as_string());
    }
    return entry;
}

} // namespace

net::http_request to_consul_request(const kv_request& request) {
    net::http_request http;
    http.method = http_method_for(request.operation);
    http.target = encode_key(request.key) + query_string(request);
    http.body = request.value;
    return http;
}

std::vector<kv_entry> read_consul_entries(std::string_view body) {
    try {
        const boost::json::value document = boost::json::parse(body);
        std::vector<kv_entry> entries;
        for (const auto& item : document.as_array()) {
            entries.push_back(read_entry(item));
        }
        return entries;
    } catch (const common::error&) {
        throw;
    } catch (const std::exception& e) {
        // Boost.JSON throws system_error and standard exceptions for type and range errors.
        throw common::format_error(std::string("malformed store response: ") + e.what());
    }
}

std::string decode_base64(std::string_view text) {
    const auto padding = text.find('=');
    const std::string_view digits = text.substr(0, padding);
    if (text.size() % 4 != 0 || text.size() - digits.size() > 2) {
        throw common::format_error("invalid base64 text of length " + std::to_string(text.size()));
    }
    std::string decoded;
    decoded.reserve(digits.size() * 3 / 4);
    std::uint32_t bits = 0;
    unsigned bit_count = 0;
    for (const char c : digits) {
        const std::uint8_t value = digit_values.at(static_cast<unsigned char>(c));
        if (value == invalid_digit) {
            throw common::format_error("invalid character in base64 text");
        }
        bits = (bits << 6U) | value;
        bit_count += 6;
        if (bit_count >= 8) {
            bit_count -= 8;
            decoded.push_back(static_cast<char>((bits >> bit_count) & 0xffU));
        }
    }
    return decoded;
}

} // namespace buckthornspar::store
