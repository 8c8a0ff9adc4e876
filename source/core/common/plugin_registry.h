#pragma once

#include "core/common/error.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornspar::common {

/// Registry of the implementations of Interface, which are selected by name in the settings. Args
/// are the argument types of all factories.
template <typename Interface, typename... Args>
class plugin_registry {
public:
    using factory = std::function<std::unique_ptr<Interface>(Args...)>;

    static plugin_registry& instance() {
        static plugin_registry registry;
        return registry;
    }

    /// Throws usage_error if the name is already registered.
    void add(std::string name, factory make) {
        const auto [position, inserted] = m_factories.emplace(std::move(name), std::move(make));
        if (!inserted) {
            throw usage_error("plug-in '" + position->first + "' is registered twice");
        }
    }

    /// Creates an instance. Throws unknown_name_error if no plug-in has this name.
    [[nodiscard]] std::unique_ptr<Interface> make(const std::string& name, Args... args) const {
        const auto position = m_factories.find(name);
        if (position == m_factories.end()) {
            throw unknown_name_error("plug-in", name);
        }
        return position->second(std::forward<Args>(args)...);
    }

    [[nodiscard]] std::vector<std::string> names() const {
        std::vector<std::string> names;
        for (const auto& [name, make] : m_factories) {
            names.push_back(name);
        }
        return names;
    }

private:
    std::map<std::string, factory> m_factories;
};

/// Registers a plug-in for the lifetime of the program. Define an object of this type in an
/// anonymous namespace of the plug-in's source file.
template <typename Interface, typename... Args>
class plugin_registration {
public:
    plugin_registration(std::string name,
                        typename plugin_registry<Interface, Args...>::factory make) {
        plugin_registry<Interface, Args...>::instance().add(std::move(name), std::move(make));
    }
};

} // namespace buckthornspar::common
