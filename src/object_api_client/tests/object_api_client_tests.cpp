#include "object_api_client/object_api_client.h"
#include "standins/common/testing.h"
#include "standins/object_api/object_api.h"

#include <atomic>
#include <memory>
#include <thread>
#include <variant>

// clang-format off
#include <CppUTest/TestHarness.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
// clang-format on

using namespace cyclamenmount;
using standins::collector;
using standins::object_api;

namespace {

const bool leak_detection_off = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

struct fixture {
    std::unique_ptr<object_api> store = std::move(object_api::start({"127.0.0.1:0", 32}).value());
    std::unique_ptr<http_loop> control = std::move(http_loop::start().value());
    collector<event> events;
    std::size_t expected{0};
    std::unique_ptr<http_loop> loop = std::move(http_loop::start().value());
    std::unique_ptr<object_api_client> client = std::move(
        object_api_client::start({store->address(), "test", 400ms}, *loop, [this](event happened) {
            events.add(std::move(happened));
        }).value());

    template <typename Effect>
    event event_for(const Effect& wanted) {
        client->carry_out(wanted);
        return next();
    }

    event next() {
        ++expected;
        const auto received = events.wait_for(expected);
        CHECK(received.size() == expected);
        return received.back();
    }

    store_replied write(const std::string& key, const std::string& value, object_version version) {
        return std::get<store_replied>(
            event_for(store_write{{component::documents, 1}, key, value, version}));
    }

    store_replied read(const std::string& key) {
        return std::get<store_replied>(event_for(store_read{{component::documents, 2}, key}));
    }

    watch_ended watch(object_version after, milliseconds timeout) {
        return std::get<watch_ended>(event_for(watch_prefix{"config/", after, timeout}));
    }

    void fault(const std::string& body) {
        standins::exchange_with(*control, "POST", store->address(), "/_fault", body);
    }
};

}  // namespace

// clang-format off
TEST_GROUP(object_api_client) {};

// clang-format on

TEST(object_api_client, conditional_updates_and_reads) {
    fixture given;
    CHECK(given.read("config/plans").status == store_status::missing);
    // GIVEN an existing object
    const store_replied created = given.write("config/plans", "one", 0);
    CHECK(created.status == store_status::ok);
    // WHEN two writers expect the same version
    const store_replied first = given.write("config/plans", "two", created.object.version);
    const store_replied second = given.write("config/plans", "three", created.object.version);
    // THEN one succeeds and the other receives a conflict with the current version
    CHECK(first.status == store_status::ok);
    CHECK(second.status == store_status::conflict);
    UNSIGNED_LONGS_EQUAL(first.object.version, second.object.version);
    CHECK(given.write("config/plans", "four", 0).status == store_status::conflict);
    STRCMP_EQUAL("two", given.read("config/plans").object.value.c_str());
    STRCMP_EQUAL("config/plans", given.read("config/plans").object.key.c_str());
}

TEST(object_api_client, keys_and_values_are_transmitted_unchanged) {
    fixture given;
    const std::string key = "once/shard 7/\xC3\xA9?&#%2F+";
    const std::string value = "line\n\"quoted\" \xC3\xA9 & more";
    CHECK(given.write(key, value, 0).status == store_status::ok);
    STRCMP_EQUAL(value.c_str(), given.read(key).object.value.c_str());
}

TEST(object_api_client, faults_of_a_write) {
    struct row {
        const char* fault;
        store_status status;
        bool takes_effect;
    };

    const row rows[] = {{R"({"lose_answers":1})", store_status::unknown, true},
                        {R"({"down":true})", store_status::unknown, false},
                        {R"({"writes_per_second":1})", store_status::refused, false},
                        {R"({"delay_ms":30000})", store_status::unknown, false}};
    for (const row& expected : rows) {
        // GIVEN a store with the fault that has counted one write towards its rate limit
        fixture given;
        const store_replied created = given.write("config/a", "old", 0);
        given.fault(expected.fault);
        // WHEN a write is carried out
        const store_replied replied = given.write("config/a", "new", created.object.version);
        given.fault(R"({"down":false,"writes_per_second":0,"delay_ms":0})");
        // THEN its status is unknown unless the effect is certain
        CHECK(replied.status == expected.status);
        const char* value = expected.takes_effect ? "new" : "old";
        STRCMP_EQUAL(value, given.read("config/a").object.value.c_str());
    }
}

