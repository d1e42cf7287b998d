//! One attempt of one stage against one upstream, as plain data.
#pragma once

#include "types/configuration.h"
#include "types/events.h"

namespace cyclamenmount {

//! What is sent to an upstream.
struct attempt_call {
    attempt_id attempt;
    request_id request;
    stage_name stage;  //!< of a service call the operation
    workspace_name workspace;
    int priority{1};
    zone_name from_zone;

    upstream_id upstream;
    std::string address;  //!< IP:PORT
    pool_kind kind{pool_kind::stage};
    std::string input;    //!< text; of a service call the JSON body as the caller sent it
    int max_tokens{0};    //!< engines only
    int resume_from{0};   //!< engines only: index of the first token wanted
    idempotency_key key;  //!< non-idempotent service calls only

    instant start_before;  //!< nothing is sent at or after this
    instant deadline;
};

//! What was wrong with an attempt.
enum class attempt_fault {
    none,
    window_passed,    //!< nothing was sent: the start window or the deadline had passed
    connect_failed,   //!< nothing was sent: no connection
    refused_not_run,  //!< 503 before any work
    error_status,     //!< an error answer
    misdirected,      //!< the answer belongs to another request, stage or attempt
    duplicate_token,  //!< a token index came twice
    out_of_order,     //!< a token index was skipped
    truncated,        //!< the answer ended before it was whole
    malformed,        //!< the answer can't be parsed
    too_large,        //!< the answer is over the limit
    connection_lost,  //!< reset or closed in the middle
    silent,           //!< no progress within the limit
    deadline_passed,  //!< ended at the deadline
    cancelled,        //!< ended by us
};

//! Short name for logs and details.
const char* name_of(attempt_fault fault);

//! How an attempt ended.
struct attempt_result {
    attempt_outcome outcome{attempt_outcome::not_started};
    attempt_fault fault{attempt_fault::none};
    bool sent{false};      //!< the request may have reached the upstream
    int status{0};         //!< HTTP status; 0 if none came
    std::string output;    //!< of stages and services
    int tokens{0};         //!< accepted from a stream
    milliseconds busy{0};  //!< as the upstream told
    milliseconds took{0};
    milliseconds first_token{0};  //!< of a stage or service the first byte; 0 if none came
    upstream_report report;       //!< upstream empty if none came
};

struct received_token {
    int index{0};
    std::string text;
};

}  // namespace cyclamenmount
