#pragma once

#include <string>
#include <string_view>

namespace buckthornspar::service {

/// Keys of the service in the shared store. The keys that the owner must track without delay share
/// one prefix, so that a single watch delivers their changes in revision order: an owner sees the
/// end of its ownership before any job that was accepted later.
inline constexpr std::string_view active_prefix = "bts/a/";
inline constexpr std::string_view owner_key = "bts/a/owner";
inline constexpr std::string_view job_prefix = "bts/a/j/";
inline constexpr std::string_view cancel_prefix = "bts/a/c/";
inline constexpr std::string_view progress_prefix = "bts/p/";
/// Written by each commit of the owner and expected unchanged by the next one, so that a commit
/// that reaches the store late has no effect.
inline constexpr std::string_view sequence_key = "bts/sequence";
inline constexpr std::string_view workers_key = "bts/workers";

[[nodiscard]] inline std::string job_key(const std::string& id) {
    return std::string(job_prefix) + id;
}
[[nodiscard]] inline std::string cancel_key(const std::string& id) {
    return std::string(cancel_prefix) + id;
}
[[nodiscard]] inline std::string progress_key(const std::string& id) {
    return std::string(progress_prefix) + id;
}

} // namespace buckthornspar::service
