#include "ini/ini.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

TEST_GROUP(ini){};

TEST(ini, entries_carry_section_and_line) {
    // GIVEN a text with comments and blank lines
    const std::string text = "; comment\n[plan a]\n\nconcurrent = 4\n[plan b]\nconcurrent=5\n";

    // WHEN it is read
    const auto entries = read_ini(text, "x.ini");

    // THEN each entry has its section and line
    CHECK_TRUE(entries.has_value());
    CHECK_EQUAL(2, entries.value().size());
    STRCMP_EQUAL("plan a", entries.value()[0].section.c_str());
    CHECK_EQUAL(4, entries.value()[0].line);
    CHECK_EQUAL(6, entries.value()[1].line);
}

TEST(ini, every_invalid_line_is_a_finding) {
    // GIVEN three lines that are neither section, entry nor comment, and one that is too long
    const std::string text =
        "[a]\nnonsense\nx = 1\n[broken\n" + std::string(5000, 'y') + " = 1\n= no name\n";

    // WHEN it is read
    const auto entries = read_ini(text, "x.ini");

    // THEN all of them are reported with their lines
    CHECK_TRUE(entries.has_error());
    const int expected[] = {2, 4, 5, 6};
    CHECK_EQUAL(4, entries.error().size());
    for (std::size_t i = 0; i < 4; ++i) {
        CHECK_EQUAL(expected[i], entries.error()[i].line);
        STRCMP_EQUAL("x.ini", entries.error()[i].file.c_str());
    }
}

TEST(ini, numbers_out_of_bounds_are_reported) {
    struct fault {
        const char* value;
        bool good;
    };

    const fault table[] = {{"7", true}, {"0", false},   {"11", false},         {"7x", false},
                           {"", false}, {"7.5", false}, {"99999999999", false}};
    for (const auto& row : table) {
        // GIVEN an entry with this value
        ini_check check;
        check.file = "x.ini";

        // WHEN it is read as a whole number from 1 to 10
        const int value = parse_integer(check, {"s", "n", row.value, 3}, 1, 10, 5);

        // THEN an invalid one is a finding and gives the fallback
        CHECK_EQUAL(row.good ? 7 : 5, value);
        CHECK_EQUAL(row.good ? 0 : 1, check.found.size());
    }
}
