#include "platform/platform_client.h"
#include "standins/common/testing.h"
#include "standins/object_api/object_api.h"

#include <memory>
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
    std::unique_ptr<platform_client> client = std::move(
        platform_client::start({store->address(), "test", 400ms}, *loop, [this](event happened) {
            events.add(std::move(happened));
        }).value());

    template <typename Effect>
    event answer_to(const Effect& wanted) {
        client->carry_out(wanted);
        return next();
    }

    event next() {
        ++expected;
        const auto came = events.wait_for(expected);
        CHECK(came.size() == expected);
        return came.back();
    }

    store_replied write(const std::string& key, const std::string& value, object_version version) {
        return std::get<store_replied>(
            answer_to(store_write{{part::documents, 1}, key, value, version}));
    }

    store_replied read(const std::string& key) {
        return std::get<store_replied>(answer_to(store_read{{part::documents, 2}, key}));
    }

    watch_ended watch(object_version after, milliseconds timeout) {
        return std::get<watch_ended>(answer_to(watch_prefix{"config/", after, timeout}));
    }

    void fault(const std::string& body) {
        standins::exchange_with(*control, "POST", store->address(), "/_fault", body);
    }
};

}  // namespace

// clang-format off
TEST_GROUP(platform_contract) {};

// clang-format on

TEST(platform_contract, conditional_updates_and_reads) {
    fixture given;
    CHECK(given.read("config/plans").status == store_status::missing);
    // GIVEN an object that was created
    const store_replied created = given.write("config/plans", "one", 0);
    CHECK(created.status == store_status::ok);
    // WHEN two writers expect the same version
    const store_replied first = given.write("config/plans", "two", created.object.version);
    const store_replied second = given.write("config/plans", "three", created.object.version);
    // THEN one wins and the other is told the present version
    CHECK(first.status == store_status::ok);
    CHECK(second.status == store_status::conflict);
    UNSIGNED_LONGS_EQUAL(first.object.version, second.object.version);
    CHECK(given.write("config/plans", "four", 0).status == store_status::conflict);
    STRCMP_EQUAL("two", given.read("config/plans").object.value.c_str());
    STRCMP_EQUAL("config/plans", given.read("config/plans").object.key.c_str());
}

TEST(platform_contract, keys_and_values_arrive_as_they_are) {
    fixture given;
    const std::string key = "once/shard 7/\xC3\xA9?&#%2F+";
    const std::string value = "line\n\"quoted\" \xC3\xA9 & more";
    CHECK(given.write(key, value, 0).status == store_status::ok);
    STRCMP_EQUAL(value.c_str(), given.read(key).object.value.c_str());
}

TEST(platform_contract, faults_of_a_write) {
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
        // GIVEN a store that has used one write, with the fault
        fixture given;
        const store_replied created = given.write("config/a", "old", 0);
        given.fault(expected.fault);
        // WHEN a write is carried out
        const store_replied replied = given.write("config/a", "new", created.object.version);
        given.fault(R"({"down":false,"writes_per_second":0,"delay_ms":0})");
        // THEN its status claims no more than is known
        CHECK(replied.status == expected.status);
        const char* value = expected.takes_effect ? "new" : "old";
        STRCMP_EQUAL(value, given.read("config/a").object.value.c_str());
    }
}

TEST(platform_contract, lost_answer_on_a_used_connection_is_not_repeated) {
    // GIVEN a connection that reads have kept open
    fixture given;
    const store_replied created = given.write("config/a", "old", 0);
    given.read("config/a");
    // WHEN the answer to a write is lost after it took effect
    given.fault(R"({"lose_answers":1})");
    const store_replied replied = given.write("config/a", "new", created.object.version);
    // THEN the outcome is unknown, not a conflict with the own write
    CHECK(replied.status == store_status::unknown);
    UNSIGNED_LONGS_EQUAL(created.object.version + 1, given.read("config/a").object.version);
}

TEST(platform_contract, nothing_was_written_where_nobody_listens) {
    fixture given;
    given.store.reset();
    CHECK(given.write("config/a", "x", 0).status == store_status::refused);
    CHECK(given.read("config/a").status == store_status::unknown);
}

TEST(platform_contract, value_over_a_megabyte_is_refused) {
    fixture given;
    CHECK(given.write("config/a", std::string(1048577, 'x'), 0).status == store_status::refused);
    CHECK(given.write("config/a", std::string(1048576, 'x'), 0).status == store_status::ok);
}

