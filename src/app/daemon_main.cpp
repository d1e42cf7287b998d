//! `cyclamenmountd`: the daemon that every entry instance runs.
#include "app/daemon.h"
#include "process_start/signals.h"

#include <iostream>
#include <memory>

#include <civetweb.h>
#include <curl/curl.h>
#include <glog/logging.h>
#include <popt.h>

namespace {

using namespace cyclamenmount;

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

exit_code print_findings(const findings& found) {
    for (const auto& one : found) {
        std::cerr << one.file << ':' << one.line << ": " << one.message << '\n';
    }
    return exit_code::invalid_settings;
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
        std::cerr << "dump: " << running.dump() << std::endl;
    }
}

exit_code run(const daemon_settings& settings, const sigset_t& signals) {
    const auto peer_secret = load_secret(settings.peer_secret_file);
    const auto operator_secret = load_secret(settings.operator_secret_file);
    findings found;
    for (const auto* const secret : {&peer_secret, &operator_secret}) {
        if (secret->has_error()) {
            found.push_back({"settings", 0, secret->error().message});
        }
    }
    if (!found.empty()) {
        return print_findings(found);
    }
    auto started = daemon_process::start(settings, {peer_secret.value(), operator_secret.value()});
    if (started.has_error()) {
        LOG(ERROR) << "daemon: " << started.error().message << '.';
        return exit_code::failed;
    }
    wait_for_stop(signals, *started.value());
    return started.value()->drain() ? exit_code::done : exit_code::failed;
}

exit_code read_and_run(const daemon_options& options, const sigset_t& signals) {
    if (options.settings_file == nullptr) {
        std::cerr << "cyclamenmountd: --settings FILE is required\n";
        return exit_code::usage;
    }
    const auto settings = load_settings(options.settings_file);
    if (settings.has_error()) {
        return print_findings(settings.error());
    }
    if (options.check_only != 0) {
        std::cout << options.settings_file << ": no faults\n";
        return exit_code::done;
    }
    return run(settings.value(), signals);
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
