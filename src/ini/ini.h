//! INI text as a flat list of entries with their lines, read with inih.
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
    int line{0};  //!< from 1
};

//! All entries in order, or a finding for each line that can't be read.
checked<std::vector<ini_entry>> read_ini(std::string_view text, std::string_view file);

//! Collects findings about the entries of one file.
struct ini_check {
    std::string file;
    findings found;

    void report(const ini_entry& at, std::string message);
};

//! The section `[KIND NAME]` split in two; none if it has another kind or no name.
std::optional<std::string> section_name(const ini_entry& entry, std::string_view kind);

//! Reports and returns `fallback` unless the value is a whole number within the bounds.
int whole_number(ini_check& check, const ini_entry& entry, int low, int high, int fallback);

//! Reports and returns `fallback` unless the value is a finite number within the bounds.
double decimal_number(ini_check& check, const ini_entry& entry, double low, double high,
                      double fallback);

//! Reports and returns false unless the value is `yes` or `no`.
bool yes_or_no(ini_check& check, const ini_entry& entry);

//! Parts between commas without surrounding blanks; empty parts are left out.
std::vector<std::string> comma_separated(std::string_view value);

//! Reports a value that isn't 1 to 64 letters, digits, `-`, `_` or `.`.
bool plain_name(ini_check& check, const ini_entry& entry, std::string_view value);

}  // namespace cyclamenmount
