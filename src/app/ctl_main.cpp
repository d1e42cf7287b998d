//! `cyclamenctl`: the operators' command line.
#include "ctl/ctl.h"
#include "platform/config_check.h"
#include "settings/settings.h"

#include <iostream>
#include <memory>
#include <span>
#include <thread>

#include <civetweb.h>
#include <popt.h>
#include <unistd.h>

namespace {

using namespace cyclamenmount;

//! Enough for the logs of several instances. Instances refuse lists above their own smaller limit.
constexpr std::size_t max_file_bytes = std::size_t{256} * 1024 * 1024;
constexpr unsigned watchdog_seconds = 120;

struct option_closer {
    void operator()(poptContext_s* context) const {
        poptFreeContext(context);
    }
};

//! Option values as popt stores them; popt allocates the strings.
struct raw_options {
    char* server{nullptr};
    char* caller{nullptr};
    char* secret_file{nullptr};
    char* key_file{nullptr};
    char* who{nullptr};
    char* reason{nullptr};
    char* base{nullptr};
    char* key{nullptr};
    char* deadline{nullptr};
    int json{0};
    int wait_ms{10000};
    int version{0};
};

void assign_if_set(std::string& target, const char* value) {
    if (value != nullptr) {
        target = value;
    }
}

//! Reads a secret file into `target` if `path` is given; prints an error and returns false on
//! failure.
bool load_secret_option(std::string& target, const char* path) {
    if (path == nullptr) {
        return true;
    }
    const auto secret = load_secret(path);
    if (secret.has_error()) {
        std::cerr << "cyclamenctl: " << secret.error().message << '\n';
        return false;
    }
    target = secret.value();
    return true;
}

int run(const ctl_options& options, const std::vector<std::string>& arguments) {
    const auto read = [](const std::string& path) { return read_file(path, max_file_bytes); };
    if (!arguments.empty() && arguments.front() == "check-config") {
        return static_cast<int>(platform::run_config_check(
            std::span(arguments).subspan(1), {read, std::cout, std::cerr, options.json}));
    }
    const ctl_io io{
        &exchange,
        read,
        [](milliseconds time) { std::this_thread::sleep_for(time); },
        [] { return boot_clock::now(); },
        std::cout,
        std::cerr,
    };
    mg_init_library(0);
    alarm(watchdog_seconds);
    const auto code = run_command(options, arguments, io);
    mg_exit_library();
    return static_cast<int>(code);
}

}  // namespace

int main(int argc, const char** argv) {
    raw_options raw;
    const poptOption table[] = {
        {"server", 's', POPT_ARG_STRING, &raw.server, 0, "address of an instance for operators",
         "IP:PORT"},
        {"secret-file", 'f', POPT_ARG_STRING, &raw.secret_file, 0, "file with the operator secret",
         "FILE"},
        {"caller", 'c', POPT_ARG_STRING, &raw.caller, 0,
         "address of an instance for callers, used by request and call", "IP:PORT"},
        {"key-file", 'k', POPT_ARG_STRING, &raw.key_file, 0, "file with the API key of a workspace",
         "FILE"},
        {"as", 'a', POPT_ARG_STRING, &raw.who, 0, "operator's name for the history", "NAME"},
        {"reason", 'r', POPT_ARG_STRING, &raw.reason, 0, "reason for the history", "TEXT"},
        {"base", 'b', POPT_ARG_STRING, &raw.base, 0, "version that the edit is based on", "N"},
        {"idempotency-key", 'i', POPT_ARG_STRING, &raw.key, 0,
         "Idempotency-Key, for request and call", "KEY"},
        {"deadline-ms", 'd', POPT_ARG_STRING, &raw.deadline, 0, "deadline, for request and call",
         "N"},
        {"wait-ms", 'w', POPT_ARG_INT, &raw.wait_ms, 0,
         "time limit in ms for waiting until in force", "N"},
        {"json", 'j', POPT_ARG_NONE, &raw.json, 0, "print JSON", nullptr},
        {"version", 'V', POPT_ARG_NONE, &raw.version, 0, "print the version", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, option_closer> context(
        poptGetContext("cyclamenctl", argc, argv, table, 0));
    const std::string usage = std::string("[OPTION...] COMMAND...\n\n") + command_help();
    poptSetOtherOptionHelp(context.get(), usage.c_str());
    const int parsed = poptGetNextOpt(context.get());
    if (parsed < -1) {
        std::cerr << "cyclamenctl: " << poptBadOption(context.get(), 0) << ": "
                  << poptStrerror(parsed) << '\n';
        return static_cast<int>(exit_code::usage);
    }
    if (raw.version != 0) {
        std::cout << "cyclamenctl " CYCLAMENMOUNT_VERSION "\n";
        return 0;
    }
    ctl_options options;
    assign_if_set(options.server, raw.server);
    assign_if_set(options.caller, raw.caller);
    assign_if_set(options.who, raw.who);
    assign_if_set(options.reason, raw.reason);
    assign_if_set(options.base, raw.base);
    assign_if_set(options.key, raw.key);
    assign_if_set(options.deadline, raw.deadline);
    options.json = raw.json != 0;
    options.wait = milliseconds(raw.wait_ms);
    if (!load_secret_option(options.secret, raw.secret_file) ||
        !load_secret_option(options.workspace_key, raw.key_file)) {
        return static_cast<int>(exit_code::usage);
    }
    std::vector<std::string> arguments;
    while (const char* const word = poptGetArg(context.get())) {
        arguments.emplace_back(word);
    }
    return run(options, arguments);
}