TEST(platform_contract, watch_tells_newer_objects_or_that_nothing_changed) {
    fixture given;
    const store_replied first = given.write("config/a", "x", 0);
    const watch_ended at_once = given.watch(0, 5s);
    LONGS_EQUAL(1, at_once.objects.size());
    UNSIGNED_LONGS_EQUAL(first.object.version, at_once.revision);
    const watch_ended quiet = given.watch(at_once.revision, 50ms);
    CHECK(quiet.status == store_status::ok);
    CHECK(quiet.objects.empty());
    UNSIGNED_LONGS_EQUAL(at_once.revision, quiet.revision);
    // WHEN an object is deleted
    standins::exchange_with(*given.control, "DELETE", given.store->address(),
                            "/v1/objects/config/a", "",
                            {"If-Match: " + std::to_string(first.object.version)});
    // THEN the watch says so
    const watch_ended deleted = given.watch(quiet.revision, 5s);
    LONGS_EQUAL(1, deleted.objects.size());
    CHECK(deleted.objects[0].deleted);
}

TEST(platform_contract, waiting_watch_wakes_on_a_write) {
    // GIVEN a watch that waits
    fixture given;
    given.client->carry_out(watch_prefix{"config/", 0, 30s});
    // WHEN an object under its prefix is written
    given.client->carry_out(store_write{{part::documents, 1}, "config/a", "x", 0});
    // THEN it ends with that object
    const auto came = given.events.wait_for(2);
    LONGS_EQUAL(2, came.size());
    const bool watch_first = std::holds_alternative<watch_ended>(came[0]);
    const auto& ended = std::get<watch_ended>(came[watch_first ? 0 : 1]);
    LONGS_EQUAL(1, ended.objects.size());
}

TEST(platform_contract, faults_of_a_watch) {
    struct row {
        const char* fault;
        store_status status;
    };

    const row rows[] = {{R"({"silent_watches":true})", store_status::unknown},
                        {R"({"down":true})", store_status::unknown},
                        {R"({"delay_ms":30000})", store_status::unknown},
                        {R"({"reads_per_second":1})", store_status::refused}};
    for (const row& expected : rows) {
        // GIVEN a store with the fault, which has used one read
        fixture given;
        given.read("config/a");
        given.fault(expected.fault);
        // WHEN it is watched
        const watch_ended ended = given.watch(0, 50ms);
        // THEN the watch ends and tells nothing
        CHECK(ended.status == expected.status);
        // and a new one works once the fault is over
        given.fault(R"({"silent_watches":false,"down":false,"delay_ms":0,"reads_per_second":0})");
        CHECK(given.watch(0, 50ms).status == store_status::ok);
    }
}

TEST(platform_contract, instance_list_shows_live_and_leaving) {
    fixture given;
    for (const char* body :
         {R"({"id":"a","address":"127.0.0.1:1","zone":"z1","role":"entry","state":"live"})",
          R"({"id":"b","address":"127.0.0.1:2","zone":"z2","role":"engines","state":"leaving"})",
          R"({"id":"c","address":"127.0.0.1:3","zone":"z2","role":"engines","state":"live"})",
          R"({"id":"c","state":"gone"})"}) {
        standins::exchange_with(*given.control, "POST", given.store->address(), "/_instances",
                                body);
    }
    const auto listed = std::get<instances_listed>(given.answer_to(list_instances{}));
    const std::vector<listed_instance> expected{{"a", "127.0.0.1:1", {"z1"}, "entry", false},
                                                {"b", "127.0.0.1:2", {"z2"}, "engines", true}};
    CHECK(listed.status == store_status::ok);
    CHECK(listed.instances == expected);
    given.fault(R"({"down":true})");
    CHECK(std::get<instances_listed>(given.answer_to(list_instances{})).status ==
          store_status::unknown);
}

TEST(platform_contract, every_effect_ends_in_one_event_when_the_loop_ends) {
    // GIVEN effects that get no answer
    fixture given;
    given.fault(R"({"delay_ms":30000})");
    given.client->carry_out(store_read{{part::roster, 1}, "a"});
    given.client->carry_out(store_write{{part::roster, 2}, "a", "x", 0});
    given.client->carry_out(watch_prefix{"a", 0, 30s});
    given.client->carry_out(list_instances{});
    // WHEN the loop ends
    given.loop.reset();
    // THEN each has its event, and all are counted
    LONGS_EQUAL(4, given.events.wait_for(4).size());
    const platform_counters counted = given.client->counters();
    UNSIGNED_LONGS_EQUAL(4, counted.reads + counted.writes + counted.watches + counted.lists);
}
