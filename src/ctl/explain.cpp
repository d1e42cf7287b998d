#include "ctl/explain.h"

#include "ctl/internal/commands.h"
#include "ctl/internal/log_lines.h"

#include <algorithm>
#include <cstdio>
#include <ostream>
#include <set>
#include <vector>

namespace cyclamenmount {

namespace {

using detail::log_line;
using detail::number_of;

constexpr double ms_per_second = 1000;

bool names_request(const log_line& line, std::string_view request) {
    const auto has = [&](const char* field) {
        const auto found = line.fields.find(field);
        return found != line.fields.end() && found->second == request;
    };
    // `stage_call` lines of a packer name only the request of the call's first piece, as `first`.
    return has("request") || has("first");
}

//! True for events of the instance as a whole, which belong to no single request.
bool is_instance_event(const log_line& line) {
    static const std::set<std::string> events = {
        "belief",     "peer_silent", "peer_not_ready", "peer_stopping",
        "peer_heard", "news_source", "log_dropped",    "store_read_for",
        "start",      "stopping",    "stopped"};
    return events.contains(line.event);
}

std::vector<log_line> parse_logs(std::span<const named_log> logs) {
    std::vector<log_line> lines;
    for (const named_log& log : logs) {
        std::string_view rest = log.text;
        while (!rest.empty()) {
            const std::size_t end = std::min(rest.find('\n'), rest.size());
            if (auto line = detail::parse_log_line(rest.substr(0, end), log.name)) {
                lines.push_back(std::move(*line));
            }
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
    }
    return lines;
}

struct time_span {
    double begin;
    double end;
};

//! Shifts the lines of each instance but `receiver` by the smallest offset that brings them into
//! `request_span`.
void align_clocks(std::vector<log_line>& matching, const std::string& receiver,
                  time_span request_span) {
    std::map<std::string, time_span> spans;
    for (const log_line& line : matching) {
        const auto [span, is_new] =
            spans.try_emplace(line.instance, time_span{line.seconds, line.seconds});
        span->second.begin = std::min(span->second.begin, line.seconds);
        span->second.end = std::max(span->second.end, line.seconds);
    }
    for (log_line& line : matching) {
        if (line.instance == receiver) {
            continue;
        }
        const time_span& own = spans.at(line.instance);
        if (own.end > request_span.end) {
            line.seconds -= own.end - request_span.end;
        } else if (own.begin < request_span.begin) {
            line.seconds += request_span.begin - own.begin;
        }
    }
}

std::string format_ms(double seconds) {
    std::string text(16, '\0');
    const int size = std::snprintf(text.data(), text.size(), "%8.0f", seconds * ms_per_second);
    text.resize(static_cast<std::size_t>(std::max(size, 0)));
    return text;
}

std::string field_of(const log_line& line, const std::string& field) {
    const auto found = line.fields.find(field);
    return found == line.fields.end() ? "" : found->second;
}

//! The request's outcome according to its last line.
std::string describe_outcome(const log_line& end) {
    if (end.fields.contains("refused")) {
        return "refused with " + field_of(end, "status") + ": " + field_of(end, "refused") +
               "; the caller may retry after " + field_of(end, "retry_after_ms") + " ms";
    }
    if (end.fields.contains("caller")) {
        return "cancelled: the caller disconnected after " + field_of(end, "took_ms") + " ms";
    }
    if (field_of(end, "status") == "0") {
        return "broken off after " + field_of(end, "took_ms") +
               " ms; see the attempts for the upstream that ended it";
    }
    if (!end.fields.contains("first_event_ms")) {
        return "answered with " + field_of(end, "status") + " after " + field_of(end, "took_ms") +
               " ms";
    }
    const double stages = number_of(end, "stages_ms");
    const double first = number_of(end, "first_event_ms");
    return "answered with " + field_of(end, "status") + "; first event after " +
           field_of(end, "first_event_ms") + " ms, of which " +
           std::to_string(static_cast<long>(stages)) + " in its stages and " +
           std::to_string(static_cast<long>(first - stages)) + " at the engine";
}

}  // namespace

std::string explain_request(std::string_view request, std::span<const named_log> logs) {
    const std::vector<log_line> lines = parse_logs(logs);
    std::vector<log_line> matching;
    std::ranges::copy_if(lines, std::back_inserter(matching),
                         [&](const log_line& line) { return names_request(line, request); });
    if (matching.empty()) {
        return {};
    }
    const auto end = std::ranges::find(matching, "request", &log_line::event);
    if (end == matching.end()) {
        std::string report =
            "No line records its end: the instance has ended, or lines are missing.\n";
        for (const log_line& line : matching) {
            report += line.instance + "  " + line.text + "\n";
        }
        return report;
    }
    const log_line last = *end;
    const time_span request_span{last.seconds - number_of(last, "took_ms") / ms_per_second,
                                 last.seconds};
    align_clocks(matching, last.instance, request_span);
    std::ranges::copy_if(lines, std::back_inserter(matching), [&](const log_line& line) {
        return line.instance == last.instance && is_instance_event(line) &&
               line.seconds >= request_span.begin && line.seconds <= request_span.end;
    });
    std::ranges::stable_sort(matching, {}, &log_line::seconds);
    std::string report = "Request " + std::string(request) + " at " + last.instance +
                         "; milliseconds since it arrived:\n";
    for (const log_line& line : matching) {
        report += format_ms(line.seconds - request_span.begin) + "  " + line.instance + "  " +
                  line.text + "\n";
    }
    return report + "It was " + describe_outcome(last) + ".\n";
}

exit_code detail::run_explain(const ctl_options& /*options*/,
                              const std::vector<std::string>& arguments, const ctl_io& io) {
    if (arguments.size() < 3) {
        io.err << "cyclamenctl: explain needs a request id and at least one log\n";
        return exit_code::usage;
    }
    std::vector<named_log> logs;
    for (std::size_t i = 2; i < arguments.size(); ++i) {
        auto text = io.read_file(arguments[i] == "-" ? "/dev/stdin" : arguments[i]);
        if (!text) {
            io.err << "cyclamenctl: " << text.error().message << '\n';
            return exit_code::failed;
        }
        logs.push_back({arguments[i], std::move(text.value())});
    }
    const std::string report = explain_request(arguments[1], logs);
    if (report.empty()) {
        io.err << "cyclamenctl: no line names request " << arguments[1] << '\n';
        return exit_code::failed;
    }
    io.out << report;
    return exit_code::done;
}

}  // namespace cyclamenmount
