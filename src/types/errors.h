//! Typed errors, refusals and findings.
#pragma once

#include "types/time.h"

#include <string>
#include <vector>

#include <boost/outcome/outcome.hpp>

namespace cyclamenmount {

//! Whether a refused or failed request was carried out, as far as known.
enum class execution {
    not_run,       //!< nothing was sent to an upstream
    may_have_run,  //!< a call was sent to an upstream; its effect is unknown
    ran,           //!< the request was carried out, at least in part
};

//! Why a request was refused or ended without a complete response.
enum class refusal_reason {
    malformed,            //!< the request can't be parsed
    unauthenticated,      //!< no workspace has this key
    not_allowed,          //!< the plan may not use this pipeline or service
    unknown_target,       //!< no such pipeline, service or request
    too_large,            //!< the body is over the limit
    rate_limited,         //!< over the plan's limit of requests per second
    concurrency_limited,  //!< over the plan's limit of concurrent requests
    tokens_limited,       //!< over the plan's limit of tokens per minute
    deadline_too_short,   //!< the deadline is shorter than the expected stage times
    deadline_exceeded,    //!< the deadline passed before the response was complete
    overloaded,           //!< no capacity in time, or a queue is full
    no_upstream,          //!< no usable upstream in service
    key_required,         //!< non-idempotent operation without an Idempotency-Key
    key_reused,           //!< the Idempotency-Key was used with another body
    store_unavailable,    //!< the call can't be recorded in the Object API
    outcome_unknown,      //!< an earlier call with this key may have run
    quarantined,          //!< the request crashed the upstreams that ran it
    stopping,             //!< this instance is draining
    not_ready,            //!< no configuration, no quorum or stale state
    upstream_failed,      //!< all permitted attempts failed
    internal,             //!< a bug in this program
};

//! A refusal as sent to the caller.
struct refusal {
    refusal_reason reason{refusal_reason::internal};
    execution state{execution::not_run};
    std::string detail;           //!< one short sentence
    std::string place;            //!< header, field or file:line at fault; empty if none
    milliseconds retry_after{0};  //!< 0 if unknown
};

//! An error found in an input file, with its position.
struct finding {
    std::string file;
    int line{0};  //!< line number from 1; 0 for the whole file
    std::string message;

    auto operator<=>(const finding&) const = default;
};

using findings = std::vector<finding>;

//! Kinds of internal and I/O errors, as opposed to refusals sent to a caller.
enum class error_kind {
    timeout,      //!< no response in time
    unreachable,  //!< connection refused, reset or closed
    protocol,     //!< the remote end violated the protocol
    conflict,     //!< a conditional update failed: the version had changed
    missing,      //!< not found
    invalid,
    system,  //!< a system call failed
};

struct error {
    error_kind kind{error_kind::system};
    std::string message;  //!< one short sentence
};

template <typename T>
using result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, error,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

//! A value, or all errors found in the input.
template <typename T>
using checked =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, findings,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

//! A value, or the refusal to send to the caller.
template <typename T>
using decided =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, refusal,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

}  // namespace cyclamenmount
