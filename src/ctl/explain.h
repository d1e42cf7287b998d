//! The story of one request from the logs of several instances.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace cyclamenmount {

//! One instance's log, or several merged by a collector that puts time and instance before each
//! line.
struct named_log {
    std::string name;
    std::string text;
};

//! Lines about the request in order of time, what else its instance noted meanwhile, and what they
//! come to. Empty if no line tells of the request.
//!
//! Clocks of instances may differ. All work for a request happens between its arrival and its end
//! at the instance that took it, so lines of others that seem to lie outside are moved inside.
std::string explain_request(std::string_view request, std::span<const named_log> logs);

}  // namespace cyclamenmount
