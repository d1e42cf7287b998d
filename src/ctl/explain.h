//! Reconstructs the course of one request from the logs of several instances.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace cyclamenmount {

//! Log of one instance, or logs of several that a collector has merged with the time and the
//! instance in front of each line.
struct named_log {
    std::string name;  //!< instance name of lines that don't carry one
    std::string text;
};

//! Lists the log lines of the request in order of time, together with events that concern its whole
//! instance and were logged meanwhile, and ends with a sentence on the outcome. Empty if no line
//! names the request.
//!
//! Clocks of instances may differ. All work for a request happens between its arrival and its end
//! at the instance that received it, so lines of other instances with times outside of this
//! interval are shifted into it.
std::string explain_request(std::string_view request, std::span<const named_log> logs);

}  // namespace cyclamenmount
