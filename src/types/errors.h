//! Typed errors, refusals and findings.
#pragma once

#include "types/time.h"

#include <string>
#include <vector>

#include <boost/outcome/outcome.hpp>

namespace cyclamenmount {

//! What is known about whether a refused or failed request was carried out.
enum class execution {
    not_run,       //!< nothing was sent to any stage
    may_have_run,  //!< something was sent; its effect is not known
    ran,           //!< it was carried out, at least in part
};

//! Why a request was refused or ended without a whole answer.
enum class refusal_reason {
    malformed,            //!< the request can't be parsed
    unauthenticated,      //!< no workspace has this key
    not_allowed,          //!< the plan may not use this pipeline or service
    unknown_target,       //!< no such pipeline, service or request
    too_large,            //!< the body is over the limit
    rate_limited,         //!< requests a second of the plan are used up
    concurrency_limited,  //!< concurrent requests of the plan are used up
    tokens_limited,       //!< tokens a minute of the plan are used up
    deadline_too_short,   //!< measured stage times say that it can't be met
    deadline_exceeded,    //!< the deadline passed
    overloaded,           //!< no capacity within the deadline
    no_upstream,          //!< no upstream in service
    key_required,         //!< a non-idempotent operation without an Idempotency-Key
    key_reused,           //!< the key was used with another body
    store_unavailable,    //!< the Object API can't record the call
    outcome_unknown,      //!< an earlier call with this key may have run
    quarantined,          //!< the request crashed the upstreams that ran it
    stopping,             //!< this instance is draining
    not_ready,            //!< this instance has no configuration or no quorum yet
    upstream_failed,      //!< every allowed attempt failed
    internal,             //!< a fault of this program
};

//! A typed refusal as it goes to the caller.
struct refusal {
    refusal_reason reason{refusal_reason::internal};
    execution state{execution::not_run};
    std::string detail;           //!< one short sentence
    std::string place;            //!< header, field or file:line; empty if none
    milliseconds retry_after{0};  //!< 0 if unknown
};

//! One finding of a check, with its place.
struct finding {
    std::string file;
    int line{0};  //!< from 1; 0 if the finding is about the whole file
    std::string message;

    auto operator<=>(const finding&) const = default;
};

using findings = std::vector<finding>;

//! A fault inside the program or at its edges that isn't a refusal to a caller.
enum class error_kind {
    timeout,      //!< no answer in time
    unreachable,  //!< connection refused, reset or closed
    protocol,     //!< the other end broke the protocol
    conflict,     //!< a conditional update lost
    missing,      //!< not found
    invalid,      //!< bad input
    system,       //!< a system call failed
};

struct error {
    error_kind kind{error_kind::system};
    std::string message;  //!< one short sentence
};

template <typename T>
using result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, error,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

//! A value, or everything that is wrong with the input.
template <typename T>
using checked =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, findings,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

//! A value, or the refusal that goes to the caller.
template <typename T>
using decided =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, refusal,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

}  // namespace cyclamenmount
