//! Lines of the decision log, as `[time] [instance] event key=value ...`.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenmount::detail {

struct log_line {
    std::string instance;  //!< from the line, else the name of the log
    double seconds{0};     //!< time of day, or of whatever clock the collector has
    std::string event;
    std::map<std::string, std::string> fields;
    std::string text;  //!< from the event on
};

//! None if the line isn't one of the decision log's or has no time.
std::optional<log_line> parse_log_line(std::string_view line, std::string_view log_name);

//! A field's number; 0 if it is missing or not a number.
double number_of(const log_line& line, const std::string& field);

}  // namespace cyclamenmount::detail
