#include "codec/percent_encoding.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

TEST_GROUP(percent_encoding){};

// Guards against a text that ends or changes the request target that it stands in.
TEST(percent_encoding, all_bytes_but_unreserved_characters_are_encoded) {
    using namespace std::string_view_literals;
    const std::pair<std::string_view, const char*> rows[] = {
        {"", ""},
        {"runner-01_a.b~", "runner-01_a.b~"},
        {"spare runner 01", "spare%20runner%2001"},
        {"a&b=c#d+e?f/g%41", "a%26b%3Dc%23d%2Be%3Ff%2Fg%2541"},
        {"a\r\nX: y\0"sv, "a%0D%0AX%3A%20y%00"},
        {"\xC3\xA9\x80", "%C3%A9%80"},
    };
    for (const auto& [text, encoded] : rows) {
        STRCMP_EQUAL(encoded, percent_encode(text).c_str());
    }
}

TEST(percent_encoding, characters_to_keep_are_not_encoded) {
    STRCMP_EQUAL("a/b%20c", percent_encode("a/b c", "/").c_str());
}
