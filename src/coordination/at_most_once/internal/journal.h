//! Format of a journal object: a JSON header line, then one JSON line for each key.
#pragma once

#include "coordination/at_most_once/at_most_once.h"

#include <optional>

namespace cyclamenmount::detail {

struct journal_header {
    std::string tenure;      //!< id of the ownership tenure that wrote the object
    std::uint64_t batch{0};  //!< number of the write within the tenure
    milliseconds clock{0};   //!< the journal's clock at the time of the write
};

struct journal_content {
    journal_header header;
    std::map<journal_key, journal_entry> entries;
};

//! Serializes the entry and stores the text in `journal_entry::line`.
void encode_entry(const journal_key& key, journal_entry& entry);

std::string encode_journal(const journal_header& header,
                           const std::map<journal_key, journal_entry>& entries);

//! Parses a journal object; none if any line is malformed or the header is missing. A partially
//! parsed journal could lack keys, so it must not be used to grant permits.
std::optional<journal_content> decode_journal(std::string_view value);

//! Returns the outcome in the form that is stored: a body that is too large or isn't UTF-8 is
//! removed, and the outcome is marked as not known.
call_outcome storable_outcome(call_outcome outcome);

}  // namespace cyclamenmount::detail
