#include "core/store/log_format.h"

#include "core/common/error.h"

#include <array>
#include <charconv>
#include <vector>

namespace buckthornspar::store {

namespace {

constexpr std::string_view record_tag = "record";
constexpr std::string_view snapshot_tag = "snapshot";

/// The space-separated words of the header line, and the rest of the value.
struct header_and_body {
    std::vector<std::string_view> words;
    std::string_view body;
};

header_and_body split_header(std::string_view value, std::string_view tag, std::size_t word_count) {
    const auto line_end = value.find('\n');
    if (line_end == std::string_view::npos) {
        throw common::format_error("log value has no header line");
    }
    header_and_body result;
    result.body = value.substr(line_end + 1);
    std::string_view rest = value.substr(0, line_end);
    while (!rest.empty()) {
        const auto space = rest.find(' ');
        result.words.push_back(rest.substr(0, space));
        rest = space == std::string_view::npos ? std::string_view{} : rest.substr(space + 1);
    }
    if (result.words.size() != word_count || result.words.front() != tag) {
        throw common::format_error("log value is not a valid " + std::string(tag));
    }
    return result;
}

std::uint64_t parse_number(std::string_view word) {
    std::uint64_t number = 0;
    const char* const end = word.data() + word.size();
    const auto result = std::from_chars(word.data(), end, number);
    if (result.ec != std::errc{} || result.ptr != end) {
        throw common::format_error("field '" + std::string(word) +
                                   "' of a log header is not a number");
    }
    return number;
}

std::string join(std::string_view prefix, std::string_view rest) {
    std::string key(prefix);
    key += '/';
    key += rest;
    return key;
}

} // namespace

void check_writer_id(std::string_view writer) {
    if (writer.empty() || writer.find_first_of(" \t\r\n/") != std::string_view::npos) {
        throw common::usage_error("writer id '" + std::string(writer) +
                                  "' is empty or contains white space or a slash");
    }
}

std::string encode_record(const log_record& record) {
    std::string value(record_tag);
    value += ' ' + std::to_string(record.number) + ' ' + record.writer + ' ' +
             std::to_string(record.sequence) + '\n';
    value += record.body;
    return value;
}

log_record decode_record(std::string_view value) {
    const auto parts = split_header(value, record_tag, 4);
    log_record record;
    record.number = parse_number(parts.words[1]);
    record.writer = parts.words[2];
    record.sequence = parse_number(parts.words[3]);
    record.body = parts.body;
    return record;
}

std::string encode_snapshot(const log_snapshot& snapshot) {
    std::string value(snapshot_tag);
    value += ' ' + std::to_string(snapshot.last_included) + ' ' + snapshot.writer + ' ' +
             std::to_string(snapshot.sequence) + ' ' + std::to_string(snapshot.parts) + '\n';
    value += snapshot.body;
    return value;
}

log_snapshot decode_snapshot(std::string_view value) {
    const auto parts = split_header(value, snapshot_tag, 5);
    log_snapshot snapshot;
    snapshot.last_included = parse_number(parts.words[1]);
    snapshot.writer = parts.words[2];
    snapshot.sequence = parse_number(parts.words[3]);
    snapshot.parts = parse_number(parts.words[4]);
    snapshot.body = parts.body;
    return snapshot;
}

std::string slot_key(std::string_view prefix, std::uint64_t slot) {
    return join(prefix, "slot/" + std::to_string(slot));
}

std::string snapshot_key(std::string_view prefix) {
    return join(prefix, "snapshot");
}

std::string part_key(std::string_view prefix, const log_snapshot& snapshot, std::size_t part) {
    return join(prefix, "part/" + snapshot.writer + '/' + std::to_string(snapshot.sequence) + '/' +
                            std::to_string(part));
}

} // namespace buckthornspar::store
