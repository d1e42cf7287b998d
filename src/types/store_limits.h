//! Limits on calls to the Object API that its client and the reducers share.
#pragma once

#include "types/time.h"

namespace cyclamenmount {

//! Longest time for which a list or a watch's response is received while it arrives: the one of the
//! platform's client.
constexpr milliseconds longest_store_response{8000};

}  // namespace cyclamenmount
