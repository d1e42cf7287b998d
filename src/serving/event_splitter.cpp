#include "serving/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace cyclamenmount {

namespace {

constexpr std::string_view event_terminator = "\n\n";
constexpr std::string_view id_prefix = "id:";

//! Returns the number in the first valid `id:` line of an event.
std::optional<std::int64_t> parse_id(std::string_view event) {
    std::size_t begin = 0;
    while (begin < event.size()) {
        const std::size_t end = std::min(event.find('\n', begin), event.size());
        std::string_view line = event.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(id_prefix)) {
            continue;
        }
        line.remove_prefix(id_prefix.size());
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
    // What was searched before holds no terminator, but may end with a part of one.
    std::size_t search_from =
        partial_.size() - std::min(partial_.size(), event_terminator.size() - 1);
    partial_.append(bytes);
    std::string complete;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = partial_.find(event_terminator, search_from);
        if (end == std::string::npos) {
            break;
        }
        const std::size_t next = end + event_terminator.size();
        const std::string_view event = std::string_view(partial_).substr(begin, next - begin);
        begin = next;
        search_from = next;
        const auto id = parse_id(event);
        const bool is_duplicate = id && last_id_ && *id <= *last_id_;
        if (!is_duplicate) {
            complete.append(event);
            last_id_ = id ? id : last_id_;
        }
    }
    partial_.erase(0, begin);
    return complete;
}

}  // namespace cyclamenmount
