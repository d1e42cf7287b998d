//! Phases of the stop of an instance.
//!
//! A pure state machine. An instance may exit only when it holds no request and admits none, so
//! that no request is passed on by a process that is about to exit. The grace time bounds the stop;
//! requests that are still open near its end are answered with a failure.
#pragma once

#include "types/time.h"

#include <cstddef>
#include <string_view>

namespace cyclamenmount {

//! Phases in order; a stop never returns to an earlier one.
enum class shutdown_phase {
    serving,    //!< requests are served, as load balancers still send new callers
    draining,   //!< open requests are completed, new ones served; idle connections are closed
    refusing,   //!< open requests are completed; new ones are refused as not run
    expiring,   //!< requests that no upstream has received are refused as not run
    aborting,   //!< attempts at upstreams are cancelled and their requests fail
    completed,  //!< the process exits
};

//! Returns the name of a phase for the log.
std::string_view enum_name(shutdown_phase phase);

struct shutdown_sequence {
    instant started_at{};
    milliseconds grace{0};  //!< time from the signal to the forced end of the process
    shutdown_phase phase{shutdown_phase::serving};
    instant refusing_since{};  //!< start of the phase `refusing`
};

//! Starts the stop of an instance whose process is ended by force after `grace`.
shutdown_sequence start_shutdown(milliseconds grace, instant now);

//! Time at which open attempts at upstreams are cancelled at the latest.
instant attempts_end(const shutdown_sequence& sequence);

//! Moves to the phase that holds now and returns it. `open_requests` counts the requests that are
//! being read or served.
shutdown_phase advance(shutdown_sequence& sequence, std::size_t open_requests, instant now);

}  // namespace cyclamenmount