TEST(object_api_client, write_with_lost_response_on_a_reused_connection_is_not_repeated) {
    // GIVEN a connection that an earlier read left open
    fixture given;
    const store_replied created = given.write("config/a", "old", 0);
    given.read("config/a");
    // WHEN a write takes effect but its response is lost
    given.fault(R"({"lose_answers":1})");
    const store_replied replied = given.write("config/a", "new", created.object.version);
    // THEN the outcome is unknown; a repeated write would conflict with itself
    CHECK(replied.status == store_status::unknown);
    UNSIGNED_LONGS_EQUAL(created.object.version + 1, given.read("config/a").object.version);
}

TEST(object_api_client, without_a_listener_writes_are_refused_and_reads_unknown) {
    fixture given;
    given.store.reset();
    CHECK(given.write("config/a", "x", 0).status == store_status::refused);
    CHECK(given.read("config/a").status == store_status::unknown);
}

TEST(object_api_client, value_over_a_megabyte_is_refused) {
    fixture given;
    CHECK(given.write("config/a", std::string(1048577, 'x'), 0).status == store_status::refused);
    CHECK(given.write("config/a", std::string(1048576, 'x'), 0).status == store_status::ok);
}

TEST(object_api_client, watch_returns_newer_objects_or_no_change) {
    fixture given;
    const store_replied first = given.write("config/a", "x", 0);
    const watch_ended initial = given.watch(0, 5s);
    LONGS_EQUAL(1, initial.objects.size());
    UNSIGNED_LONGS_EQUAL(first.object.version, initial.revision);
    const watch_ended unchanged = given.watch(initial.revision, 50ms);
    CHECK(unchanged.status == store_status::ok);
    CHECK(unchanged.objects.empty());
    UNSIGNED_LONGS_EQUAL(initial.revision, unchanged.revision);
    // WHEN an object is deleted
    standins::exchange_with(*given.control, "DELETE", given.store->address(),
                            "/v1/objects/config/a", "",
                            {"If-Match: " + std::to_string(first.object.version)});
    // THEN the watch returns it as deleted
    const watch_ended deleted = given.watch(unchanged.revision, 5s);
    LONGS_EQUAL(1, deleted.objects.size());
    CHECK(deleted.objects[0].deleted);
}

TEST(object_api_client, pending_watch_returns_on_a_write) {
    // GIVEN a pending watch
    fixture given;
    given.client->carry_out(watch_prefix{"config/", 0, 30s});
    // WHEN an object under its prefix is written
    given.client->carry_out(store_write{{component::documents, 1}, "config/a", "x", 0});
    // THEN the watch returns that object
    const auto received = given.events.wait_for(2);
    LONGS_EQUAL(2, received.size());
    const bool watch_first = std::holds_alternative<watch_ended>(received[0]);
    const auto& ended = std::get<watch_ended>(received[watch_first ? 0 : 1]);
    LONGS_EQUAL(1, ended.objects.size());
}

TEST(object_api_client, faults_of_a_watch) {
    struct row {
        const char* fault;
        store_status status;
    };

    const row rows[] = {{R"({"silent_watches":true})", store_status::unknown},
                        {R"({"down":true})", store_status::unknown},
                        {R"({"delay_ms":30000})", store_status::unknown},
                        {R"({"reads_per_second":1})", store_status::refused}};
    for (const row& expected : rows) {
        // GIVEN a store with the fault that has counted one read towards its rate limit
        fixture given;
        given.read("config/a");
        given.fault(expected.fault);
        // WHEN it is watched
        const watch_ended ended = given.watch(0, 50ms);
        // THEN the watch ends with the status of the fault
        CHECK(ended.status == expected.status);
        // THEN a new watch succeeds once the fault is cleared
        given.fault(R"({"silent_watches":false,"down":false,"delay_ms":0,"reads_per_second":0})");
        CHECK(given.watch(0, 50ms).status == store_status::ok);
    }
}

