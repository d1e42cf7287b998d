#include "store_sync/list_progress.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr list_bounds bounds{1000, 5};

list_page readable_page(const char* last) {
    return {true, 10, last, last};
}

}  // namespace

TEST_GROUP(list_progress){};

TEST(list_progress, each_page_begins_after_the_last_name_of_the_one_before) {
    list_progress state;
    CHECK_FALSE(state.after.has_value());
    CHECK_TRUE(reduce(state, readable_page("b"), bounds) == list_step::next_page);
    STRCMP_EQUAL("b", state.after->c_str());
    // The empty name is a position like others, not the beginning.
    CHECK_TRUE(reduce(state, readable_page(""), bounds) == list_step::next_page);
    CHECK_TRUE(state.after.has_value() && state.after->empty());
    CHECK_TRUE(reduce(state, {false, 10, {}, {}}, bounds) == list_step::complete);
}

// Guards against a list that is read again and again, and against one that ends too early.
TEST(list_progress, names_that_cant_be_read_are_passed) {
    // GIVEN a page that ends in names that can't be read
    list_progress state;
    CHECK_TRUE(reduce(state, {true, 10, "b", "c\x80"}, bounds) == list_step::next_page);
    // THEN the next one begins after the last name that can, and brings the others again
    STRCMP_EQUAL("b", state.after->c_str());
    // WHEN it holds no other names, THEN the next one begins after the bytes of the last
    CHECK_TRUE(reduce(state, {true, 10, {}, "d\x80"}, bounds) == list_step::next_page);
    STRCMP_EQUAL("d\x80", state.after->c_str());
}

TEST(list_progress, a_list_that_does_not_go_on_has_failed) {
    list_progress state;
    CHECK_TRUE(reduce(state, readable_page("b"), bounds) == list_step::next_page);
    CHECK_TRUE(reduce(state, readable_page("b"), bounds) == list_step::repeated);
    // Two pages that alternate don't lead to an end either.
    list_progress other;
    CHECK_TRUE(reduce(other, readable_page("b"), bounds) == list_step::next_page);
    CHECK_TRUE(reduce(other, readable_page("c"), bounds) == list_step::next_page);
    CHECK_TRUE(reduce(other, readable_page("b"), bounds) == list_step::repeated);
    // Nor does a page without names, or an empty one.
    list_progress empty;
    CHECK_TRUE(reduce(empty, {true, 10, {}, {}}, bounds) == list_step::nameless);
}

TEST(list_progress, a_list_beyond_its_bounds_has_failed) {
    // GIVEN pages without end, whose names are all new
    list_progress state;
    for (int page = 1; page < bounds.max_pages; ++page) {
        CHECK_TRUE(reduce(state, readable_page(std::to_string(page).c_str()), bounds) ==
                   list_step::next_page);
    }
    CHECK_TRUE(reduce(state, readable_page("z"), bounds) == list_step::too_large);
    // AND a last page that is too long
    list_progress other;
    CHECK_TRUE(reduce(other, {false, 1001, "b", "b"}, bounds) == list_step::too_large);
}

TEST(list_progress, a_long_list_is_paced) {
    list_progress state;
    constexpr list_bounds wide{1'000'000, 2000};
    milliseconds paused{0};
    for (int page = 0; page < 1000; ++page) {
        reduce(state, readable_page(std::to_string(page).c_str()), wide);
        paused += pause_before_page(state);
    }
    CHECK_TRUE(paused >= 15s);
    CHECK_TRUE(pause_before_page({}) == 0ms);
}
