#include "telemetry/metrics.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

TEST_GROUP(metrics){};

TEST(metrics, requests_are_counted_by_target) {
    // GIVEN one request within its deadline and one after it
    metrics page;
    request_record ended;
    ended.workspace = workspace_name{"brecon"};
    ended.target = "menu";
    ended.took = milliseconds(900);
    ended.deadline = milliseconds(5000);
    ended.in_objective = true;
    ended.costs.push_back({stage_name{"encode"}, pool_name{"encoders"}, 2, milliseconds(30), 0,
                           milliseconds(10), 1, 0, false});
    page.record(ended);
    ended.took = milliseconds(6000);
    ended.in_objective = false;
    page.record(ended);

    // WHEN the exposition is written
    const auto text = page.page();

    // THEN both count as requests, one counts as in time, and the costs are summed by stage
    STRCMP_CONTAINS("cyclamenmount_requests_total{target=\"menu\",workspace=\"brecon\"} 2\n",
                    text.c_str());
    STRCMP_CONTAINS(
        "cyclamenmount_requests_in_time_total{target=\"menu\",workspace=\"brecon\"} 1\n",
        text.c_str());
    STRCMP_CONTAINS(
        "cyclamenmount_requests_in_objective_total{target=\"menu\",workspace=\"brecon\"} 1\n",
        text.c_str());
    STRCMP_CONTAINS("cyclamenmount_stage_attempts_total{target=\"menu\",stage=\"encode\","
                    "workspace=\"brecon\"} 4\n",
                    text.c_str());
    STRCMP_CONTAINS("cyclamenmount_request_ms_count{target=\"menu\"} 2\n", text.c_str());
}

TEST(metrics, refusals_are_counted_by_reason_and_execution) {
    // GIVEN a refused request
    metrics page;
    request_record ended;
    ended.target = "menu";
    ended.refused = refusal{refusal_reason::rate_limited, execution::not_run, "", "", {}};
    page.record(ended);

    // THEN it is counted with both labels
    STRCMP_CONTAINS("cyclamenmount_refusals_total{target=\"menu\",reason=\"rate_limited\","
                    "execution=\"not_run\"} 1\n",
                    page.page().c_str());
}

// Guards against a page that its reader rejects: one line of the type for all pools.
TEST(metrics, gauges_of_pools_have_a_label_each) {
    // GIVEN a gauge of two pools, one of which changes
    metrics page;
    page.set_pool_gauge("pool_requests", {"a"}, 1);
    page.set_pool_gauge("pool_requests", {"b"}, 2);
    page.set_pool_gauge("pool_requests", {"a"}, 3);
    // THEN the page has the newest value of each, under one type
    STRCMP_CONTAINS("# TYPE cyclamenmount_pool_requests gauge\n"
                    "cyclamenmount_pool_requests{pool=\"a\"} 3\n"
                    "cyclamenmount_pool_requests{pool=\"b\"} 2\n",
                    page.page().c_str());
}

TEST(metrics, label_values_are_escaped) {
    // GIVEN a target with a quote and a newline
    metrics page;
    request_record ended;
    ended.target = "a\"b\nc";
    page.record(ended);

    // THEN each value is still on one line
    STRCMP_CONTAINS("target=\"a\\\"b c\"", page.page().c_str());
}
