#pragma once

namespace buckthornspar::common {

/// Combines lambdas into one visitor for std::visit.
template <typename... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
// Not needed by C++20, but by the compiler behind the linter.
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace buckthornspar::common
