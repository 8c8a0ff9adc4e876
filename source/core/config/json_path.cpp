#include "core/config/json_path.h"

#include <boost/json.hpp>

#include <algorithm>

namespace buckthornspar::config {

namespace json = boost::json;

std::vector<std::string> split_path(std::string_view path) {
    std::vector<std::string> names;
    std::size_t start = 0;
    while (start <= path.size()) {
        const auto end = std::min(path.find('/', start), path.size());
        names.emplace_back(path.substr(start, end - start));
        start = end + 1;
    }
    return names;
}

const json::value* find_path(const json::value& document, std::string_view path) {
    const json::value* at = &document;
    for (const auto& name : split_path(path)) {
        const json::object* const object = at->if_object();
        at = object == nullptr ? nullptr : object->if_contains(name);
        if (at == nullptr) {
            return nullptr;
        }
    }
    return at;
}

bool set_path(json::value& document, std::string_view path, json::value value) {
    json::value* at = &document;
    for (const auto& name : split_path(path)) {
        json::object* const object = at->if_object();
        if (object == nullptr) {
            return false;
        }
        at = &object->emplace(name, json::object{}).first->value();
    }
    *at = std::move(value);
    return true;
}

bool remove_path(json::value& document, std::string_view path) {
    json::value* at = &document;
    const auto names = split_path(path);
    for (std::size_t i = 0; i + 1 < names.size(); ++i) {
        json::object* const object = at->if_object();
        at = object == nullptr ? nullptr : object->if_contains(names[i]);
        if (at == nullptr) {
            return false;
        }
    }
    json::object* const parent = at->if_object();
    return parent != nullptr && parent->erase(names.back()) == 1;
}

} // namespace buckthornspar::config
