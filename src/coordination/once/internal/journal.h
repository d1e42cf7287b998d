//! The journal object: a header line, then one line a key.
#pragma once

#include "coordination/once/once.h"

#include <optional>

namespace cyclamenmount::detail {

struct journal_header {
    std::string tenure;
    std::uint64_t batch{0};
    milliseconds clock{0};
};

struct journal_content {
    journal_header header;
    std::map<journal_key, journal_entry> entries;
};

//! Fills in the entry's line.
void encode_entry(const journal_key& key, journal_entry& entry);

std::string encode_journal(const journal_header& header,
                           const std::map<journal_key, journal_entry>& entries);

//! None if any line is malformed: a journal that can't be read gives no permits.
std::optional<journal_content> decode_journal(std::string_view value);

//! The outcome as the journal can keep it: without a body that is too large or isn't UTF-8.
call_outcome kept_outcome(call_outcome outcome);

}  // namespace cyclamenmount::detail
