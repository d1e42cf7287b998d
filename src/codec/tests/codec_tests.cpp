//! Round trips, malformed inputs and seeded random mutations of peer messages and events.
#include "codec/codec.h"
#include "codec/internal/field_names.h"
#include "codec/internal/json_events.h"

#include <random>
#include <sstream>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace cyclamenmount;

namespace {

//! NLOHMANN_JSON_SERIALIZE_ENUM allocates its tables in function statics, which the leak detector
//! would report.
const bool leak_detection_off = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

template <std::size_t... Indices>
std::vector<peer_message> default_messages(std::index_sequence<Indices...> /*all*/) {
    return {peer_message(std::in_place_index<Indices>)...};
}

//! A message of each kind with default fields, and some with values.
std::vector<peer_message> sample_messages() {
    auto samples = default_messages(std::make_index_sequence<std::variant_size_v<peer_message>>{});
    const member a{{"a"}, "127.0.0.1:1", {"z1"}};
    samples.push_back(ping{a, 7, {.generation = 3, .settled = true}, true});
    samples.push_back(roster_notice{{4, true, {a, a}, "p"}, 9});
    samples.push_back(report_notice{1, {{{"u"}, "i", upstream_condition::warm, 1, 8}}});
    samples.push_back(holdings_reply{1, {"u"}, {{{"t"}, 60s, true}}});
    samples.push_back(share_report{1, {{{"w"}, 0.1, 3, 2, 1e9}}, 5, 4});
    samples.push_back(permit_reply{1, 2, permit_verdict::done, "p", {true, 200, "body"}});
    samples.push_back(claim_reply{1, 2, claim_verdict::join, {"r"}, a, {{{"s"}, "out"}}});
    samples.push_back(news_request{a, 7, {{"t", 5}}, "1z,250,9780"});
    samples.push_back(news_reply{7, {{"t", 9, 20ms, {{5, 9, "{}"}}}}, "1z,250,9780"});
    samples.push_back(rollout_report{{{"i"}, "a:1", {"z"}, 250},
                                     {"p"},
                                     "p|1|v2|60000",
                                     milliseconds(1500),
                                     rollout_step::closing,
                                     3,
                                     "failures /r",
                                     {{"/r", true, 20, 4, {0, 3, 17}, {20}, {}}}});
    samples.push_back(rollout_notice{{{"i"}, "a:1", {"z"}, 250},
                                     {"p"},
                                     "p|1|v2|60000",
                                     milliseconds(1500),
                                     rollout_step::rolled_back,
                                     "failures /r"});
    samples.push_back(upstream_limit_notice{{"u"}, 1'700'000'000'000, true, 1.2});
    samples.push_back(origins_request{a, 7, {"0123456789ab"}});
    samples.push_back(origins_reply{7, {{"0123456789ab", {"p"}, {"v1"}}}});
    pieces_request job;
    job.workspace = {"w"};
    samples.push_back(job);
    samples.push_back(suspects_notice{{{{"f"}, {"i1", "i2"}, true}}});
    return samples;
}

//! Converts to any type; used to count the fields of an aggregate.
struct any_value {
    template <typename T>
    operator T() const;
};

template <typename T, typename... Values>
constexpr std::size_t field_count() {
    if constexpr (requires { T{Values{}..., any_value{}}; }) {
        return field_count<T, Values..., any_value>();
    } else {
        return sizeof...(Values);
    }
}

std::string pack(const nlohmann::json& value) {
    std::string bytes;
    nlohmann::json::to_msgpack(value, bytes);
    return bytes;
}

//! Not inlined, since inlining causes a false warning about the uninitialised value of the result.
[[gnu::noinline]] decided<admission> refuse(refusal_reason reason) {
    refusal refused;
    refused.reason = reason;
    return refused;
}

}  // namespace

TEST_GROUP(codec){};

TEST(codec, every_kind_survives_a_round_trip) {
    for (const auto& message : sample_messages()) {
        // GIVEN a message of each kind
        const std::string bytes = encode_message(message);
        // WHEN it is decoded and encoded again
        const auto decoded = decode_message(bytes);
        // THEN the kind and the bytes are the same
        CHECK_TRUE(decoded.has_value());
        LONGS_EQUAL(message.index(), decoded.value().index());
        CHECK_TRUE(bytes == encode_message(decoded.value()));
    }
}

