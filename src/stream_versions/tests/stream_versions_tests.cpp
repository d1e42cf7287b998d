#include "stream_versions/stream_versions.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

const pool_name engines{"engines"};
const software_version v1{"v1"};
const software_version v2{"v2"};
constexpr instant start{milliseconds(1'000'000)};

serving_upstream make_upstream(const char* id, const software_version& version) {
    serving_upstream upstream;
    upstream.id.value = id;
    upstream.pool = engines;
    upstream.address = "127.0.0.1:1";
    upstream.version = version;
    return upstream;
}

route make_route(const char* prefix, bool is_resumable, milliseconds timeout) {
    route made;
    made.name = made.path_prefix = prefix;
    made.kind = request_kind::stream;
    made.is_resumable = is_resumable;
    made.timeout = timeout;
    made.pools = {{engines, 1}};
    return made;
}

}  // namespace

TEST_GROUP(stream_versions){};

TEST(stream_versions, a_stream_of_a_pool_with_one_version_needs_no_record) {
    // GIVEN
    const stored_streams stored{{{engines, {v1}}}, {}};
    // WHEN
    const auto origin = find_origin(stored, stream_key("a"), {engines});
    // THEN
    CHECK_TRUE(origin == (stream_origin{engines, v1}));
    CHECK_FALSE(needs_records(stored.versions, {}, engines));
}

TEST(stream_versions, an_unrecorded_stream_of_a_pool_with_two_versions_is_not_guessed) {
    // GIVEN
    const stored_streams stored{{{engines, {v1, v2}}}, {{stream_key("a"), {engines, v2}}}};
    // THEN
    CHECK_TRUE(find_origin(stored, stream_key("a"), {engines}) == (stream_origin{engines, v2}));
    CHECK_FALSE(find_origin(stored, stream_key("b"), {engines}).has_value());
    CHECK_TRUE(needs_records(stored.versions, {}, engines));
}

TEST(stream_versions, a_record_goes_before_the_only_version_of_the_pool) {
    // GIVEN a version that was removed while the record of its stream is still there
    const stored_streams stored{{{engines, {v2}}}, {{stream_key("a"), {engines, v1}}}};
    // THEN
    CHECK_TRUE(find_origin(stored, stream_key("a"), {engines}) == (stream_origin{engines, v1}));
}

TEST(stream_versions, a_pool_without_registered_versions_has_no_known_origin) {
    CHECK_FALSE(find_origin(stored_streams{}, stream_key("a"), {engines}).has_value());
    CHECK_TRUE(needs_records({}, {}, engines));
}

TEST(stream_versions, own_records_are_found_until_they_expire) {
    // GIVEN
    stream_records records;
    add_record(records, {stream_key("a"), {engines, v1}, start});
    add_record(records, {stream_key("b"), {engines, v2}, start + 5s});
    // WHEN
    expire_records(records, start + 1s);
    // THEN
    CHECK_FALSE(find_origin(records, stream_key("a")).has_value());
    CHECK_TRUE(find_origin(records, stream_key("b")) == (stream_origin{engines, v2}));
}

TEST(stream_versions, records_are_bounded) {
    // GIVEN
    constexpr int many = 10'000;
    stream_records records;
    // WHEN
    for (int i = 0; i < many; ++i) {
        add_record(records, {stream_key(std::to_string(i)), {engines, v1}, start});
    }
    // THEN
    CHECK_TRUE(records.recent.size() < many);
    CHECK_TRUE(find_origin(records, stream_key(std::to_string(many - 1))).has_value());
}

TEST(stream_versions, only_pools_of_resumable_routes_are_registered) {
    // GIVEN a route that isn't resumable
    auto config = std::make_shared<serving_config>();
    config->routes = {make_route("/a/", false, 1s)};
    fleet_view view;
    view.pools[engines] = {make_upstream("u1", v1), make_upstream("u2", v2)};
    view.config = config;
    CHECK_TRUE(versions_in_use(view).empty());
    // WHEN
    config->routes.push_back(make_route("/b/", true, 1s));
    // THEN
    CHECK_TRUE(versions_in_use(view) == (pool_versions{{engines, {v1, v2}}}));
}

