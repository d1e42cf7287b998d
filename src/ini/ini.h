//! Parses INI text with inih into a flat list of entries with line numbers.
#pragma once

#include "types/errors.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenmount {

//! One `name = value` line.
struct ini_entry {
    std::string section;
    std::string name;
    std::string value;
    int line{0};  //!< line number, from 1
};

//! All entries in order, or a finding for each invalid line.
checked<std::vector<ini_entry>> read_ini(std::string_view text, std::string_view file);

//! Collects the findings of one file.
struct ini_check {
    std::string file;
    findings found;

    //! Adds a finding at the line of `at`.
    void report(const ini_entry& at, std::string message);
};

//! The NAME of a section `[KIND NAME]`; none if the section has another kind or no name.
std::optional<std::string> section_name(const ini_entry& entry, std::string_view kind);

//! Parses a whole number from `low` to `high`; reports any other value and returns `fallback`.
int parse_integer(ini_check& check, const ini_entry& entry, int low, int high, int fallback);

//! Parses a number from `low` to `high`; reports any other value and returns `fallback`.
double parse_decimal(ini_check& check, const ini_entry& entry, double low, double high,
                     double fallback);

//! True if the value is `yes`; reports any value but `yes` and `no`.
bool parse_yes_no(ini_check& check, const ini_entry& entry);

//! The parts between commas, trimmed; empty parts are left out.
std::vector<std::string> split_commas(std::string_view value);

//! Reports a value that isn't 1 to 64 letters, digits, `-`, `_` or `.`, and returns false then.
bool check_name(ini_check& check, const ini_entry& entry, std::string_view value);

}  // namespace cyclamenmount
