//! Helper for std::visit.
#pragma once

namespace cyclamenmount {

//! Combines lambdas into one overloaded visitor.
template <typename... Callables>
struct overloaded : Callables... {
    using Callables::operator()...;
};

template <typename... Callables>
overloaded(Callables...) -> overloaded<Callables...>;

}  // namespace cyclamenmount
