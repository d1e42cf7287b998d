//! JSON conversions of peer messages.
#pragma once

#include "codec/internal/json_basic.h"

namespace cyclamenmount {

NLOHMANN_JSON_SERIALIZE_ENUM(permit_verdict,
                             {{permit_verdict::no_home, "no_home"},
                              {permit_verdict::granted, "granted"},
                              {permit_verdict::running, "running"},
                              {permit_verdict::done, "done"},
                              {permit_verdict::unknown_outcome, "unknown_outcome"},
                              {permit_verdict::key_reused, "key_reused"},
                              {permit_verdict::store_unavailable, "store_unavailable"}})
NLOHMANN_JSON_SERIALIZE_ENUM(claim_verdict, {{claim_verdict::no_home, "no_home"},
                                             {claim_verdict::run, "run"},
                                             {claim_verdict::join, "join"},
                                             {claim_verdict::key_reused, "key_reused"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ping, from, sequence, versions, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(pong, sequence, versions)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(roster_notice, value, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(document_request, name, have)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(document_notice, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(emergency_notice, orders)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cold_notice, upstream, incarnation, sign)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(report_notice, generation, reports)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(slot_request, upstream, attempt, lasts_at_most, waits_at_most)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(slot_reply, generation, upstream, attempt, granted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(slot_release, upstream, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(holdings_request, generation, upstream)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(held_attempt, attempt, lasts_at_most, restartable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(holdings_reply, generation, upstream, attempts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cancel_notice, generation, upstream, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(workspace_demand, workspace, requests_per_second, concurrent,
                                   running, tokens_per_minute)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(share_report, generation, demands, sequence, applied)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(workspace_share, workspace, requests_per_second, concurrent,
                                   tokens_per_minute)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(share_grant, generation, shares, sequence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(permit_request, number, workspace, key, body, pool, operation,
                                   waits_at_most)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(call_outcome, known, status, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(permit_reply, generation, number, verdict, permit, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(permit_return, workspace, key, permit)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(permit_outcome, workspace, key, permit, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_request, number, workspace, key, body, request,
                                   lasts_at_most)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(finished_stage, stage, output)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_reply, generation, number, verdict, request, runner,
                                   finished_stages)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_progress, workspace, key, request, stage)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_end, workspace, key, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(suspect, body, died, cleared)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(suspects_notice, suspects)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(trial_request, number, body, attempt, lasts_at_most)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(trial_reply, generation, number, attempt, granted, quarantined)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(trial_end, body, attempt, died, incarnation)
NLOHMANN_JSON_SERIALIZE_ENUM(pieces_verdict, {{pieces_verdict::failed, "failed"},
                                              {pieces_verdict::made, "made"},
                                              {pieces_verdict::overloaded, "overloaded"},
                                              {pieces_verdict::input_lost, "input_lost"},
                                              {pieces_verdict::no_upstream, "no_upstream"},
                                              {pieces_verdict::not_ready, "not_ready"},
                                              {pieces_verdict::returned, "returned"}})
// Instances of an earlier version don't send the crash key or the workspace.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(pieces_request, number, pool, request, stage,
                                                pieces, key, inputs, result_bytes, aim_in,
                                                needed_in, priority, depth, zone, bytes_to_zone,
                                                address, crash_key, workspace)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(pieces_cancel, pool, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(pieces_withdraw, pool, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(pieces_release, pool, results)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(beyond_share_waits, workspaces, call_waits,
                                                memory_waits, drained_in)
// Instances of an earlier version don't send the queueing times, or not those beyond a share.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(pieces_reply, number, verdict, results, zone,
                                                retry_after, pool_wait, call_waits, memory_waits,
                                                drained_in, beyond_share)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(upstream_limit_notice, upstream, incarnation, limited,
                                   requests_per_second)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(topic_position, name, version)
// Instances of an earlier version don't send the observations.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(news_request, from, sequence, known, reports)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(change_page, base, version, text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(topic_update, name, version, age, changes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(news_reply, sequence, topics, reports)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(origins_request, from, sequence, streams)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(recorded_stream, key, pool, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(origins_reply, sequence, streams)
NLOHMANN_JSON_SERIALIZE_ENUM(rollout_step, {{rollout_step::comparing, "comparing"},
                                            {rollout_step::moving, "moving"},
                                            {rollout_step::closing, "closing"},
                                            {rollout_step::completed, "completed"},
                                            {rollout_step::rolled_back, "rolled_back"}})

// An array, as a report holds many of them.
inline void to_json(nlohmann::json& out, const version_results& value) {
    out = nlohmann::json::array({value.route, value.is_target, value.requests, value.bad,
                                 value.first_event, value.longest_gap, value.plain});
}

inline void from_json(const nlohmann::json& in, version_results& value) {
    in.at(0).get_to(value.route);
    in.at(1).get_to(value.is_target);
    in.at(2).get_to(value.requests);
    in.at(3).get_to(value.bad);
    in.at(4).get_to(value.first_event);
    in.at(5).get_to(value.longest_gap);
    in.at(6).get_to(value.plain);
}

// Field names of other messages, since few one-byte names are left.
inline void to_json(nlohmann::json& out, const rollout_report& value) {
    out = {{"from", value.from},     {"pool", value.pool},      {"key", value.order},
           {"age", value.age},       {"stage", value.step},     {"in_flight", value.open_at_others},
           {"reason", value.reason}, {"results", value.results}};
}

inline void from_json(const nlohmann::json& in, rollout_report& value) {
    in.at("from").get_to(value.from);
    in.at("pool").get_to(value.pool);
    in.at("key").get_to(value.order);
    in.at("age").get_to(value.age);
    in.at("stage").get_to(value.step);
    in.at("in_flight").get_to(value.open_at_others);
    in.at("reason").get_to(value.reason);
    in.at("results").get_to(value.results);
}

inline void to_json(nlohmann::json& out, const rollout_notice& value) {
    out = {{"from", value.from}, {"pool", value.pool},  {"key", value.order},
           {"age", value.age},   {"stage", value.step}, {"reason", value.reason}};
}

inline void from_json(const nlohmann::json& in, rollout_notice& value) {
    in.at("from").get_to(value.from);
    in.at("pool").get_to(value.pool);
    in.at("key").get_to(value.order);
    in.at("age").get_to(value.age);
    in.at("stage").get_to(value.step);
    in.at("reason").get_to(value.reason);
}

void to_json(nlohmann::json& out, const peer_message& message);
void from_json(const nlohmann::json& in, peer_message& message);

}  // namespace cyclamenmount
