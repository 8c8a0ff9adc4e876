#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornspar::net {

enum class http_method { get, post, put, del };

/// Header fields in message order. Names are case-insensitive.
class http_fields {
public:
    void set(std::string_view name, std::string_view value);
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
    [[nodiscard]] std::string_view get(std::string_view name, std::string_view fallback = "") const;
    [[nodiscard]] const auto& all() const { return m_fields; }

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

struct http_request {
    http_method method = http_method::get;
    /// Path and query, for example "/v1/kv/a?cas=0".
    std::string target;
    http_fields fields;
    std::string body;

    [[nodiscard]] std::string_view path() const;
    /// Percent-decoded value of a query parameter.
    [[nodiscard]] std::optional<std::string> query(std::string_view name) const;
};

struct http_response {
    unsigned status = 200;
    http_fields fields;
    std::string body;
};

/// Response with a JSON body.
[[nodiscard]] http_response json_response(unsigned status, std::string body);

/// POST with a JSON body.
[[nodiscard]] http_request json_post(std::string target, std::string body);

/// Response with the JSON body {"error":{"type","detail","field"}}; an empty field is omitted.
[[nodiscard]] http_response error_response(unsigned status, std::string_view type,
                                           std::string_view detail, std::string_view field = "");

/// Splits a path into its percent-decoded segments: "/v1/jobs/a%2Fb" gives v1, jobs, a/b.
[[nodiscard]] std::vector<std::string> path_segments(std::string_view path);

/// Percent-encodes one path segment.
[[nodiscard]] std::string percent_encode(std::string_view text);

} // namespace buckthornspar::net
