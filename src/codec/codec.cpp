//! Peer messages as MessagePack.
#include "codec/codec.h"

#include "codec/internal/field_names.h"
#include "codec/internal/json_messages.h"
#include "codec/internal/json_variant.h"

#include <cmath>

namespace cyclamenmount {

namespace {

constexpr int max_depth = 16;  // containers inside each other

constexpr detail::kind_names<peer_message> message_kinds = {"ping",
                                                            "pong",
                                                            "roster_notice",
                                                            "document_request",
                                                            "document_notice",
                                                            "emergency_notice",
                                                            "cold_notice",
                                                            "report_notice",
                                                            "slot_request",
                                                            "slot_reply",
                                                            "slot_release",
                                                            "holdings_request",
                                                            "holdings_reply",
                                                            "cancel_notice",
                                                            "share_report",
                                                            "share_grant",
                                                            "permit_request",
                                                            "permit_reply",
                                                            "permit_return",
                                                            "permit_outcome",
                                                            "claim_request",
                                                            "claim_reply",
                                                            "claim_progress",
                                                            "claim_end",
                                                            "suspects_notice",
                                                            "trial_request",
                                                            "trial_reply",
                                                            "trial_end",
                                                            "pieces_request",
                                                            "pieces_cancel",
                                                            "pieces_release",
                                                            "pieces_reply",
                                                            "news_request",
                                                            "news_reply"};

//! Follows the parser without keeping anything; stops it at inputs nested too deeply, on which the
//! library's recursive parser would use up the stack.
struct depth_check {
    int depth{0};

    bool null() {
        return true;
    }

    bool boolean(bool /*value*/) {
        return true;
    }

    bool number_integer(std::int64_t /*value*/) {
        return true;
    }

    bool number_unsigned(std::uint64_t /*value*/) {
        return true;
    }

    bool number_float(double /*value*/, const std::string& /*text*/) {
        return true;
    }

    bool string(std::string& /*value*/) {
        return true;
    }

    bool binary(nlohmann::json::binary_t& /*value*/) {
        return false;
    }

    bool start_object(std::size_t /*size*/) {
        return ++depth <= max_depth;
    }

    bool end_object() {
        --depth;
        return true;
    }

    bool start_array(std::size_t /*size*/) {
        return ++depth <= max_depth;
    }

    bool end_array() {
        --depth;
        return true;
    }

    bool key(std::string& /*value*/) {
        return true;
    }

    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::json::exception& /*fault*/) {
        return false;
    }
};

bool is_well_formed(std::string_view bytes) {
    depth_check check;
    return nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &check,
                                     nlohmann::json::input_format_t::msgpack);
}

error invalid(std::string text) {
    return {error_kind::invalid, std::move(text)};
}

bool confirms_object(const nlohmann::json& given, const nlohmann::json& understood) {
    for (const auto& [name, value] : understood.items()) {
        const auto found = given.find(name);
        if (found == given.end() || !detail::confirms(*found, value)) {
            return false;
        }
    }
    return true;
}

bool confirms_array(const nlohmann::json& given, const nlohmann::json& understood) {
    if (given.size() != understood.size()) {
        return false;
    }
    for (std::size_t i = 0; i < given.size(); ++i) {
        if (!detail::confirms(given[i], understood[i])) {
            return false;
        }
    }
    return true;
}

bool is_negative(const nlohmann::json& number) {
    return !number.is_number_unsigned() && number.get<std::int64_t>() < 0;
}

bool confirms_integer(const nlohmann::json& given, const nlohmann::json& understood) {
    return given.is_number_integer() && is_negative(given) == is_negative(understood) &&
           given == understood;
}

}  // namespace

namespace detail {

bool confirms(const nlohmann::json& given, const nlohmann::json& understood) {
    if (understood.is_object()) {
        return given.is_object() && confirms_object(given, understood);
    }
    if (understood.is_array()) {
        return given.is_array() && confirms_array(given, understood);
    }
    if (understood.is_number_float()) {
        return given.is_number() && std::isfinite(understood.get<double>());
    }
    if (understood.is_number()) {
        return confirms_integer(given, understood);
    }
    return given == understood;
}

}  // namespace detail

void to_json(nlohmann::json& out, const peer_message& message) {
    out = detail::variant_to_json(message, message_kinds);
}

void from_json(const nlohmann::json& in, peer_message& message) {
    message = detail::variant_from_json<peer_message>(in, message_kinds);
}

std::string encode_message(const peer_message& message) {
    nlohmann::json value;
    to_json(value, message);
    std::string bytes;
    nlohmann::json::to_msgpack(detail::with_short_names(value), bytes);
    return bytes;
}

result<peer_message> decode_message(std::string_view bytes) {
    if (bytes.size() > max_message_bytes) {
        return invalid("message over the size limit");
    }
    try {
        if (!is_well_formed(bytes)) {
            return invalid("not one well-formed MessagePack value");
        }
        const auto given =
            detail::with_full_names(nlohmann::json::from_msgpack(bytes.begin(), bytes.end()));
        peer_message message;
        from_json(given, message);
        nlohmann::json understood;
        to_json(understood, message);
        if (!detail::confirms(given, understood)) {
            return invalid("field of the wrong type or out of range");
        }
        return message;
    } catch (const std::exception& fault) {
        return invalid(fault.what());
    }
}

}  // namespace cyclamenmount
