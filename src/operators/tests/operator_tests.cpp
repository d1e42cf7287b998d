//! Tests of the operator listener on real sockets with a fake control client.
#include "ctl/http_client.h"
#include "operators/operator_server.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace cyclamenmount;

namespace {

const std::string good_plans =
    "[workspace a]\nplan = p\nkey_sha256 = " + std::string(64, 'a') + "\n";

//! A server with a constant control state; every edit has the outcome `decision`.
struct listener {
    control_state state;
    result<edit_decided> decision = edit_decided{};
    std::vector<std::string> audit;
    change_record last_change;  //!< of the last edit of a list
    std::unique_ptr<operator_server> server;

    listener() {
        environment env;
        env.self = {instance_id{"i"}, "127.0.0.1:1", zone_name{"z"}};
        state = make_control(env, instant{});
        allowance_list allowances;
        allowances.plans[plan_name{"p"}].plan = plan_name{"p"};
        state.documents = make_documents_in_force(env, {}, allowances, instant{});
        operator_dependencies dependencies;
        dependencies.inspect = [this](const std::function<void(const control_state&)>& look) {
            look(state);
            return true;
        };
        dependencies.metrics_page = [] { return std::string("# metrics\n"); };
        dependencies.audit = [this](const std::string& line) { audit.push_back(line); };
        dependencies.control.dump = [] { return std::string("{}"); };
        dependencies.control.edit_list = [this](const list_edit_wanted& wanted, milliseconds) {
            last_change = wanted.change;
            return decision;
        };
        dependencies.control.edit_availability = [this](const availability_wanted&, milliseconds) {
            return decision;
        };
        server =
            operator_server::start({"127.0.0.1:0", "operators-secret", {}}, dependencies).value();
    }

    client_response call(const std::string& method, const std::string& path,
                         const std::string& body = "", std::vector<std::string> headers = {},
                         const std::string& secret = "operators-secret") const {
        client_request request;
        request.method = method;
        request.server = "127.0.0.1:" + std::to_string(server->port());
        request.path = path;
        request.body = body;
        request.headers = std::move(headers);
        request.headers.push_back("Authorization: Bearer " + secret);
        return exchange(request).value();
    }
};

}  // namespace

TEST_GROUP(operator_listener){};

TEST(operator_listener, requests_without_the_secret_are_refused) {
    // GIVEN an operator listener
    const listener one;
    for (const char* const secret : {"", "operators-secre", "operators-secret2", "other"}) {
        // WHEN a request carries another secret THEN it is refused and audited
        LONGS_EQUAL(401, one.call("GET", "/v1/status", "", {}, secret).status);
    }
    LONGS_EQUAL(200, one.call("GET", "/v1/status").status);
    LONGS_EQUAL(4, one.audit.size());
}

TEST(operator_listener, invalid_requests_have_their_status) {
    struct row {
        const char* method;
        const char* path;
        std::string body;
        std::vector<std::string> headers;
        int status;
    };

    const listener one;
    const std::vector<row> table = {
        {"GET", "/v1/nothing", "", {}, 404},
        {"GET", "/v1/lists/other", "", {}, 404},
        {"DELETE", "/v1/status", "", {}, 405},
        {"PUT", "/v1/lists/plans", good_plans, {}, 428},
        {"PUT", "/v1/lists/plans", good_plans, {"If-Match: 7"}, 428},
        {"PUT", "/v1/lists/plans", good_plans, {"If-Match: \"7x\""}, 428},
        {"PUT", "/v1/lists/plans", "nonsense", {"If-Match: \"1\""}, 422},
        {"PUT", "/v1/lists/plans", std::string("\0\xff[", 3), {"If-Match: \"1\""}, 422},
        {"POST", "/v1/lists/plans/check", "[workspace a]\nplan = gone\n", {}, 422},
        {"POST", "/v1/availability", "", {}, 400},
        {"POST", "/v1/availability", "[1]", {}, 400},
        {"POST", "/v1/availability", R"({"zone":"z"})", {}, 400},
        {"POST", "/v1/availability", R"({"zone":"z","upstream":"u","out":true})", {}, 400},
        {"POST", "/v1/availability", R"({"zone":5,"out":true})", {}, 400},
        {"POST", "/v1/availability", R"({"zone":"","out":true})", {}, 400},
        {"PUT", "/v1/lists/plans", std::string(2'000'000, 'x'), {"If-Match: \"1\""}, 413},
    };
    for (const auto& each : table) {
        // WHEN an invalid request is sent THEN it has its status, and the next valid one is served
        LONGS_EQUAL_TEXT(each.status,
                         one.call(each.method, each.path, each.body, each.headers).status,
                         (std::string(each.method) + " " + each.path).c_str());
        LONGS_EQUAL(200, one.call("GET", "/v1/versions").status);
    }
}

