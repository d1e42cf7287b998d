//! JSON of a variant: the alternative's fields and its name as `kind`.
#pragma once

#include <array>
#include <stdexcept>
#include <string_view>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

template <typename Variant>
using kind_names = std::array<std::string_view, std::variant_size_v<Variant>>;

template <typename Variant>
nlohmann::json variant_to_json(const Variant& value, const kind_names<Variant>& names) {
    nlohmann::json out = std::visit([](const auto& one) { return nlohmann::json(one); }, value);
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

//! Throws `std::exception` of some kind on bad input; only for use inside the codec.
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

//! True if `given` says what `understood` says: every field with the same type and value. Finds
//! numbers that were silently converted or cut, unknown enumerators and numbers that aren't finite.
bool confirms(const nlohmann::json& given, const nlohmann::json& understood);

}  // namespace cyclamenmount::detail
