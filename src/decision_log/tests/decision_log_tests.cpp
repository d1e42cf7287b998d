#include "decision_log/decision_log.h"

#include <array>

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <unistd.h>

using namespace cyclamenmount;

namespace {

//! A pipe that is closed at the end of a test.
struct pipe_ends {
    int read_end{-1};
    int write_end{-1};

    pipe_ends() {
        std::array<int, 2> ends{};
        (void)pipe2(ends.data(), O_CLOEXEC);
        read_end = ends[0];
        write_end = ends[1];
    }

    ~pipe_ends() {
        close(read_end);
        close(write_end);
    }

    pipe_ends(const pipe_ends&) = delete;
    pipe_ends& operator=(const pipe_ends&) = delete;
    pipe_ends(pipe_ends&&) = delete;
    pipe_ends& operator=(pipe_ends&&) = delete;

    [[nodiscard]] std::string read_all() const {
        std::array<char, 4096> bytes{};
        const auto count = read(read_end, bytes.data(), bytes.size());
        return {bytes.data(), static_cast<std::size_t>(count)};
    }
};

}  // namespace

TEST_GROUP(decision_log){};

TEST(decision_log, values_with_blanks_are_quoted) {
    // GIVEN a log on a pipe
    const pipe_ends ends;
    decision_log log({ends.write_end, 100, 100, 4096});
    // WHEN an entry with several kinds of values is written
    log.write(log_entry("refused").add("request", "r1").add("why", "too \"late\"").add("ms", 7));
    log.flush();
    // THEN one line has them all
    STRCMP_EQUAL("refused request=r1 why=\"too \\\"late\\\"\" ms=7\n", ends.read_all().c_str());
}

TEST(decision_log, lines_can_begin_with_the_time_of_day) {
    // GIVEN a log with times
    const pipe_ends ends;
    decision_log log({ends.write_end, 100, 100, 4096, true});
    // WHEN a line is written
    log.write(log_entry("started"));
    log.flush();
    // THEN it begins with a UTC time to the millisecond
    const std::string line = ends.read_all();
    LONGS_EQUAL(std::string("2026-12-04T09:11:09.123Z started\n").size(), line.size());
    STRCMP_EQUAL("Z started\n", line.substr(23).c_str());
    LONGS_EQUAL('T', line[10]);
    LONGS_EQUAL('.', line[19]);
}

TEST(decision_log, lines_beyond_the_burst_are_counted_and_the_count_is_told) {
    // GIVEN a log that takes two lines at once and then a thousand a second
    const pipe_ends ends;
    decision_log log({ends.write_end, 1000, 2, 4096});
    // WHEN ten lines come at once
    for (int i = 0; i < 10; ++i) {
        log.write(log_entry("line"));
    }
    // THEN what was over is dropped and counted
    CHECK_TRUE(log.dropped() >= 7);
    // WHEN there is room again
    usleep(5000);
    log.write(log_entry("later"));
    log.flush();
    // THEN the number of lines that are missing is said
    CHECK_TRUE(ends.read_all().find("log_dropped lines=") != std::string::npos);
}

TEST(decision_log, a_full_pipe_never_blocks) {
    // GIVEN a pipe that nobody reads
    const pipe_ends ends;
    decision_log log({ends.write_end, 1e9, 1e9, std::size_t{64} * 1024});
    // WHEN far more is written than it holds
    const std::string filler(1000, 'x');
    for (int i = 0; i < 1000; ++i) {
        log.write(log_entry(filler));
        log.flush();
    }
    // THEN the writer has come back, and the rest was dropped
    CHECK_TRUE(log.dropped() > 0);
}
