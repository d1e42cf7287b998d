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

bool is_about(const log_line& line, std::string_view request) {
    const auto has = [&](const char* field) {
        const auto found = line.fields.find(field);
        return found != line.fields.end() && found->second == request;
    };
    // A call of a packer names the request of its first piece.
    return has("request") || has("first");
}

//! What an instance believes, without belonging to one request.
bool is_belief(const log_line& line) {
    static const std::set<std::string> events = {
        "belief",      "peer_silent",    "peer_not_ready", "peer_heard", "news_source",
        "log_dropped", "store_read_for", "start",          "stopping",   "stopped"};
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

//! Moves the lines of each other instance by the least that brings them inside.
void align_clocks(std::vector<log_line>& about, const std::string& taker, time_span inside) {
    std::map<std::string, time_span> spans;
    for (const log_line& line : about) {
        const auto [span, is_new] =
            spans.try_emplace(line.instance, time_span{line.seconds, line.seconds});
        span->second.begin = std::min(span->second.begin, line.seconds);
        span->second.end = std::max(span->second.end, line.seconds);
    }
    for (log_line& line : about) {
        if (line.instance == taker) {
            continue;
        }
        const time_span& own = spans.at(line.instance);
        if (own.end > inside.end) {
            line.seconds -= own.end - inside.end;
        } else if (own.begin < inside.begin) {
            line.seconds += inside.begin - own.begin;
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

//! One sentence on what the request's last line says.
std::string conclusion(const log_line& end) {
    if (end.fields.contains("refused")) {
        return "refused with " + field_of(end, "status") + ": " + field_of(end, "refused") +
               "; the caller may come back after " + field_of(end, "retry_after_ms") + " ms";
    }
    if (end.fields.contains("caller")) {
        return "given up: the caller left after " + field_of(end, "took_ms") + " ms";
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
    std::vector<log_line> about;
    std::ranges::copy_if(lines, std::back_inserter(about),
                         [&](const log_line& line) { return is_about(line, request); });
    if (about.empty()) {
        return {};
    }
    const auto end = std::ranges::find(about, "request", &log_line::event);
    if (end == about.end()) {
        std::string story =
            "No line tells of its end: the instance has ended, or lines are missing.\n";
        for (const log_line& line : about) {
            story += line.instance + "  " + line.text + "\n";
        }
        return story;
    }
    const log_line last = *end;
    const time_span inside{last.seconds - number_of(last, "took_ms") / ms_per_second, last.seconds};
    align_clocks(about, last.instance, inside);
    std::ranges::copy_if(lines, std::back_inserter(about), [&](const log_line& line) {
        return line.instance == last.instance && is_belief(line) && line.seconds >= inside.begin &&
               line.seconds <= inside.end;
    });
    std::ranges::stable_sort(about, {}, &log_line::seconds);
    std::string story = "Request " + std::string(request) + " at " + last.instance +
                        "; milliseconds since it arrived:\n";
    for (const log_line& line : about) {
        story +=
            format_ms(line.seconds - inside.begin) + "  " + line.instance + "  " + line.text + "\n";
    }
    return story + "It was " + conclusion(last) + ".\n";
}

exit_code detail::run_explain(const ctl_options& /*options*/, const std::vector<std::string>& words,
                              const ctl_world& world) {
    if (words.size() < 3) {
        world.err << "cyclamenctl: explain needs a request's id and at least one log\n";
        return exit_code::usage;
    }
    std::vector<named_log> logs;
    for (std::size_t i = 2; i < words.size(); ++i) {
        auto text = world.read_file(words[i] == "-" ? "/dev/stdin" : words[i]);
        if (!text) {
            world.err << "cyclamenctl: " << text.error().message << '\n';
            return exit_code::failed;
        }
        logs.push_back({words[i], std::move(text.value())});
    }
    const std::string story = explain_request(words[1], logs);
    if (story.empty()) {
        world.err << "cyclamenctl: no line tells of request " << words[1] << '\n';
        return exit_code::failed;
    }
    world.out << story;
    return exit_code::done;
}

}  // namespace cyclamenmount
