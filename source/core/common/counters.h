#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace buckthornspar::common {

/// One value of the metrics endpoint: a monotonic counter or a gauge. Thread-safe.
class metric {
public:
    void add(std::int64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    [[nodiscard]] std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value{0};
};

/// Registry of all metrics of a process. Names follow the Prometheus conventions: counter names end
/// in _total, and units are part of the name. Thread-safe.
class counters {
public:
    /// Finds or creates a metric. The reference stays valid for the lifetime of the registry.
    [[nodiscard]] metric& get(std::string_view name);

    /// Finds or creates a metric with one label, for example
    /// get("refusals_total", "reason", "queue_full").
    [[nodiscard]] metric& get(std::string_view name, std::string_view label,
                              std::string_view value);

    /// Removes a metric with one label. References to it become invalid, so that only metrics are
    /// removed that nobody keeps a reference to.
    void remove(std::string_view name, std::string_view label, std::string_view value);

    /// Renders all metrics in the Prometheus text format, sorted by name.
    [[nodiscard]] std::string render() const;

private:
    metric& find_or_create(std::string key);

    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<metric>> m_metrics;
};

} // namespace buckthornspar::common
