#include "serving/event_splitter.h"

#include <charconv>

namespace cyclamenmount {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view id_field = "id:";

std::optional<std::int64_t> id_of(std::string_view event) {
    std::size_t at = 0;
    while (at < event.size()) {
        const std::size_t end = std::min(event.find('\n', at), event.size());
        std::string_view line = event.substr(at, end - at);
        at = end + 1;
        if (!line.starts_with(id_field)) {
            continue;
        }
        line.remove_prefix(id_field.size());
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::int64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc()) {
            return id;
        }
    }
    return std::nullopt;
}

}  // namespace

std::string event_splitter::feed(std::string_view bytes) {
    partial_.append(bytes);
    std::string whole;
    std::size_t at = 0;
    while (true) {
        const std::size_t end = partial_.find(event_end, at);
        if (end == std::string::npos) {
            break;
        }
        const std::size_t next = end + event_end.size();
        const std::string_view event = std::string_view(partial_).substr(at, next - at);
        at = next;
        const auto id = id_of(event);
        const bool is_repeated = id && last_id_ && *id <= *last_id_;
        if (!is_repeated) {
            whole.append(event);
            last_id_ = id ? id : last_id_;
        }
    }
    partial_.erase(0, at);
    return whole;
}

}  // namespace cyclamenmount
