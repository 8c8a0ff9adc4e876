#pragma once

#include <exception>
#include <stdexcept>
#include <string>
#include <string_view>

namespace buckthornspar::common {

/// Base class of all exceptions of the project. Each kind of failure has its own subclass.
class error : public std::runtime_error {
public:
    explicit error(const std::string& detail) : std::runtime_error(detail) {}

    /// Stable identifier of the kind of failure, as used in logs, metrics and error responses.
    [[nodiscard]] virtual std::string_view type() const noexcept = 0;
};

/// A malformed message or document.
class format_error : public error {
public:
    using error::error;
    [[nodiscard]] std::string_view type() const noexcept override { return "format_error"; }
};

/// Calls read, which parses a document with a library that reports missing or mistyped fields by
/// its own exceptions, and rethrows these as format_error with `what` as prefix. Exceptions of the
/// project pass through unchanged.
template <typename Read>
auto read_document(std::string_view what, Read read) {
    try {
        return read();
    } catch (const error&) {
        throw;
    } catch (const std::exception& e) {
        throw format_error(std::string(what) + ": " + e.what());
    }
}

/// A call that violates a documented precondition.
class usage_error : public error {
public:
    using error::error;
    [[nodiscard]] std::string_view type() const noexcept override { return "usage_error"; }
};

/// A name that is not in the name table of an enumeration or registry.
class unknown_name_error : public error {
public:
    unknown_name_error(std::string_view table, std::string_view name);
    [[nodiscard]] std::string_view type() const noexcept override { return "unknown_name"; }
};

} // namespace buckthornspar::common