TEST(object_api_client, instance_list_contains_live_and_leaving) {
    fixture given;
    for (const char* body :
         {R"({"id":"a","address":"127.0.0.1:1","zone":"z1","role":"entry","state":"live"})",
          R"({"id":"b","address":"127.0.0.1:2","zone":"z2","role":"engines","state":"leaving"})",
          R"({"id":"c","address":"127.0.0.1:3","zone":"z2","role":"engines","state":"live"})",
          R"({"id":"c","state":"gone"})"}) {
        standins::exchange_with(*given.control, "POST", given.store->address(), "/_instances",
                                body);
    }
    const auto listed = std::get<instances_listed>(given.event_for(list_instances{}));
    const std::vector<listed_instance> expected{{"a", "127.0.0.1:1", {"z1"}, "entry", false},
                                                {"b", "127.0.0.1:2", {"z2"}, "engines", true}};
    CHECK(listed.status == store_status::ok);
    CHECK(listed.instances == expected);
    given.fault(R"({"down":true})");
    CHECK(std::get<instances_listed>(given.event_for(list_instances{})).status ==
          store_status::unknown);
}

// Guards against a limit on a response that depends neither on its size nor on its progress: a long
// list over a slow link was given up while it arrived, and begun anew.
TEST(object_api_client, a_long_list_or_watch_is_received_for_as_long_as_it_arrives) {
    for (const bool stops : {false, true}) {
        // GIVEN a store whose responses take over twice the limit of a call, or stop midway
        constexpr std::size_t parts = 10;
        std::atomic<bool> ended{false};
        const auto slow_store = std::move(
            standins::http_server::start({"127.0.0.1:0", 4}, [&](standins::exchange& current) {
                const std::string body =
                    current.request().path == "/v1/instances"
                        ? R"({"revision":7,"instances":[{"id":"a","address":"127.0.0.1:1",)"
                          R"("zone":"z1","role":"entry","state":"live"}]})"
                        : R"({"revision":7,"objects":[{"key":"config/a","version":7,"value":"x"}]})";
                const std::size_t size = body.size() / parts + 1;
                current.begin_stream(200, {"Content-Type: application/json"});
                for (std::size_t part = 0; part < (stops ? parts / 2 : parts); ++part) {
                    std::this_thread::sleep_for(100ms);
                    current.write_chunk(std::string_view(body).substr(part * size, size));
                }
                while (stops && !ended) {
                    std::this_thread::sleep_for(10ms);
                }
                current.end_stream();
            }).value());
        collector<event> events;
        const auto loop = std::move(http_loop::start().value());
        const auto client = std::move(
            object_api_client::start({slow_store->address(), "test", 400ms}, *loop,
                                     [&](event happened) { events.add(std::move(happened)); })
                .value());
        const store_status expected = stops ? store_status::unknown : store_status::ok;
        // WHEN the instances are listed and objects are watched
        const instant began = boot_clock::now();
        client->carry_out(list_instances{});
        const auto listed = std::get<instances_listed>(events.wait_for(1).at(0));
        client->carry_out(watch_prefix{"config/", 0, 50ms, 3});
        const auto watched = std::get<watch_ended>(events.wait_for(2).at(1));
        ended = true;
        // THEN both are received whole; responses that stop are given up within a second
        CHECK(listed.status == expected);
        CHECK(watched.status == expected);
        UNSIGNED_LONGS_EQUAL(3, watched.number);
        LONGS_EQUAL(stops ? 0 : 1, listed.instances.size());
        LONGS_EQUAL(stops ? 0 : 1, watched.objects.size());
        CHECK(boot_clock::now() - began < 2 * (parts / 2 * 100ms + 1000ms + 400ms));
    }
}

TEST(object_api_client, every_effect_ends_in_one_event_when_the_loop_ends) {
    // GIVEN effects without a response
    fixture given;
    given.fault(R"({"delay_ms":30000})");
    given.client->carry_out(store_read{{component::roster, 1}, "a"});
    given.client->carry_out(store_write{{component::roster, 2}, "a", "x", 0});
    given.client->carry_out(watch_prefix{"a", 0, 30s});
    given.client->carry_out(list_instances{});
    // WHEN the loop stops
    given.loop.reset();
    // THEN each effect has posted one event, and all are counted
    LONGS_EQUAL(4, given.events.wait_for(4).size());
    const object_api_counters counted = given.client->counters();
    UNSIGNED_LONGS_EQUAL(4, counted.reads + counted.writes + counted.watches + counted.lists);
}