TEST(stream_versions, the_time_to_take_up_a_stream_follows_the_resumable_routes) {
    // GIVEN
    serving_config config;
    config.routes = {make_route("/a/", false, 60s)};
    CHECK_TRUE(take_up_time(config) == 0ms);
    // WHEN
    config.routes.push_back(make_route("/b/", true, 5s));
    // THEN
    CHECK_TRUE(take_up_time(config) >= 10s);
    CHECK_TRUE(take_up_time(config) < 60s);
}

TEST(stream_versions, a_version_is_retired_only_after_its_upstreams_were_gone_for_long) {
    // GIVEN a process that has just started: v1 may have left a moment ago
    const version_register registered{{{engines, {v1, v2}}}, {}};
    version_sightings sightings;
    record_sightings(sightings, registered.versions, {{engines, {v2}}}, start);
    CHECK_TRUE(versions_to_retire(sightings, registered, 10s, start + 9s).empty());
    // WHEN
    record_sightings(sightings, registered.versions, {{engines, {v2}}}, start + 10s);
    // THEN
    CHECK_TRUE(versions_to_retire(sightings, registered, 10s, start + 10s) ==
               (pool_versions{{engines, {v1}}}));
    // AND none is removed before it was retired
    CHECK_TRUE(versions_to_remove(sightings, registered, 10s, start + 60s).empty());
    // AND a version that is back stays
    record_sightings(sightings, registered.versions, {{engines, {v1, v2}}}, start + 11s);
    CHECK_TRUE(versions_to_retire(sightings, registered, 10s, start + 12s).empty());
}

TEST(stream_versions, a_retired_version_is_removed_only_after_all_instances_have_learned_of_it) {
    // GIVEN a version whose upstreams were gone for long before it was found retired
    const version_register registered{{{engines, {v1, v2}}}, {{engines, {v1}}}};
    const pool_versions present{{engines, {v2}}};
    version_sightings sightings;
    record_sightings(sightings, registered.versions, present, start);
    record_retirement(sightings, registered.retired, start + 60s);
    // THEN it is kept for as long again
    CHECK_TRUE(versions_to_remove(sightings, registered, 10s, start + 69s).empty());
    CHECK_TRUE(versions_to_remove(sightings, registered, 10s, start + 70s) == registered.retired);
    // AND one that is back meanwhile stays
    record_sightings(sightings, registered.versions, registered.versions, start + 69s);
    CHECK_TRUE(versions_to_remove(sightings, registered, 10s, start + 70s).empty());
}

TEST(stream_versions, a_version_that_was_registered_again_is_not_removed) {
    // GIVEN versions that an instance takes for absent or retired
    const obsolete_versions obsolete{{{engines, {v2}}}, {{engines, {v1}}}};
    // WHEN another instance has registered the retired one again
    version_register registered{{{engines, {v1, v2}}}, {}};
    apply_obsolete(registered, obsolete);
    // THEN it stays, and the absent one is retired first
    CHECK_TRUE(registered == (version_register{{{engines, {v1, v2}}}, {{engines, {v2}}}}));
    CHECK_TRUE(active_versions(registered) == (pool_versions{{engines, {v1}}}));
    // AND a retired one is removed
    apply_obsolete(registered, {{}, {{engines, {v2}}}});
    CHECK_TRUE(registered == (version_register{{{engines, {v1}}}, {}}));
}

TEST(stream_versions, the_last_active_version_of_a_pool_is_never_retired) {
    // GIVEN
    const version_register registered{{{engines, {v1, v2}}}, {{engines, {v2}}}};
    version_sightings sightings;
    // WHEN
    record_sightings(sightings, registered.versions, {}, start);
    // THEN
    CHECK_TRUE(versions_to_retire(sightings, registered, 10s, start + 60s).empty());
}

TEST(stream_versions, versions_are_merged_and_subtracted_by_pool) {
    // GIVEN
    const pool_name other{"other"};
    pool_versions versions{{engines, {v1}}};
    // WHEN
    merge(versions, {{engines, {v2}}, {other, {v1}}});
    // THEN
    CHECK_TRUE(versions == (pool_versions{{engines, {v1, v2}}, {other, {v1}}}));
    CHECK_TRUE(difference(versions, {{engines, {v2}}}) ==
               (pool_versions{{engines, {v1}}, {other, {v1}}}));
}

TEST(stream_versions, leaving_upstreams_count_as_present) {
    // GIVEN
    fleet_state fleet;
    serving_upstream leaving = make_upstream("u1", v1);
    leaving.is_leaving = true;
    fleet.upstreams[leaving.id] = {leaving, 1, false, false, {}};
    // THEN
    CHECK_TRUE(versions_present(fleet) == (pool_versions{{engines, {v1}}}));
}

