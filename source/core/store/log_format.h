#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornspar::store {

/// One record of a sequenced log. writer and sequence identify the append that made it.
struct log_record {
    std::uint64_t number = 0;
    std::string writer;
    std::uint64_t sequence = 0;
    std::string body;

    bool operator==(const log_record&) const = default;
};

/// Value of the snapshot key. With parts == 0 the body follows the header; otherwise the body is
/// the concatenation of the values of the part keys 0 .. parts-1.
struct log_snapshot {
    std::uint64_t covers = 0;
    std::string writer;
    std::uint64_t sequence = 0;
    std::size_t parts = 0;
    std::string body;
};

/// Largest body in one value. The store accepts 1 MB; the rest is room for headers and encoding.
constexpr std::size_t max_log_value_bytes = 524'288;

/// Throws common::usage_error when the writer id is empty or contains white space or a slash.
void check_writer_id(std::string_view writer);

[[nodiscard]] std::string encode_record(const log_record& record);
/// Throws common::format_error.
[[nodiscard]] log_record decode_record(std::string_view value);

[[nodiscard]] std::string encode_snapshot(const log_snapshot& snapshot);
/// Throws common::format_error.
[[nodiscard]] log_snapshot decode_snapshot(std::string_view value);

/// Keys of a log. They are the same for all writers of a prefix.
[[nodiscard]] std::string slot_key(std::string_view prefix, std::uint64_t slot);
[[nodiscard]] std::string snapshot_key(std::string_view prefix);
/// Part keys are never reused: writer and sequence of the snapshot are in the name.
[[nodiscard]] std::string part_key(std::string_view prefix, const log_snapshot& snapshot,
                                   std::size_t part);

} // namespace buckthornspar::store
