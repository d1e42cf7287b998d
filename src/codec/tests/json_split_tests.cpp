#include "codec/json_split.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

TEST_GROUP(json_split){};

TEST(json_split, an_object_is_split_at_its_own_commas_only) {
    // GIVEN an object with nested values, and with brackets, commas and quotes in strings
    const std::string text = R"( {"a": [1, {"x": 2}], "b" : "},]\\\"", "c":{}} )";
    // WHEN it is split
    const auto members = split_json_object(text);
    // THEN the members have their values as text
    LONGS_EQUAL(3, members.size());
    CHECK_TRUE(members[0].key == "a" && members[0].value == R"([1, {"x": 2}])");
    CHECK_TRUE(members[1].key == "b" && members[1].value == R"("},]\\\"")");
    CHECK_TRUE(members[2].key == "c" && members[2].value == "{}");
    // AND so have the elements of an array
    LONGS_EQUAL(2, split_json_array(members[0].value).size());
    // AND other texts have none
    CHECK_TRUE(split_json_object("[1]").empty() && split_json_object("").empty());
    CHECK_TRUE(split_json_array("{}").empty() && split_json_array("[ ]").empty());
}

TEST(json_split, a_text_that_is_nested_too_deeply_or_unreadable_is_not_parsed) {
    // GIVEN arrays of the deepest allowed nesting, of one more, and of a hundred thousand
    const auto nested = [](std::size_t depth) {
        return std::string(depth, '[') + std::string(depth, ']');
    };
    // WHEN they are parsed, THEN the first one is read
    CHECK_TRUE(parse_bounded_json(nested(max_json_depth)).has_value());
    CHECK_FALSE(parse_bounded_json(nested(max_json_depth + 1)).has_value());
    CHECK_FALSE(parse_bounded_json(nested(100'000)).has_value());
    // AND neither are numbers out of range and texts that end early
    CHECK_FALSE(parse_bounded_json("1e999").has_value());
    CHECK_FALSE(parse_bounded_json("[1").has_value());
    CHECK_FALSE(parse_bounded_json("").has_value());
}

// Guards against names of other writers that can't be told apart once they are decoded.
TEST(json_split, strings_have_their_bytes_also_if_they_are_no_text) {
    const std::pair<const char*, const char*> rows[] = {
        {R"("a b")", "a b"},
        {R"("\"\\\/\b\f\n\r\t")", "\"\\/\b\f\n\r\t"},
        {R"("\u0041\u00e9\u20ac")", "A\xC3\xA9\xE2\x82\xAC"},
        {R"("\ud83d\ude00")", "\xF0\x9F\x98\x80"},
        {R"("a\udc80z")", "a\xED\xB2\x80z"},
        {R"("\ud83dz")", "\xED\xA0\xBDz"},
        {R"("\ud83d\ud83d")", "\xED\xA0\xBD\xED\xA0\xBD"},
        {"\"a\x80\"", "a\x80"},
    };
    for (const auto& [text, bytes] : rows) {
        const auto decoded = decode_string_bytes(text);
        CHECK_TRUE(decoded.has_value());
        STRCMP_EQUAL(bytes, decoded->c_str());
    }
    for (const char* const text :
         {"", "7", "\"", "a", R"("\x")", R"("\u12")", R"("\u12g4")", R"("\")"}) {
        CHECK_FALSE(decode_string_bytes(text).has_value());
    }
}
