//! The compiler's and libraries' runtime in a program that links what the daemons link: exceptions,
//! fatal log lines, threads with small stacks.
#include <csignal>
#include <stdexcept>
#include <string>

#include <CppUTest/TestHarness.h>
#include <glog/logging.h>
#include <pthread.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

//! Stack of civetweb's threads in Debian's build, in bytes.
constexpr std::size_t smallest_stack = 102'400;

struct counted_frame {
    explicit counted_frame(int& destroyed) : destroyed_(destroyed) {}

    ~counted_frame() {
        ++destroyed_;
    }

    counted_frame(const counted_frame&) = delete;
    counted_frame& operator=(const counted_frame&) = delete;
    counted_frame(counted_frame&&) = delete;
    counted_frame& operator=(counted_frame&&) = delete;

private:
    int& destroyed_;
};

[[gnu::noinline]] void throw_after(int frames, int& destroyed) {
    const counted_frame frame(destroyed);
    if (frames == 1) {
        throw std::runtime_error("no configuration");
    }
    throw_after(frames - 1, destroyed);
}

//! Runs in a thread; `result` points to the number of frames that were destroyed.
void* throw_and_log(void* result) {
    auto& destroyed = *static_cast<int*>(result);
    try {
        throw_after(10, destroyed);
    } catch (const std::exception& fault) {
        LOG(INFO) << "a thread with a small stack caught: " << fault.what();
    }
    return nullptr;
}

struct child_end {
    int status{0};
    std::string output;
};

//! Runs `action` in a process of its own and returns how it ended and what it wrote to standard
//! error.
template <typename F>
child_end run_in_child(F action) {
    int ends[2];
    CHECK_EQUAL(0, pipe(ends));
    const pid_t child = fork();
    if (child == 0) {
        dup2(ends[1], 2);
        FLAGS_logtostderr = true;
        action();
        _exit(0);
    }
    close(ends[1]);
    child_end end;
    char buffer[4096];
    for (ssize_t count = 0; (count = read(ends[0], buffer, sizeof(buffer))) > 0;) {
        end.output.append(buffer, static_cast<std::size_t>(count));
    }
    close(ends[0]);
    waitpid(child, &end.status, 0);
    return end;
}

}  // namespace

TEST_GROUP(runtime){};

TEST(runtime, an_exception_unwinds_all_frames_up_to_its_handler) {
    // GIVEN ten frames, each with something to destroy
    int destroyed = 0;
    // WHEN the innermost one throws
    bool is_caught = false;
    try {
        throw_after(10, destroyed);
    } catch (const std::runtime_error&) {
        is_caught = true;
    }
    // THEN the handler runs, after all of them were destroyed
    CHECK_TRUE(is_caught);
    LONGS_EQUAL(10, destroyed);
}

TEST(runtime, a_fatal_log_line_ends_the_program_with_its_stack_and_by_sigabrt) {
    // GIVEN a program that logs to standard error
    // WHEN it logs a fatal line
    const child_end end = run_in_child([] { LOG(FATAL) << "no store address"; });
    // THEN it ends by SIGABRT, after the line and a stack trace
    CHECK_TRUE(WIFSIGNALED(end.status));
    LONGS_EQUAL(SIGABRT, WTERMSIG(end.status));
    CHECK_TRUE(end.output.find("no store address") != std::string::npos);
    CHECK_TRUE(end.output.find("stack trace") != std::string::npos);
}

TEST(runtime, a_thread_with_the_smallest_stack_throws_and_logs) {
    // GIVEN a program whose threads have the smallest stack in use
    const child_end end = run_in_child([] {
        pthread_attr_t attributes;
        pthread_attr_init(&attributes);
        pthread_attr_setstacksize(&attributes, smallest_stack);
        // WHEN one throws, and logs what it caught
        int destroyed = 0;
        pthread_t thread{};
        if (pthread_create(&thread, &attributes, throw_and_log, &destroyed) != 0) {
            _exit(2);
        }
        pthread_join(thread, nullptr);
        _exit(destroyed == 10 ? 0 : 1);
    });
    // THEN all frames were destroyed and the line was written
    LONGS_EQUAL(0, end.status);
    CHECK_TRUE(end.output.find("no configuration") != std::string::npos);
}
