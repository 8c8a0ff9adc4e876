#pragma once

namespace buckthornspar::common {

/// Combines lambdas into one visitor for std::visit.
template <typename... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
// C++20 does not require this deduction guide, but the compiler front end of the linter does.
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace buckthornspar::common
