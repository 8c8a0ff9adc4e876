#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornspar::store {

/// One record of a sequenced log. writer and sequence identify the append that created it.
struct log_record {
    std::uint64_t number = 0;
    std::string writer;
    std::uint64_t sequence = 0;
    std::string body;

    bool operator==(const log_record&) const = default;
};

/// Value of the snapshot key. If parts is 0, the body follows the header; otherwise it is the
/// concatenation of the values of the part keys 0 to parts - 1.
struct log_snapshot {
    /// Number of the newest record that the snapshot includes.
    std::uint64_t last_included = 0;
    std::string writer;
    std::uint64_t sequence = 0;
    std::size_t parts = 0;
    std::string body;
};

/// Maximum body size of one value. The store accepts 1 MB, which must also hold headers and
/// encoding overhead.
constexpr std::size_t max_log_value_bytes = 524'288;

/// Throws common::usage_error when the writer id is empty or contains white space or a slash.
void check_writer_id(std::string_view writer);

[[nodiscard]] std::string encode_record(const log_record& record);
/// Throws common::format_error.
[[nodiscard]] log_record decode_record(std::string_view value);

[[nodiscard]] std::string encode_snapshot(const log_snapshot& snapshot);
/// Throws common::format_error.
[[nodiscard]] log_snapshot decode_snapshot(std::string_view value);

/// Keys of a log; the slot and snapshot keys are shared by all writers of a prefix.
[[nodiscard]] std::string slot_key(std::string_view prefix, std::uint64_t slot);
[[nodiscard]] std::string snapshot_key(std::string_view prefix);
/// Part keys are never reused, because they contain the writer and sequence of the snapshot.
[[nodiscard]] std::string part_key(std::string_view prefix, const log_snapshot& snapshot,
                                   std::size_t part);

} // namespace buckthornspar::store
