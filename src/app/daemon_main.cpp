//! `cyclamenmountd`: the daemon that every entry instance runs.
#include "app/daemon.h"
#include "process_start/retried_start.h"

#include <iostream>
#include <memory>

#include <civetweb.h>
#include <curl/curl.h>
#include <glog/logging.h>
#include <popt.h>

namespace {

using namespace cyclamenmount;

//! Runs before the static initialisers of the libraries, which take about a millisecond.
[[gnu::constructor(101)]] void block_signals_at_start() {
    block_signals({SIGTERM, SIGINT, SIGHUP, SIGUSR1});
}

enum class exit_code {
    done = 0,
    failed = 1,            //!< start failed, or requests still ran when the drain limit expired
    usage = 2,             //!< invalid command line
    invalid_settings = 3,  //!< invalid settings or secrets; the findings were printed
};

struct option_closer {
    void operator()(poptContext_s* context) const {
        poptFreeContext(context);
    }
};

struct daemon_options {
    char* settings_file{nullptr};
    int check_only{0};
    int version{0};
};

std::string text_of(const findings& found) {
    std::string text;
    for (const auto& one : found) {
        text += one.file + ':' + std::to_string(one.line) + ": " + one.message + '\n';
    }
    return text;
}

exit_code print_findings(const findings& found) {
    std::cerr << text_of(found);
    return exit_code::invalid_settings;
}

exit_code check_settings(const char* file) {
    const auto settings = load_settings(file);
    if (settings.has_error()) {
        return print_findings(settings.error());
    }
    std::cout << file << ": no faults\n";
    return exit_code::done;
}

//! Waits for signals: SIGUSR1 writes the state dump to standard error, SIGHUP has no effect,
//! SIGTERM and SIGINT return.
void wait_for_stop(const sigset_t& awaited, const daemon_process& running) {
    while (true) {
        int received = 0;
        if (sigwait(&awaited, &received) != 0) {
            continue;
        }
        if (received == SIGTERM || received == SIGINT) {
            return;
        }
        if (received == SIGHUP) {
            LOG(INFO) << "daemon: SIGHUP has no effect, as settings are read at the start only.";
            continue;
        }
        try {
            std::cerr << "dump: " << running.dump() << std::endl;
        } catch (const std::exception& thrown) {
            LOG(ERROR) << "daemon: no state dump: unexpected exception: " << thrown.what() << '.';
        }
    }
}

//! Starts the daemon; a start that fails, for example as a predecessor still holds a port, is
//! repeated for a while.
exit_code run(const daemon_settings& settings, const daemon_secrets& secrets,
              const sigset_t& signals) {
    std::unique_ptr<daemon_process> running;
    const auto start = [&]() -> start_attempt {
        auto started = daemon_process::start(settings, secrets);
        if (started.has_error()) {
            const bool may_pass = started.error().kind == error_kind::system;
            return {false, may_pass, started.error().message};
        }
        running = std::move(started.value());
        return {true, false, ""};
    };
    const start_outcome outcome = retry_start(signals, {}, start, [](const std::string& failure) {
        LOG(ERROR) << "daemon: " << failure << '.';
    });
    if (outcome != start_outcome::done) {
        return outcome == start_outcome::stopped ? exit_code::done : exit_code::failed;
    }
    wait_for_stop(signals, *running);
    return running->drain() ? exit_code::done : exit_code::failed;
}

//! Reads the secrets that the settings name.
checked<daemon_secrets> load_secrets(const daemon_settings& settings) {
    const auto peer = load_secret(settings.peer_secret_file);
    const auto operators = load_secret(settings.operator_secret_file);
    findings found;
    for (const auto* const secret : {&peer, &operators}) {
        if (secret->has_error()) {
            found.push_back({"settings", 0, secret->error().message});
        }
    }
    if (!found.empty()) {
        return found;
    }
    return daemon_secrets{peer.value(), operators.value()};
}

//! Reads the settings and secrets; a file with findings is read again for a while, as it may be
//! incomplete while it is written.
exit_code read_and_run(const daemon_options& options, const sigset_t& signals) {
    if (options.settings_file == nullptr) {
        std::cerr << "cyclamenmountd: --settings FILE is required\n";
        return exit_code::usage;
    }
    if (options.check_only != 0) {
        return check_settings(options.settings_file);
    }
    std::optional<daemon_settings> settings;
    std::optional<daemon_secrets> secrets;
    const auto load = [&]() -> start_attempt {
        auto loaded = load_settings(options.settings_file);
        if (loaded.has_error()) {
            return {false, true, text_of(loaded.error())};
        }
        auto loaded_secrets = load_secrets(loaded.value());
        if (loaded_secrets.has_error()) {
            return {false, true, text_of(loaded_secrets.error())};
        }
        settings = std::move(loaded.value());
        secrets = std::move(loaded_secrets.value());
        return {true, false, ""};
    };
    const start_outcome outcome =
        retry_start(signals, {}, load, [](const std::string& failure) { std::cerr << failure; });
    if (outcome != start_outcome::done) {
        return outcome == start_outcome::stopped ? exit_code::done : exit_code::invalid_settings;
    }
    return run(*settings, *secrets, signals);
}

}  // namespace

int main(int argc, const char** argv) {
    const sigset_t signals = block_signals({SIGTERM, SIGINT, SIGHUP, SIGUSR1});
    daemon_options options;
    const poptOption table[] = {
        {"settings", 's', POPT_ARG_STRING, &options.settings_file, 0, "INI file with the settings",
         "FILE"},
        {"check", 'c', POPT_ARG_NONE, &options.check_only, 0, "check the settings and end",
         nullptr},
        {"version", 'V', POPT_ARG_NONE, &options.version, 0, "print the version", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, option_closer> context(
        poptGetContext("cyclamenmountd", argc, argv, table, 0));
    const int parsed = poptGetNextOpt(context.get());
    if (parsed < -1 || poptPeekArg(context.get()) != nullptr) {
        std::cerr << "cyclamenmountd: "
                  << (parsed < -1 ? poptStrerror(parsed) : "unexpected argument") << '\n';
        return static_cast<int>(exit_code::usage);
    }
    if (options.version != 0) {
        std::cout << "cyclamenmountd " CYCLAMENMOUNT_VERSION "\n";
        return 0;
    }
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    mg_init_library(0);
    return static_cast<int>(read_and_run(options, signals));
}