TEST(operator_listener, every_outcome_of_an_edit_is_reported_and_audited) {
    using verdict = edit_decided::verdict;

    struct row {
        result<edit_decided> decision;
        int status;
        const char* audit;
    };

    change_record other;
    other.who = "eira";
    const std::vector<row> table = {
        {edit_decided{1, verdict::accepted, 9, {}}, 200, "accepted at version 9"},
        {edit_decided{1, verdict::conflict, 9, {other}}, 409, "refused, changed meanwhile"},
        {edit_decided{1, verdict::emergency, 0, {}}, 202, "in force, not yet recorded"},
        {edit_decided{1, verdict::unknown, 0, {}}, 503, "not known whether accepted"},
        {error{error_kind::timeout, "late"}, 504, "not known whether accepted"},
    };
    for (const auto& each : table) {
        // GIVEN a control client that decides this way
        listener one;
        one.decision = each.decision;

        // WHEN a list is edited and a zone is taken out of service
        const auto edited = one.call("PUT", "/v1/lists/plans", good_plans,
                                     {"If-Match: \"1\"", "X-Operator: gwen", "X-Reason: new"});
        const auto ordered = one.call("POST", "/v1/availability", R"({"zone":"z","out":true})");

        // THEN both responses have its status, and each edit leaves an audit line with operator and
        // reason
        LONGS_EQUAL(each.status, edited.status);
        LONGS_EQUAL(each.status, ordered.status);
        LONGS_EQUAL(2, one.audit.size());
        STRCMP_CONTAINS(each.audit, one.audit[0].c_str());
        STRCMP_CONTAINS("gwen", one.audit[0].c_str());
        STRCMP_CONTAINS("new", one.audit[0].c_str());
    }
}

// Guards against edits that the control thread can't encode as JSON.
TEST(operator_listener, only_valid_utf8_reaches_the_control_thread) {
    // GIVEN a control client that accepts each edit
    listener one;
    one.decision = edit_decided{1, edit_decided::verdict::accepted, 9, {}};
    std::string cut_inside_letter;
    while (cut_inside_letter.size() < 300) {
        cut_inside_letter += "\u20ac";
    }
    for (const std::string& text : {std::string("caf\xe9"), cut_inside_letter}) {
        // WHEN the headers of an edit hold invalid or overlong text
        const auto edited = one.call("PUT", "/v1/lists/plans", good_plans,
                                     {"If-Match: \"1\"", "X-Operator: " + text, "X-Reason: " + text,
                                      "X-Operation: " + text});
        // THEN the edit is accepted with valid text
        LONGS_EQUAL(200, edited.status);
        for (const std::string& recorded :
             {one.last_change.who, one.last_change.reason, one.last_change.operation}) {
            CHECK_FALSE(recorded.empty());
            CHECK_TRUE(nlohmann::json::accept('"' + recorded + '"'));
        }
    }
    // WHEN a list itself isn't valid UTF-8 THEN it is refused
    const std::string invalid_list = "# caf\xe9\n" + good_plans;
    LONGS_EQUAL(422, one.call("PUT", "/v1/lists/plans", invalid_list, {"If-Match: \"1\""}).status);
    LONGS_EQUAL(422, one.call("POST", "/v1/lists/plans/check", invalid_list).status);
}
