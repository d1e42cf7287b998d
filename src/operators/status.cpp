#include "operators/operator_server.h"
#include "types/enum_names.h"

namespace cyclamenmount {

namespace {

using nlohmann::json;

json describe(const known_versions& versions) {
    return {
        {"generation", versions.generation},
        {"settled", versions.settled},
        {"plans", versions.plans},
        {"allowances", versions.allowances},
        {"availability", versions.availability},
        {"emergency_digest", versions.emergency_digest},
        {"quarantine_digest", versions.quarantine_digest},
    };
}

json describe_roster(const control_state& state, instant now) {
    json listed = json::array();
    for (const auto& one : members(state.roster)) {
        const auto peer = state.roster.peers.find(one.id);
        json entry = {{"id", one.id.value}, {"address", one.address}, {"zone", one.zone.value}};
        if (one.id == state.env.self.id) {
            entry["self"] = true;
        } else if (peer != state.roster.peers.end()) {
            entry["heard_ms_ago"] = (now - peer->second.last_answered_ping_at).count();
        }
        listed.push_back(std::move(entry));
    }
    return {{"generation", generation(state.roster)},
            {"settled", state.roster.newest.settled},
            {"hears_majority", has_quorum(state.roster, state.env.timing.owner_lease, now)},
            {"members", std::move(listed)}};
}

json describe_upstream(const control_state& state, const upstream_state& upstream, instant now) {
    const auto owner = owner_of(state.roster, ownership_key(upstream.id));
    return {
        {"id", upstream.id.value},
        {"pool", upstream.pool.value},
        {"zone", upstream.zone.value},
        {"address", upstream.address},
        {"incarnation", upstream.report.incarnation},
        {"condition", enum_name(upstream.report.condition)},
        {"needs_slot", needs_slot(upstream, state.env, now)},
        {"out", is_out_of_service(state.documents, upstream.zone, upstream.id)},
        {"leaving", upstream.listed_leaving},
        {"home", owner.has_value() ? owner->id.value : ""},
    };
}

json describe_quarantine(const control_state& state) {
    json listed = json::array();
    for (const auto& [body, one] : state.quarantine.suspects) {
        listed.push_back({{"fingerprint", body.value},
                          {"died", one.died},
                          {"cleared", one.cleared},
                          {"quarantined", is_quarantined(state.quarantine, body)}});
    }
    return listed;
}

json describe_out_of_service(const documents_state& documents) {
    json zones = json::array();
    for (const auto& zone : documents.out_of_service.zones) {
        zones.push_back(zone.value);
    }
    json upstreams = json::array();
    for (const auto& upstream : documents.out_of_service.upstreams) {
        upstreams.push_back(upstream.value);
    }
    json emergency = json::array();
    for (const auto& [operation, order] : documents.emergency) {
        emergency.push_back({{"operation", operation},
                             {"zone", order.zone.value},
                             {"upstream", order.upstream.value},
                             {"who", order.who},
                             {"reason", order.reason}});
    }
    return {{"zones", zones}, {"upstreams", upstreams}, {"not_yet_recorded", emergency}};
}

}  // namespace

json describe_changes(std::span<const change_record> changes) {
    json listed = json::array();
    for (const auto& change : changes) {
        listed.push_back({{"operation", change.operation},
                          {"who", change.who},
                          {"reason", change.reason},
                          {"what", change.what},
                          {"at_ms", change.at_ms},
                          {"base", change.base}});
    }
    return listed;
}

json describe_versions(const control_state& state) {
    json peers = json::object();
    for (const auto& [id, versions] : state.documents.peer_versions) {
        peers[id.value] = describe(versions);
    }
    json listed = json::array();
    for (const auto& one : members(state.roster)) {
        listed.push_back(one.id.value);
    }
    return {{"self", state.env.self.id.value},
            {"versions", describe(versions_of(state))},
            {"members", std::move(listed)},
            {"peers", std::move(peers)}};
}

json describe_status(const control_state& state, instant now) {
    json upstreams = json::array();
    for (const auto& [id, upstream] : state.slots.upstreams) {
        upstreams.push_back(describe_upstream(state, upstream, now));
    }
    json histories = json::object();
    for (const auto& [name, held] : state.documents.documents_in_force) {
        histories[name] = {{"version", held.version}, {"changes", describe_changes(held.changes)}};
    }
    return {
        {"instance", state.env.self.id.value},
        {"zone", state.env.self.zone.value},
        {"ready", is_ready(state.admission, state.roster, state.documents)},
        {"stopping", state.admission.stopping},
        {"running", state.admission.running.size()},
        {"roster", describe_roster(state, now)},
        {"documents", std::move(histories)},
        {"out", describe_out_of_service(state.documents)},
        {"upstreams", std::move(upstreams)},
        {"quarantine", describe_quarantine(state)},
        {"vouched", is_availability_fresh(state.documents, state.env, state.roster, now)},
    };
}

}  // namespace cyclamenmount
