#include "secrets/secrets.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

TEST_GROUP(secrets){};

TEST(secrets, sha256_matches_the_standard_test_vector) {
    // GIVEN the SHA-256 test vector "abc" THEN the digest is the published one
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
                 sha256_hex("abc").c_str());
}

TEST(secrets, ids_differ) {
    // GIVEN 1000 generated ids THEN all are different
    std::set<std::string> ids;
    for (int i = 0; i < 1000; ++i) {
        ids.insert(generate_id());
    }
    CHECK_EQUAL(1000, ids.size());
}

TEST(secrets, comparison_covers_the_whole_secret) {
    CHECK_TRUE(secrets_equal("abc", "abc"));
    CHECK_FALSE(secrets_equal("abc", "abd"));
    CHECK_FALSE(secrets_equal("abc", "ab"));
    CHECK_FALSE(secrets_equal("", "a"));
}
