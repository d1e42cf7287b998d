//! `cyclamenctl`: the operators' command line.
#include "ctl/ctl.h"
#include "settings/settings.h"

#include <iostream>
#include <memory>
#include <thread>

#include <civetweb.h>
#include <popt.h>
#include <unistd.h>

namespace {

using namespace cyclamenmount;

//! Logs of several instances; an instance refuses lists that are too long by its own limit.
constexpr std::size_t max_file_bytes = std::size_t{256} * 1024 * 1024;
constexpr unsigned watchdog_seconds = 120;

struct option_closer {
    void operator()(poptContext_s* context) const {
        poptFreeContext(context);
    }
};

//! Values as popt writes them; it allocates the texts.
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

void take(std::string& target, const char* value) {
    if (value != nullptr) {
        target = value;
    }
}

//! Reads a secret into `target`; false with a message if it can't.
bool take_secret(std::string& target, const char* path) {
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

int run(const ctl_options& options, const std::vector<std::string>& words) {
    const ctl_world world{
        &exchange,
        [](const std::string& path) { return read_file(path, max_file_bytes); },
        [](milliseconds time) { std::this_thread::sleep_for(time); },
        [] { return boot_clock::now(); },
        std::cout,
        std::cerr,
    };
    mg_init_library(0);
    alarm(watchdog_seconds);
    const auto code = run_command(options, words, world);
    mg_exit_library();
    return static_cast<int>(code);
}

}  // namespace

int main(int argc, const char** argv) {
    raw_options raw;
    const poptOption table[] = {
        {"server", 's', POPT_ARG_STRING, &raw.server, 0, "operators' listener of an instance",
         "IP:PORT"},
        {"secret-file", 'f', POPT_ARG_STRING, &raw.secret_file, 0,
         "file with the operators' secret", "FILE"},
        {"caller", 'c', POPT_ARG_STRING, &raw.caller, 0, "callers' listener, for request and call",
         "IP:PORT"},
        {"key-file", 'k', POPT_ARG_STRING, &raw.key_file, 0, "file with a workspace's key", "FILE"},
        {"as", 'a', POPT_ARG_STRING, &raw.who, 0, "name for the history", "NAME"},
        {"reason", 'r', POPT_ARG_STRING, &raw.reason, 0, "reason for the history", "TEXT"},
        {"base", 'b', POPT_ARG_STRING, &raw.base, 0, "version that the edit is based on", "N"},
        {"idempotency-key", 'i', POPT_ARG_STRING, &raw.key, 0, "for request and call", "KEY"},
        {"deadline-ms", 'd', POPT_ARG_STRING, &raw.deadline, 0, "for request and call", "N"},
        {"wait-ms", 'w', POPT_ARG_INT, &raw.wait_ms, 0, "wait this long until in force", "N"},
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
    take(options.server, raw.server);
    take(options.caller, raw.caller);
    take(options.who, raw.who);
    take(options.reason, raw.reason);
    take(options.base, raw.base);
    take(options.key, raw.key);
    take(options.deadline, raw.deadline);
    options.json = raw.json != 0;
    options.wait = milliseconds(raw.wait_ms);
    if (!take_secret(options.secret, raw.secret_file) ||
        !take_secret(options.workspace_key, raw.key_file)) {
        return static_cast<int>(exit_code::usage);
    }
    std::vector<std::string> words;
    while (const char* const word = poptGetArg(context.get())) {
        words.emplace_back(word);
    }
    return run(options, words);
}
