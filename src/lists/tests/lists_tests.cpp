#include "lists/lists.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

const std::string key_a(64, 'a');
const std::string key_b(64, 'b');

//! A list with one fault and the finding that it causes.
struct list_fault {
    std::string text;
    int line;
    const char* message;
};

}  // namespace

TEST_GROUP(lists){};

TEST(lists, plans_and_allowances_are_read) {
    // GIVEN a valid plan list and a valid allowance list
    const auto plans =
        parse_plans("[workspace brecon]\nplan = large\nkey_sha256 = " + key_a + "\n", "plans.ini");
    const auto allowances =
        parse_allowances("[plan large]\npipelines = menu-plan, allergy-answer\nservices = "
                         "ordering\nrequests_per_second = 2.5\nconcurrent = 4\n"
                         "tokens_per_minute = 6000\npriority = 0\n",
                         "allowances.ini");

    // THEN every value is read
    CHECK_TRUE(plans.has_value());
    STRCMP_EQUAL("large", plans.value().workspaces.at(0).plan.value.c_str());
    CHECK_TRUE(allowances.has_value());
    const auto& plan = allowances.value().plans.at(plan_name{"large"});
    CHECK_EQUAL(2, plan.pipelines.size());
    CHECK_EQUAL(4, plan.concurrent);
    DOUBLES_EQUAL(2.5, plan.requests_per_second, 1e-9);
}

TEST(lists, each_fault_in_plans_is_reported_with_its_line) {
    const list_fault table[] = {
        {"[workspace a]\nplan = p\nkey_sha256 = short\n", 3,
         "key_sha256 must be 64 lower case hex digits"},
        {"[workspace a]\nkey_sha256 = " + key_a + "\n", 2, "workspace 'a' has no plan"},
        {"[workspace a]\nplan = p\n", 2, "workspace 'a' has no key_sha256"},
        {"[workspace a]\nplan = p\nplan = q\nkey_sha256 = " + key_a + "\n", 3,
         "'plan' is given twice"},
        {"[workspace a]\nplan = p\ncolour = red\nkey_sha256 = " + key_a + "\n", 3,
         "unknown name 'colour' in a workspace"},
        {"[zone a]\nplan = p\n", 2, "expected a section [workspace NAME]"},
        {"[workspace a]\nplan = p\nkey_sha256 = " + key_a + "\n[workspace b]\nplan = p\n" +
             "key_sha256 = " + key_a + "\n",
         5, "workspaces 'a' and 'b' have the same key"},
    };
    for (const auto& row : table) {
        // WHEN a list with one fault is parsed
        const auto list = parse_plans(row.text, "plans.ini");

        // THEN the fault is reported at its line
        CHECK_TRUE(list.has_error());
        CHECK_EQUAL(1, list.error().size());
        CHECK_EQUAL(row.line, list.error().front().line);
        STRCMP_EQUAL(row.message, list.error().front().message.c_str());
    }
}

TEST(lists, all_findings_of_a_list_are_reported_at_once) {
    // GIVEN allowances with three faults
    const auto list =
        parse_allowances("[plan a]\nconcurrent = -1\npriority = 12\npipelines = x y\n", "f");

    // THEN all three are reported
    CHECK_TRUE(list.has_error());
    CHECK_EQUAL(3, list.error().size());
}

TEST(lists, cross_check_reports_unknown_names) {
    // GIVEN a plan without an allowance, and an allowance for an unknown pipeline and service
    plan_list plans;
    plans.workspaces.push_back({workspace_name{"a"}, plan_name{"gone"}, key_b});
    allowance_list allowances;
    auto& plan = allowances.plans[plan_name{"p"}];
    plan.pipelines.insert(pipeline_name{"nowhere"});
    plan.services.insert(pool_name{"nobody"});

    // WHEN they are checked against an empty topology
    const auto found = cross_check(plans, allowances, {}, "lists");

    // THEN each is a finding
    CHECK_EQUAL(3, found.size());
}
