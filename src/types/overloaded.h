//! Helper for std::visit.
#pragma once

namespace cyclamenmount {

//! Merges lambdas into one visitor.
template <typename... Callables>
struct overloaded : Callables... {
    using Callables::operator()...;
};

template <typename... Callables>
overloaded(Callables...) -> overloaded<Callables...>;

}  // namespace cyclamenmount
