#pragma once

#include "core/common/name_table.h"
#include "core/customers/customer_settings.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace buckthornspar::customers {

/// Defects of a customer's entry. Entries with a defect that concerns a single key hold without
/// that key, the others are left out.
enum class customer_defect {
    unreadable,     ///< fields are missing or have the wrong type
    no_name,        ///< the entry is left out
    repeated_name,  ///< a later entry with the same name is left out
    negative_cap,   ///< the entry is left out
    invalid_weight, ///< negative or not a number; taken as 0
    empty_key,      ///< the key identifies nobody
    shared_key,     ///< several customers have the key, which identifies nobody
};
inline constexpr common::name_table<customer_defect, 7> customer_defect_names{
    "customer defect",
    {"unreadable", "no_name", "repeated_name", "negative_cap", "invalid_weight", "empty_key",
     "shared_key"}};

/// A defect with the name of its customer, which is empty when unknown.
struct customer_report {
    customer_defect defect = customer_defect::unreadable;
    std::string customer;
};

/// The customers of a configuration and their keys. A lookup takes constant time.
class customer_directory {
public:
    customer_directory() = default;
    /// Defective entries do not affect the others. unreadable is the number of entries that could
    /// not be decoded; they are reported along with the other defects.
    explicit customer_directory(std::vector<customer_settings> customers,
                                std::size_t unreadable = 0);

    /// Null when the key is unknown. The result is valid as long as the directory.
    [[nodiscard]] const customer_settings* find_by_key(std::string_view key) const;
    [[nodiscard]] const std::vector<customer_settings>& all() const { return m_customers; }
    [[nodiscard]] const std::vector<customer_report>& defects() const { return m_defects; }

private:
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const {
            return std::hash<std::string_view>{}(text);
        }
    };

    void add_keys();

    std::vector<customer_settings> m_customers;
    /// Position in m_customers by key; shared_key for a key of several customers.
    std::unordered_map<std::string, std::size_t, text_hash, std::equal_to<>> m_by_key;
    std::vector<customer_report> m_defects;
};

} // namespace buckthornspar::customers
