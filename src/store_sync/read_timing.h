//! Timing of store reads, derived from the bounds within which changes have to be in force.
#pragma once

#include "types/time.h"

namespace cyclamenmount {

//! Bounds set by operators on the time until a change in the store is in force.
struct sync_bounds {
    //! After the end of a disturbance of the instance, its connections or the store.
    milliseconds contact{3000};
    milliseconds configuration{2000};  //!< after a configuration was stored
    milliseconds draining{2000};       //!< after an upstream's entry said that it leaves
    milliseconds evacuation{5000};     //!< after a zone was taken out of service
};

//! How one topic is read.
struct read_timing {
    milliseconds watch_wait{0};  //!< wait of a watch at the store
    //! Delay after changes, to read several in one call, as calls are paid.
    milliseconds coalescing_pause{0};
    //! Age from which the topic may lack a change that has to be in force.
    milliseconds max_age{0};
};

//! Time that the response to a call may take beyond the wait that the call asks for.
inline constexpr milliseconds response_grace{500};

//! Age from which the data of a sync source is stale; an instance that reads the store has younger
//! data.
inline constexpr milliseconds source_stale_after{700};

//! Timing of a topic whose changes have to be in force within `apply`, and within the contact time
//! after a disturbance. A watch on an unresponsive connection is given up so early that the changes
//! it missed can still be read in time.
read_timing derive_read_timing(const sync_bounds& bounds, milliseconds apply);

//! Timing of the same topic while peers rely on this instance's reading. Replies to them carry the
//! age of the data, so it is confirmed often, and changes are passed on quickly.
read_timing derive_shared_timing(const read_timing& own);

//! Wait of the next watch of a topic of this age. A watch that reports changes confirms the topic
//! as of its start, so the one after it is shorter, lest the topic's age exceeds `max_age`.
milliseconds derive_next_wait(const read_timing& timing, milliseconds age);

//! Delay of the next watch after changes.
milliseconds derive_next_pause(const read_timing& timing, milliseconds age);

//! Age from which data of a peer counts as out of date and is read from the store.
milliseconds derive_stale_after(const sync_bounds& bounds);

//! Time between two calls to an unreachable store of an instance that a peer keeps up to date.
milliseconds derive_slow_probe_period(const sync_bounds& bounds);

}  // namespace cyclamenmount
