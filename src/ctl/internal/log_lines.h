//! Parser of decision log lines: `[time] [instance] event key=value ...`.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenmount::detail {

struct log_line {
    std::string instance;  //!< named in the line, else the name of the log
    double seconds{0};     //!< seconds since the epoch, or on the collector's own clock
    std::string event;
    std::map<std::string, std::string> fields;
    std::string text;  //!< the line from the event word on
};

//! None if the line isn't a decision log line or has no time.
std::optional<log_line> parse_log_line(std::string_view line, std::string_view log_name);

//! Numeric value of a field; 0 if it is missing or not a number.
double number_of(const log_line& line, const std::string& field);

}  // namespace cyclamenmount::detail
