//! Numbers of JSON objects from other writers, as integers.
//!
//! The JSON library casts a number of any size, which is undefined for one with a fraction or an
//! exponent that the integer can't hold, and wraps the others.
#pragma once

#include "types/numeric.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace cyclamenmount {

//! The number as T; the nearest one that T can hold. Throws nlohmann::json::type_error if the value
//! is no number.
template <std::integral T>
T nearest_integer(const nlohmann::json& number) {
    using limits = std::numeric_limits<T>;
    if (number.is_number_float()) {
        return truncate_to<T>(number.get<double>());
    }
    if (number.is_number_unsigned()) {
        const auto value = number.get<std::uint64_t>();
        return std::cmp_greater(value, limits::max()) ? limits::max() : static_cast<T>(value);
    }
    if (number.is_number_integer()) {
        const auto value = number.get<std::int64_t>();
        if (std::cmp_less(value, limits::min())) {
            return limits::min();
        }
        return std::cmp_greater(value, limits::max()) ? limits::max() : static_cast<T>(value);
    }
    return number.get<T>();
}

//! The member as T, the nearest one that T can hold; `otherwise` if the object has no such member.
//! Throws nlohmann::json::type_error like nlohmann::json::value.
template <std::integral T>
T integer_member(const nlohmann::json& object, const char* name, T otherwise) {
    return object.contains(name) ? nearest_integer<T>(object.at(name))
                                 : object.value(name, otherwise);
}

}  // namespace cyclamenmount