TEST(codec, every_field_of_a_message_is_encoded) {
    for (const auto& message : sample_messages()) {
        const auto encoded = nlohmann::json::from_msgpack(encode_message(message));
        const auto fields = std::visit(
            [](const auto& alternative) {
                return field_count<std::decay_t<decltype(alternative)>>();
            },
            message);
        LONGS_EQUAL(fields + 1, encoded.size());
    }
}

// Guards against jobs that are lost between instances of different versions.
TEST(codec, processes_that_do_not_know_the_workspace_of_a_job_understand_the_others) {
    // GIVEN a job with a workspace
    pieces_request job;
    job.number = 7;
    job.workspace = {"w"};
    auto wire = nlohmann::json::from_msgpack(encode_message(job));
    const std::size_t fields = wire.size();
    // WHEN it is sent by a process that doesn't know the field
    for (auto field = wire.begin(); field != wire.end();) {
        field = field.value() == "w" ? wire.erase(field) : std::next(field);
    }
    LONGS_EQUAL(fields - 1, wire.size());
    const auto without = decode_message(pack(wire));
    // THEN it is a job without a workspace
    CHECK_TRUE(without.has_value());
    LONGS_EQUAL(7, std::get<pieces_request>(without.value()).number);
    CHECK_TRUE(std::get<pieces_request>(without.value()).workspace.empty());
    // WHEN a message has a field that this process doesn't know, THEN the field is ignored
    wire["field_of_a_later_version"] = 1;
    const auto later = decode_message(pack(wire));
    CHECK_TRUE(later.has_value());
    LONGS_EQUAL(7, std::get<pieces_request>(later.value()).number);
}

TEST(codec, every_field_name_takes_one_byte_on_the_wire) {
    for (const auto& message : sample_messages()) {
        // GIVEN an encoded message
        const auto wire = nlohmann::json::from_msgpack(encode_message(message)).flatten();

        // THEN no name at any depth is longer than one byte
        for (const auto& [path, value] : wire.items()) {
            std::istringstream parts(path.substr(1));
            std::string name;
            while (std::getline(parts, name, '/')) {
                const bool is_index = name.find_first_not_of("0123456789") == std::string::npos;
                CHECK_TEXT(is_index || name.size() == 1 || name == "~0" || name == "~1",
                           path.c_str());
            }
        }
    }
}

TEST(codec, malformed_inputs_are_errors) {
    const nlohmann::json wire = nlohmann::json::from_msgpack(encode_message(ping{}));
    const nlohmann::json valid = detail::with_full_names(wire);
    auto without_first_field = wire;
    without_first_field.erase(without_first_field.begin());
    const auto with = [&](const char* path, const nlohmann::json& value) {
        auto changed = valid;
        changed[nlohmann::json::json_pointer(path)] = value;
        return pack(changed);
    };
    auto without_leaving = valid;
    without_leaving.erase("leaving");
    const std::pair<const char*, std::string> cases[] = {
        {"empty", ""},
        {"unknown kind", with("/kind", "pang")},
        {"kind not a string", with("/kind", 1)},
        {"missing field", pack(without_leaving)},
        {"missing field, short names", pack(without_first_field)},
        {"string for a number", with("/sequence", "1")},
        {"bool for a number", with("/sequence", true)},
        {"fraction for a whole number", with("/sequence", 1.5)},
        {"negative for unsigned", with("/sequence", -1)},
        {"number for a bool", with("/leaving", 1)},
        {"null for a string", with("/from/id", nullptr)},
        {"array for an object", with("/from", nlohmann::json::array())},
        {"not an object", pack(nlohmann::json::array({1, 2}))},
        {"a number", pack(5)},
        {"trailing bytes", encode_message(ping{}) + '\x01'},
        {"cut off", encode_message(ping{}).substr(0, 20)},
        {"over the limit",
         encode_message(document_request{std::string(max_message_bytes, 'x'), 0})},
        {"array that claims to be huge", "\xdd\xff\xff\xff\xff"},
        {"nested too deeply", std::string(max_message_bytes, '\x91')},
        {"unknown enumerator", pack({{"kind", "claim_reply"},
                                     {"generation", 1},
                                     {"number", 1},
                                     {"verdict", "maybe"},
                                     {"request", "r"},
                                     {"runner", {{"id", ""}, {"address", ""}, {"zone", ""}}},
                                     {"finished_stages", nlohmann::json::array()}})},
        {"number out of range",
         pack({{"kind", "permit_outcome"},
               {"workspace", ""},
               {"key", ""},
               {"permit", ""},
               {"outcome", {{"known", true}, {"status", 1L << 40}, {"body", ""}}}})},
    };
    for (const auto& [name, bytes] : cases) {
        CHECK_FALSE_TEXT(decode_message(bytes).has_value(), name);
    }
}

