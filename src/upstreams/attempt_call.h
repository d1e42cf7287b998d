//! Parameters and result of one attempt of a stage at one upstream.
#pragma once

#include "types/configuration.h"
#include "types/events.h"

namespace cyclamenmount {

//! Parameters of one attempt.
struct attempt_call {
    attempt_id attempt;
    request_id request;
    stage_name stage;  //!< stage, or the operation of a service call
    workspace_name workspace;
    int priority{1};
    zone_name from_zone;

    upstream_id upstream;
    std::string address;  //!< IP:PORT
    pool_kind kind{pool_kind::stage};
    std::string input;    //!< text, or the unchanged JSON body of a service call
    int max_tokens{0};    //!< engines only
    int resume_from{0};   //!< engines only: index of the first requested token
    idempotency_key key;  //!< non-idempotent service calls only

    instant start_before;  //!< end of the start window: nothing is sent from this time on
    instant deadline;
};

//! Why an attempt failed.
enum class attempt_fault {
    none,
    window_passed,    //!< nothing was sent: the start window or the deadline had passed
    connect_failed,   //!< nothing was sent: no connection was established
    refused_not_run,  //!< 503 stating that nothing was executed
    error_status,     //!< any other HTTP status than 200
    misdirected,      //!< the response belongs to another request, stage or attempt
    duplicate_token,  //!< a token index was repeated
    out_of_order,     //!< a token index was skipped
    truncated,        //!< a token stream lacks its last line or differs from the count there
    malformed,        //!< the response isn't valid JSON or lacks a field
    too_large,        //!< the response exceeds a size limit
    connection_lost,  //!< no complete response: the connection ended, or what came isn't HTTP
    stalled,          //!< no data was received within the time limit
    deadline_passed,  //!< the deadline passed after the request was sent
    cancelled,        //!< cancelled by this process
};

//! Short description for logs and error details.
const char* name_of(attempt_fault fault);

//! Outcome of an attempt.
struct attempt_result {
    attempt_outcome outcome{attempt_outcome::not_started};
    attempt_fault fault{attempt_fault::none};
    bool sent{false};      //!< true if the request may have reached the upstream
    int status{0};         //!< HTTP status; 0 if no response was received
    std::string output;    //!< output of a stage or service call; engines deliver tokens
    int tokens{0};         //!< number of tokens accepted from the stream
    milliseconds busy{0};  //!< processing time as reported by the upstream
    milliseconds took{0};  //!< duration of the attempt
    //! Time to the first token, or to the first byte of a stage or service; 0 if none was received.
    milliseconds first_token{0};
    upstream_report report;  //!< load report of the response; its upstream id is empty if none
};

struct received_token {
    int index{0};
    std::string text;
};

}  // namespace cyclamenmount