TEST(stream_versions, streams_begin_once_a_version_of_each_pool_is_registered) {
    // GIVEN
    auto config = std::make_shared<serving_config>();
    config->routes = {make_route("/a/", true, 1s)};
    fleet_view view;
    view.config = config;
    CHECK_TRUE(can_begin_streams(view));
    // WHEN
    view.pools[engines] = {make_upstream("u1", v1), make_upstream("u2", v2)};
    CHECK_FALSE(can_begin_streams(view));
    view.stream_versions[engines] = {v2};
    // THEN
    CHECK_TRUE(can_begin_streams(view));
}

TEST(stream_versions, a_pool_with_a_forgotten_version_needs_records_until_it_is_absent) {
    // GIVEN
    version_register registered{{{engines, {v1}}}, {}};
    add_forgotten_version(registered);
    CHECK_TRUE(needs_records(registered.versions, {}, engines));
    CHECK_FALSE(find_origin(stored_streams{registered.versions, {}}, stream_key("a"), {engines})
                    .has_value());
    // AND it begins none
    CHECK_TRUE(active_versions(registered) == (pool_versions{{engines, {v1}}}));
    // WHEN
    version_sightings sightings;
    record_sightings(sightings, registered.versions, {{engines, {v1}}}, start);
    record_sightings(sightings, registered.versions, {{engines, {v1}}}, start + 10s);
    // THEN
    CHECK_TRUE(difference(registered.versions,
                          versions_to_remove(sightings, registered, 10s, start + 10s)) ==
               (pool_versions{{engines, {v1}}}));
}

TEST(stream_versions, a_stream_without_a_record_needs_one_version_in_all_its_pools) {
    // GIVEN two pools of one version each, and one that has begun no stream
    const pool_name other{"other"};
    const pool_name unused{"unused"};
    const stored_streams stored{{{engines, {v1}}, {other, {v1}}}, {{stream_key("a"), {other, v1}}}};
    // THEN the version is known only if one pool comes into question
    CHECK_TRUE(find_origin(stored, stream_key("b"), {engines}) == (stream_origin{engines, v1}));
    CHECK_TRUE(find_origin(stored, stream_key("b"), {engines, unused}) ==
               (stream_origin{engines, v1}));
    CHECK_FALSE(find_origin(stored, stream_key("b"), {engines, other}).has_value());
    CHECK_TRUE(find_origin(stored, stream_key("a"), {engines, other}) ==
               (stream_origin{other, v1}));
    CHECK_FALSE(needs_records(stored.versions, {}, engines));
    CHECK_TRUE(needs_records(stored.versions, {engines, other}, engines));
}

TEST(stream_versions, the_pools_of_a_route_include_those_it_led_to_lately) {
    // GIVEN a route that leads to one pool, and one that isn't resumable and leads to two
    const pool_name other{"other"};
    serving_config config;
    config.routes = {make_route("/a/", true, 1s), make_route("/b/", false, 1s)};
    config.routes.back().pools.push_back({other, 1});
    route_pools known;
    record_route_pools(known, config, 10s, start);
    CHECK_TRUE(shared_pools(known).empty());
    CHECK_TRUE(pools_of(known, "/a/", engines) == (std::set{engines}));
    // WHEN it is moved to the other pool
    config.routes.front().pools = {{other, 1}};
    record_route_pools(known, config, 10s, start + 10s);
    // THEN its streams may be of both
    CHECK_TRUE(shared_pools(known) == (std::set{engines, other}));
    CHECK_TRUE(pools_of(known, "/a/", other) == (std::set{engines, other}));
    // AND of the new one alone once those of the old one can't be taken up any more
    record_route_pools(known, config, 10s, start + 11s);
    CHECK_TRUE(shared_pools(known).empty());
    CHECK_TRUE(pools_of(known, "/a/", other) == (std::set{other}));
}

// Guards against instances of two architectures that look for a stream under different names.
TEST(stream_versions, the_key_of_a_stream_is_the_same_on_all_architectures) {
    // GIVEN attempts; WHEN their keys are formed, THEN the results are fixed
    STRCMP_EQUAL("38f760f41870", stream_key("a-1").c_str());
    STRCMP_EQUAL("6034d1df4eca", stream_key(std::string(300, '\xfe')).c_str());
}
