#include "standins/common/testing.h"
#include "standins/upstream/upstream.h"
#include "upstream_control/internal/reports.h"
#include "upstream_control/upstream_control.h"

#include <memory>
#include <variant>

// clang-format off
#include <CppUTest/TestHarness.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
// clang-format on

using namespace cyclamenmount;
using standins::collector;

namespace {

const bool leak_detection_off = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

struct fixture {
    std::unique_ptr<standins::upstream> engine;
    std::unique_ptr<http_loop> loop = std::move(http_loop::start().value());
    collector<event> events;
    std::size_t expected{0};
    upstream_control control{*loop, [this](event happened) { events.add(std::move(happened)); },
                             2000ms};

    explicit fixture(const std::string& extra = "") {
        const auto settings = standins::parse_upstream_settings(
            "id=E1,pool=engines,kind=engine,zone=z,capacity=8,cold=1,warm_after_ms=600000" + extra);
        engine = std::move(standins::upstream::start(settings.value()).value());
    }

    template <typename Effect>
    event event_for(const Effect& wanted) {
        control.carry_out(wanted);
        const auto received = events.wait_for(++expected);
        CHECK(received.size() == expected);
        return received.back();
    }

    upstream_polled poll(const std::string& id = "E1") {
        return std::get<upstream_polled>(event_for(poll_upstream{{id}, engine->address()}));
    }

    store_status send_command(generation_number fence) {
        const order_upstream wanted{{"E1"}, engine->address(), 5, fence, "load_model", "m1"};
        return std::get<order_answered>(event_for(wanted)).status;
    }

    void post_control(const std::string& body) {
        standins::exchange_with(*loop, "POST", engine->address(), "/_control", body);
    }
};

}  // namespace

// clang-format off
TEST_GROUP(upstream_control) {};

// clang-format on

TEST(upstream_control, status_reports_the_condition) {
    struct row {
        const char* settings;
        const char* control;
        upstream_condition condition;
    };

    const row rows[] = {{"", "{}", upstream_condition::cold},
                        {",warm=1", "{}", upstream_condition::warm},
                        {",warm=1", R"({"turn_cold":true})", upstream_condition::cold},
                        {",warm=1", R"({"leaving":true})", upstream_condition::leaving}};
    for (const row& expected : rows) {
        fixture given(expected.settings);
        given.post_control(expected.control);
        const upstream_polled polled = given.poll();
        CHECK(polled.answered);
        CHECK(polled.report.condition == expected.condition);
        LONGS_EQUAL(8, polled.report.capacity);
        CHECK(!polled.report.incarnation.empty());
    }
}

TEST(upstream_control, another_upstream_at_the_address_counts_as_no_response) {
    fixture given;
    CHECK(!given.poll("E2").answered);
}

TEST(upstream_control, incarnation_changes_after_a_crash) {
    // GIVEN an upstream that crashes and restarts
    fixture given(",warm=1");
    const std::string before = given.poll().report.incarnation;
    given.post_control(R"({"restart_after_ms":1,"crash":true})");
    // WHEN it responds again
    upstream_polled after;
    for (int i = 0; i < 1000 && !after.answered; ++i) {
        after = given.poll();
    }
    // THEN it is cold and has another incarnation
    CHECK(after.answered);
    CHECK(after.report.condition == upstream_condition::cold);
    CHECK(after.report.incarnation != before);
}

TEST(upstream_control, without_a_listener_polls_are_unanswered_and_commands_refused) {
    fixture given;
    const std::string address = given.engine->address();
    given.engine.reset();
    const auto polled = std::get<upstream_polled>(given.event_for(poll_upstream{{"E1"}, address}));
    CHECK(!polled.answered);
    const auto ordered = std::get<order_answered>(
        given.event_for(order_upstream{{"E1"}, address, 5, 1, "load_model", "m1"}));
    CHECK(ordered.status == store_status::refused);
    UNSIGNED_LONGS_EQUAL(5, ordered.number);
}

TEST(upstream_control, older_fencing_token_is_a_conflict_if_the_upstream_checks_it) {
    fixture checking(",fence=1");
    CHECK(checking.send_command(7) == store_status::ok);
    CHECK(checking.send_command(6) == store_status::conflict);
    CHECK(checking.send_command(7) == store_status::ok);
    fixture ignoring;
    CHECK(ignoring.send_command(7) == store_status::ok);
    CHECK(ignoring.send_command(6) == store_status::ok);
}

TEST(upstream_control, malformed_status_counts_as_no_response) {
    const char* bodies[] = {
        "",
        "[]",
        "{}",
        R"({"id":"E1"})",
        R"({"id":"E1","incarnation":"","state":"warm","in_flight":0,"capacity":8})",
        R"({"id":"E1","incarnation":"a","state":"hot","in_flight":0,"capacity":8})",
        R"({"id":"E1","incarnation":"a","state":3,"in_flight":0,"capacity":8})",
        R"({"id":"E1","incarnation":"a","state":"warm","in_flight":"0","capacity":8})",
    };
    for (const char* body : bodies) {
        CHECK(!detail::interpret_status({"E1"}, http_response{200, {}, body}).answered);
    }
    const char* good = R"({"id":"E1","incarnation":"a","state":"warm","in_flight":2,"capacity":8})";
    CHECK(detail::interpret_status({"E1"}, http_response{200, {}, good}).answered);
    CHECK(!detail::interpret_status({"E1"}, http_response{503, {}, good}).answered);
}

TEST(upstream_control, command_is_unknown_unless_its_effect_is_certain) {
    CHECK(detail::interpret_command(http_response{500, {}, ""}) == store_status::unknown);
    CHECK(detail::interpret_command(http_response{429, {}, ""}) == store_status::refused);
    CHECK(detail::interpret_command(error{error_kind::timeout, ""}) == store_status::unknown);
    CHECK(detail::interpret_command(error{error_kind::protocol, ""}) == store_status::unknown);
}

TEST(upstream_control, load_header_is_rejected_unless_complete) {
    const auto report = parse_load("in_flight=3;capacity=8;state=warm;incarnation=9f2c");
    CHECK(report.has_value());
    CHECK((*report == upstream_report{{}, "9f2c", upstream_condition::warm, 3, 8}));
    const char* malformed[] = {
        "",
        "in_flight=3",
        "in_flight=3;capacity=8;state=warm",
        "in_flight=3;capacity=8;state=warm;incarnation=",
        "in_flight=-3;capacity=8;state=warm;incarnation=9f2c",
        "in_flight=3x;capacity=8;state=warm;incarnation=9f2c",
        "in_flight=99999999999;capacity=8;state=warm;incarnation=9f2c",
        "in_flight=3;capacity=8;state=hot;incarnation=9f2c",
        "in_flight=3;in_flight=3;capacity=8;state=warm;incarnation=9f2c",
        "in_flight=3;capacity=8;state=warm;incarnation=9f2c;more",
    };
    for (const char* header : malformed) {
        CHECK(!parse_load(header).has_value());
    }
}
