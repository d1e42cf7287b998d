#include "settings/settings.h"

#include <cstdio>
#include <string>

#include <CppUTest/TestHarness.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace cyclamenmount;

namespace {

const std::string good_instance = "[instance]\nzone = z1\npeer_listen = 127.0.0.1:7101\n"
                                  "caller_listen = 127.0.0.1:7201\n"
                                  "operator_listen = 127.0.0.1:7301\n"
                                  "peer_secret_file = p\noperator_secret_file = o\n"
                                  "[platform]\nobject_api = 127.0.0.1:7000\n";

//! Text appended to `good_instance`, which ends at line 9, and the finding that it causes.
struct settings_fault {
    const char* text;
    int line;
    const char* message;
};

}  // namespace

TEST_GROUP(settings){};

TEST(settings, all_sections_are_read) {
    // GIVEN settings with a pool, a pipeline and a heartbeat interval
    const auto settings =
        parse_settings(good_instance + "[pool engines]\nkind = engine\ncapacity = 16\n"
                                       "cold_capacity = 2\n[pipeline menu]\n"
                                       "stages = generate:engines\ndeadline_ms = 4000\n"
                                       "[timing]\nheartbeat_ms = 250\n",
                       "d.ini");

    // THEN every value is read
    CHECK_TRUE(settings.has_value());
    const auto& topology = settings.value().pools;
    CHECK_EQUAL(2, topology.pools.at(pool_name{"engines"}).cold_capacity);
    CHECK_EQUAL(1, topology.pipelines.at(pipeline_name{"menu"}).stages.size());
    CHECK_EQUAL(250, settings.value().timing.heartbeat.count());
}

TEST(settings, each_fault_is_reported_with_its_line) {
    const settings_fault table[] = {
        {"[pool a]\nkind = oven\n", 11, "kind must be engine, stage or service"},
        {"[pool a]\nsize = 2\n", 11, "unknown name 'size' in a pool"},
        {"[pool a]\ncapacity = 1\ncold_capacity = 2\n", 0,
         "pool 'a': cold_capacity is over capacity"},
        {"[pipeline p]\nstages = one:nowhere\n", 11,
         "stage 'one' names the unknown pool 'nowhere'"},
        {"[pipeline p]\ndeadline_ms = 500\n", 0, "pipeline 'p' has no stages"},
        {"[timing]\nfence_ms = 9000\n", 0, "fence_ms must be under suspect_after_ms"},
        {"[timing]\nbeat_ms = 1\n", 11, "unknown name 'beat_ms' in [timing]"},
        {"[other]\nx = 1\n", 11, "unknown section [other]"},
        {"object_api = 127.0.0.1:1\n", 10, "'object_api' is given twice"},
    };
    for (const auto& row : table) {
        // WHEN settings with one fault are parsed
        const auto settings = parse_settings(good_instance + row.text, "d.ini");

        // THEN it is the only finding, at its line
        CHECK_TRUE(settings.has_error());
        CHECK_EQUAL(1, settings.error().size());
        CHECK_EQUAL(row.line, settings.error().front().line);
        STRCMP_EQUAL(row.message, settings.error().front().message.c_str());
    }
}

TEST(settings, every_missing_value_is_reported_at_once) {
    // GIVEN an empty file
    const auto settings = parse_settings("", "d.ini");

    // THEN each required value is a finding
    CHECK_TRUE(settings.has_error());
    CHECK_EQUAL(7, settings.error().size());
}

TEST(settings, endpoints_are_ip_and_port) {
    struct row {
        const char* text;
        bool good;
    };

    const row table[] = {{"127.0.0.1:80", true}, {"localhost:80", false},    {"127.0.0.1", false},
                         {"127.0.0.1:0", false}, {"127.0.0.1:65536", false}, {"1.2.3:80", false},
                         {"127.0.0.1:8x", false}};
    for (const auto& entry : table) {
        // WHEN an endpoint is parsed THEN only an IP address with a port is accepted
        CHECK_EQUAL(entry.good, parse_endpoint(entry.text).has_value());
    }
}

TEST(settings, a_secret_that_others_can_read_is_rejected) {
    // GIVEN a secret file
    char path[] = "/tmp/cyclamenmount-secret-XXXXXX";
    const int file = mkstemp(path);
    CHECK_TRUE(write(file, "0123456789abcdef\n", 17) == 17);
    close(file);

    // WHEN only its owner can read it THEN it is returned without its newline
    CHECK_EQUAL(16, load_secret(path).value().size());

    // WHEN others can read it THEN it is rejected
    chmod(path, 0644);
    CHECK_TRUE(load_secret(path).has_error());
    std::remove(path);
}
