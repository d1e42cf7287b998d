//! Encodes and decodes peer messages as MessagePack.
#include "codec/codec.h"

#include "codec/internal/field_names.h"
#include "codec/internal/json_messages.h"
#include "codec/internal/json_variant.h"

#include <cmath>

namespace cyclamenmount {

namespace {

constexpr int max_depth = 16;  // nested arrays and objects

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
                                                            "news_reply",
                                                            "pieces_withdraw",
                                                            "upstream_limit_notice",
                                                            "origins_request",
                                                            "origins_reply",
                                                            "rollout_report",
                                                            "rollout_notice"};

//! SAX handler that rejects inputs nested too deeply, before the JSON library's recursive parser
//! could overflow the stack on them. Stores no values.
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
                     const nlohmann::json::exception& /*exception*/) {
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

//! A field that the input lacks is one that an earlier version doesn't send: decoding has failed
//! for the others.
bool object_matches(const nlohmann::json& input, const nlohmann::json& reencoded) {
    for (const auto& [name, value] : reencoded.items()) {
        const auto found = input.find(name);
        if (found != input.end() && !detail::matches_reencoded(*found, value)) {
            return false;
        }
    }
    return true;
}

bool array_matches(const nlohmann::json& input, const nlohmann::json& reencoded) {
    if (input.size() != reencoded.size()) {
        return false;
    }
    for (std::size_t i = 0; i < input.size(); ++i) {
        if (!detail::matches_reencoded(input[i], reencoded[i])) {
            return false;
        }
    }
    return true;
}

bool is_negative(const nlohmann::json& number) {
    return !number.is_number_unsigned() && number.get<std::int64_t>() < 0;
}

bool integer_matches(const nlohmann::json& input, const nlohmann::json& reencoded) {
    return input.is_number_integer() && is_negative(input) == is_negative(reencoded) &&
           input == reencoded;
}

}  // namespace

namespace detail {

bool matches_reencoded(const nlohmann::json& input, const nlohmann::json& reencoded) {
    if (reencoded.is_object()) {
        return input.is_object() && object_matches(input, reencoded);
    }
    if (reencoded.is_array()) {
        return input.is_array() && array_matches(input, reencoded);
    }
    if (reencoded.is_number_float()) {
        return input.is_number() && std::isfinite(reencoded.get<double>());
    }
    if (reencoded.is_number()) {
        return integer_matches(input, reencoded);
    }
    return input == reencoded;
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
            return invalid("input is not one well-formed MessagePack value");
        }
        const auto input =
            detail::with_full_names(nlohmann::json::from_msgpack(bytes.begin(), bytes.end()));
        peer_message message;
        from_json(input, message);
        nlohmann::json reencoded;
        to_json(reencoded, message);
        if (!detail::matches_reencoded(input, reencoded)) {
            return invalid("field of the wrong type or out of range");
        }
        return message;
    } catch (const std::exception& exception) {
        return invalid(exception.what());
    }
}

}  // namespace cyclamenmount
