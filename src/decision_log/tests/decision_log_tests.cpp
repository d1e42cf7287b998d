#include "decision_log/decision_log.h"

#include <array>

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <unistd.h>

using namespace cyclamenmount;

namespace {

//! A pipe, closed on destruction.
struct test_pipe {
    int read_end{-1};
    int write_end{-1};

    test_pipe() {
        std::array<int, 2> descriptors{};
        (void)pipe2(descriptors.data(), O_CLOEXEC);
        read_end = descriptors[0];
        write_end = descriptors[1];
    }

    ~test_pipe() {
        close(read_end);
        close(write_end);
    }

    test_pipe(const test_pipe&) = delete;
    test_pipe& operator=(const test_pipe&) = delete;
    test_pipe(test_pipe&&) = delete;
    test_pipe& operator=(test_pipe&&) = delete;

    [[nodiscard]] std::string read_all() const {
        std::array<char, 4096> bytes{};
        const auto count = read(read_end, bytes.data(), bytes.size());
        return {bytes.data(), static_cast<std::size_t>(count)};
    }
};

}  // namespace

TEST_GROUP(decision_log){};

TEST(decision_log, values_with_spaces_are_quoted) {
    // GIVEN a log on a pipe
    const test_pipe log_pipe;
    decision_log log({log_pipe.write_end, 100, 100, 4096});
    // WHEN an entry with several kinds of values is written
    log.write(log_entry("refused").add("request", "r1").add("why", "too \"late\"").add("ms", 7));
    log.flush();
    // THEN one line has all values
    STRCMP_EQUAL("refused request=r1 why=\"too \\\"late\\\"\" ms=7\n", log_pipe.read_all().c_str());
}

TEST(decision_log, lines_can_begin_with_the_time_of_day) {
    // GIVEN a log with times
    const test_pipe log_pipe;
    decision_log log({log_pipe.write_end, 100, 100, 4096, true});
    // WHEN a line is written
    log.write(log_entry("started"));
    log.flush();
    // THEN it begins with a UTC time to the millisecond
    const std::string line = log_pipe.read_all();
    LONGS_EQUAL(std::string("2026-12-04T09:11:09.123Z started\n").size(), line.size());
    STRCMP_EQUAL("Z started\n", line.substr(23).c_str());
    LONGS_EQUAL('T', line[10]);
    LONGS_EQUAL('.', line[19]);
}

TEST(decision_log, lines_beyond_the_burst_are_dropped_and_their_number_is_logged) {
    // GIVEN a log with a burst of two lines and a rate limit of 1000 lines per second
    const test_pipe log_pipe;
    decision_log log({log_pipe.write_end, 1000, 2, 4096});
    // WHEN ten lines are written at once
    for (int i = 0; i < 10; ++i) {
        log.write(log_entry("line"));
    }
    // THEN the lines above the limit are dropped and counted
    CHECK_TRUE(log.dropped() >= 7);
    // WHEN the rate limit permits a line again
    usleep(5000);
    log.write(log_entry("later"));
    log.flush();
    // THEN a line with the number of dropped lines is written
    CHECK_TRUE(log_pipe.read_all().find("log_dropped lines=") != std::string::npos);
}

TEST(decision_log, a_full_pipe_never_blocks) {
    // GIVEN a pipe that is never read
    const test_pipe log_pipe;
    decision_log log({log_pipe.write_end, 1e9, 1e9, std::size_t{64} * 1024});
    // WHEN far more is written than the pipe and the buffer hold
    const std::string filler(1000, 'x');
    for (int i = 0; i < 1000; ++i) {
        log.write(log_entry(filler));
        log.flush();
    }
    // THEN the writes have returned, and the rest was dropped
    CHECK_TRUE(log.dropped() > 0);
}
