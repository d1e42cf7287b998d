//! Reports on requests from sample logs, compared in full.
#include "ctl/ctl.h"
#include "ctl/explain.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

std::string explain(std::string_view request, std::string text) {
    const std::vector<named_log> logs{{"all", std::move(text)}};
    return explain_request(request, logs);
}

}  // namespace

TEST_GROUP(explain){};

TEST(explain, a_slow_response_is_traced_through_its_stages) {
    // GIVEN a collector's log with times and instances, out of order, and lines of other requests
    const std::string log =
        "   0.3500 edge-a stage_call upstream=i-1 pieces=1 first=r1 status=200 took_ms=156\n"
        "   0.2949 edge-b stage request=r2 stage=1 pool=p outcome=made at_ms=168 pool_wait_ms=56\n"
        "   0.4550 edge-b stage request=r1 stage=1 pool=p outcome=made at_ms=353 pool_wait_ms=40\n"
        "   0.9230 edge-b request request=r1 status=200 stages_ms=539 first_event_ms=821 "
        "took_ms=821\n";
    // WHEN the request is explained
    // THEN its lines are listed in order with the time since its arrival, and the last line says
    // where the time was spent
    STRCMP_EQUAL(
        "Request r1 at edge-b; milliseconds since it arrived:\n"
        "     248  edge-a  stage_call upstream=i-1 pieces=1 first=r1 status=200 took_ms=156\n"
        "     353  edge-b  stage request=r1 stage=1 pool=p outcome=made at_ms=353 pool_wait_ms=40\n"
        "     821  edge-b  request request=r1 status=200 stages_ms=539 first_event_ms=821 "
        "took_ms=821\n"
        "It was answered with 200; first event after 821 ms, of which 539 in its stages and 282 at "
        "the engine.\n",
        explain("r1", log).c_str());
}

TEST(explain, a_refusal_is_shown_with_events_of_its_instance_meanwhile) {
    // GIVEN a log with a change of the fleet state during the request, one after it, and one at
    // another instance
    const std::string log =
        "10.000 edge-a belief what=upstream_gone subject=i-9 version=7\n"
        "10.100 edge-a stage_refused request=r1 pool=p why=\"a stage can't be made\" left_ms=9\n"
        "10.200 edge-a request request=r1 status=503 refused=\"a stage can't be made\" "
        "retry_after_ms=490 took_ms=300\n"
        "10.400 edge-a belief what=upstream_joined subject=i-8 version=8\n"
        "10.050 edge-b belief what=upstream_gone subject=i-9 version=7\n";
    // WHEN it is explained
    const std::string report = explain("r1", log);
    // THEN only the change at its own instance during the request is listed
    STRCMP_EQUAL(
        "Request r1 at edge-a; milliseconds since it arrived:\n"
        "     100  edge-a  belief what=upstream_gone subject=i-9 version=7\n"
        "     200  edge-a  stage_refused request=r1 pool=p why=\"a stage can't be made\" "
        "left_ms=9\n"
        "     300  edge-a  request request=r1 status=503 refused=\"a stage can't be made\" "
        "retry_after_ms=490 took_ms=300\n"
        "It was refused with 503: a stage can't be made; the caller may retry after 490 ms.\n",
        report.c_str());
}

TEST(explain, lines_of_other_instances_are_shifted_into_the_requests_time) {
    // GIVEN the logs of two instances; the packer's clock is 5 s ahead
    const std::vector<named_log> logs{
        {"a.log", "2026-12-04T09:00:05.500Z stage_call upstream=i-1 first=r1 status=200\n"},
        {"b.log", "2026-12-04T09:00:01.000Z request request=r1 status=0 caller=gone took_ms=900\n"},
    };
    // WHEN the request is explained
    // THEN the packer's line is placed no later than the end of the request
    STRCMP_EQUAL("Request r1 at b.log; milliseconds since it arrived:\n"
                 "     900  a.log  stage_call upstream=i-1 first=r1 status=200\n"
                 "     900  b.log  request request=r1 status=0 caller=gone took_ms=900\n"
                 "It was cancelled: the caller disconnected after 900 ms.\n",
                 explain_request("r1", logs).c_str());
}

TEST(explain, a_request_without_an_end_is_shown_up_to_its_last_line) {
    // GIVEN the log of an instance that crashed while it served the request
    const std::string log = "1.0 edge-a stage request=r1 stage=0 outcome=made\n";
    // WHEN it is explained
    // THEN its lines are shown, and the report says that the end is missing
    STRCMP_EQUAL("No line records its end: the instance has ended, or lines are missing.\n"
                 "edge-a  stage request=r1 stage=0 outcome=made\n",
                 explain("r1", log).c_str());
}

TEST(explain, lines_that_are_not_of_the_decision_log_are_skipped) {
    // GIVEN log lines of other libraries, truncated lines and unbalanced quotes
    const std::string log =
        "I20260108 17:51:17.027794 8120 peer_network.cpp:206] Peers: listening\n"
        "1.0 edge-a request request=\n"
        "\n=\n\"\n1.0 request=r1\n"
        "1.0 edge-a x request=\"r1\n";
    // WHEN a request is explained that no complete line names
    // THEN the report is empty
    STRCMP_EQUAL("", explain("r9", log).c_str());
}

TEST(explain, the_command_reads_all_logs_and_fails_if_no_line_names_the_request) {
    // GIVEN a log with one request
    std::ostringstream out;
    std::ostringstream err;
    const ctl_io io{
        [](const client_request&) -> result<client_response> {
            return error{error_kind::unreachable, "not used"};
        },
        [](const std::string&) -> result<std::string> {
            return std::string("1.0 edge-a request request=r1 status=200 took_ms=5\n");
        },
        [](milliseconds) {},
        [] { return instant{}; },
        out,
        err,
    };
    // WHEN it is explained
    CHECK_TRUE(run_command({}, {"explain", "r1", "-"}, io) == exit_code::done);
    // THEN the report is printed
    CHECK_TRUE(out.str().find("answered with 200 after 5 ms") != std::string::npos);
    // AND an unknown request and missing arguments have their exit codes
    CHECK_TRUE(run_command({}, {"explain", "r2", "a.log"}, io) == exit_code::failed);
    CHECK_TRUE(run_command({}, {"explain", "r1"}, io) == exit_code::usage);
}
