//! JSON conversion of variants: the fields of the alternative, and its name in the field `kind`.
#pragma once

#include <array>
#include <stdexcept>
#include <string_view>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

//! Names of a variant's alternatives, in their order.
template <typename Variant>
using kind_names = std::array<std::string_view, std::variant_size_v<Variant>>;

template <typename Variant>
nlohmann::json variant_to_json(const Variant& value, const kind_names<Variant>& names) {
    nlohmann::json out =
        std::visit([](const auto& alternative) { return nlohmann::json(alternative); }, value);
    out["kind"] = names.at(value.index());
    return out;
}

template <typename Variant, std::size_t Index>
bool read_alternative(const nlohmann::json& in, std::string_view kind,
                      const kind_names<Variant>& names, Variant& out) {
    if (names.at(Index) != kind) {
        return false;
    }
    out = in.get<std::variant_alternative_t<Index, Variant>>();
    return true;
}

//! Throws an exception derived from `std::exception` on invalid input, which callers in the codec
//! catch.
template <typename Variant>
Variant variant_from_json(const nlohmann::json& in, const kind_names<Variant>& names) {
    Variant out;
    const auto kind = in.at("kind").get<std::string>();
    const bool known = [&]<std::size_t... Indices>(std::index_sequence<Indices...>) {
        return (read_alternative<Variant, Indices>(in, kind, names, out) || ...);
    }
    (std::make_index_sequence<std::variant_size_v<Variant>>{});
    if (!known) {
        throw std::invalid_argument("unknown kind");
    }
    return out;
}

//! Checks a decoded value by its re-encoding: true if the fields of `input` that `reencoded` has
//! are of the same type and value. Floating-point numbers only have to be finite numbers. Detects
//! numbers that were silently converted or truncated and unknown enumerators. Ignores additional
//! fields of the input.
bool matches_reencoded(const nlohmann::json& input, const nlohmann::json& reencoded);

}  // namespace cyclamenmount::detail
