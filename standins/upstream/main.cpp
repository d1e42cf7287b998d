//! standin-upstream: simulates any number of upstreams in one process.
#include "standins/common/program.h"
#include "standins/upstream/registration.h"
#include "standins/upstream/upstream.h"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <vector>

#include <popt.h>

namespace standins = cyclamenmount::standins;

namespace {

struct options {
    std::vector<std::string> upstreams;
    std::string object_api;
};

constexpr int upstream_option = 1;
constexpr int register_option = 2;

std::string take_argument(poptContext context) {
    char* text = poptGetOptArg(context);
    std::string taken = text == nullptr ? "" : text;
    std::free(text);  // NOLINT(cppcoreguidelines-no-malloc): popt allocates it with malloc
    return taken;
}

bool parse_options(int argc, const char** argv, options& parsed) {
    const poptOption table[] = {
        {"upstream", 'u', POPT_ARG_STRING, nullptr, upstream_option, "one upstream; repeatable",
         "id=ID,listen=IP:PORT,pool=POOL,kind=engine|stage|service,zone=ZONE,capacity=N,cold=N"},
        {"register", 'r', POPT_ARG_STRING, nullptr, register_option,
         "register the upstreams in the instance list", "http://IP:PORT"},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, argc, argv, table, 0), &poptFreeContext);
    int status = 0;
    while ((status = poptGetNextOpt(context.get())) > 0) {
        const std::string value = take_argument(context.get());
        if (status == upstream_option) {
            parsed.upstreams.push_back(value);
        } else {
            parsed.object_api = value;
        }
    }
    if (status < -1) {
        std::fprintf(stderr, "%s: %s\n", poptBadOption(context.get(), 0), poptStrerror(status));
    }
    return status == -1;
}

cyclamenmount::result<std::unique_ptr<standins::upstream>> start_upstream(const std::string& text) {
    auto settings = standins::parse_upstream_settings(text);
    if (!settings) {
        return settings.error();
    }
    return standins::upstream::start(settings.value());
}

bool register_upstream(const options& parsed, const standins::upstream& started,
                       const char* state) {
    if (parsed.object_api.empty()) {
        return true;
    }
    const standins::upstream_settings& settings = started.settings();
    const auto registered = standins::register_instance(
        parsed.object_api, {settings.id, started.address(), settings.zone, settings.pool, state});
    if (!registered) {
        std::fprintf(stderr, "%s\n", registered.error().message.c_str());
    }
    return registered.has_value();
}

}  // namespace

int main(int argc, char** argv) {
    const sigset_t signals = standins::block_stop_signals();
    options parsed;
    if (!parse_options(argc, const_cast<const char**>(argv), parsed)) {
        return 2;
    }
    std::vector<std::unique_ptr<standins::upstream>> upstreams;
    for (const std::string& text : parsed.upstreams) {
        auto started = start_upstream(text);
        if (!started) {
            std::fprintf(stderr, "%s\n", started.error().message.c_str());
            return 1;
        }
        if (!register_upstream(parsed, *started.value(), "live")) {
            return 1;
        }
        upstreams.push_back(std::move(started).value());
    }
    standins::wait_for_stop(signals);
    for (const auto& started : upstreams) {
        register_upstream(parsed, *started, "gone");
    }
    return 0;
}