// Guards against store sync that fails between instances of this version and earlier ones, in
// either direction.
TEST(codec, store_sync_messages_of_an_earlier_version_are_understood) {
    const member a{{"a"}, "127.0.0.1:1", {"z1"}};
    const peer_message samples[] = {news_request{a, 7, {{"t", 5}}, "text"},
                                    news_reply{7, {{"t", 9, 20ms, {}}}, "text"}};
    for (const peer_message& sample : samples) {
        // GIVEN a message without the observations, as earlier versions send it
        auto earlier =
            detail::with_full_names(nlohmann::json::from_msgpack(encode_message(sample)));
        CHECK_TRUE(earlier.contains("reports"));
        earlier.erase("reports");
        // WHEN it is decoded
        const auto decoded = decode_message(pack(earlier));
        // THEN it is complete, with no observations
        CHECK_TRUE(decoded.has_value());
        LONGS_EQUAL(sample.index(), decoded.value().index());
        // AND a field that an earlier version doesn't know isn't an error to it
        auto later = detail::with_full_names(nlohmann::json::from_msgpack(encode_message(sample)));
        later["unknown"] = "text";
        CHECK_TRUE(decode_message(pack(later)).has_value());
    }
}

TEST(codec, numbers_that_are_not_finite_are_errors) {
    share_report report{1, {{{"w"}, std::numeric_limits<double>::quiet_NaN(), 0, 0, 0}}, 0, 0};
    CHECK_FALSE(decode_message(encode_message(report)).has_value());
    report.demands[0].requests_per_second = std::numeric_limits<double>::infinity();
    CHECK_FALSE(decode_message(encode_message(report)).has_value());
}

TEST(codec, mutated_messages_never_throw) {
    // GIVEN valid messages with random bytes changed or the end cut off
    std::mt19937 random(20241);
    const auto samples = sample_messages();
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = encode_message(samples[random() % samples.size()]);
        for (auto changes = 1 + random() % 3; changes > 0; --changes) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        if (random() % 8 == 0) {
            bytes.resize(random() % bytes.size());
        }
        // WHEN they are decoded
        const auto decoded = decode_message(bytes);
        // THEN an accepted message can be encoded and decoded again
        if (decoded.has_value()) {
            CHECK_TRUE(decode_message(encode_message(decoded.value())).has_value());
        }
    }
}

TEST(codec, events_survive_a_round_trip) {
    attempt_wanted wanted;
    wanted.excluded = {{"u"}};
    wanted.time_left = 5s;
    attempt_ended ended;
    ended.outcome = attempt_outcome::died;
    const std::vector<event> samples = {
        tick{},
        peer_message_received{{"a"}, ping{}},
        store_replied{{component::once, 4}, store_status::conflict, {"k", 3, "v", true}},
        watch_ended{},
        instances_listed{store_status::ok, {{"i", "127.0.0.1:2", {"z"}, "entry", true}}},
        upstream_polled{},
        order_answered{},
        admission_wanted{},
        request_ended{},
        wanted,
        ended,
        permit_wanted{},
        permit_returned{},
        call_ended{},
        claim_wanted{},
        stage_finished{},
        claim_ended{},
        list_edit_wanted{},
        availability_wanted{},
        stop_wanted{},
    };
    LONGS_EQUAL(std::variant_size_v<event>, samples.size());
    for (const auto& sample : samples) {
        const auto encoded = event_to_json(sample);
        const auto read = event_from_json(encoded);
        CHECK_TRUE(read.has_value());
        CHECK_TRUE(encoded == event_to_json(read.value()));
    }
    CHECK_FALSE(event_from_json({{"kind", "noise"}}).has_value());
}

TEST(codec, effects_are_encoded_with_their_kind) {
    attempt_grant grant;
    grant.start_before = instant{1500ms};
    const auto granted = effect_to_json(attempt_decided{3, {"t"}, grant});
    CHECK_TRUE(granted.at("kind") == "attempt_decided");
    CHECK_TRUE(granted.at("decision").at("granted").at("start_before") == 1500);
    const auto refused = effect_to_json(admission_decided{3, refuse(refusal_reason::stopping)});
    CHECK_TRUE(refused.at("decision").at("refused").at("reason") == "stopping");
    CHECK_TRUE(effect_to_json(drained{}).at("kind") == "drained");
}
