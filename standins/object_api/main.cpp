//! standin-object-api: simulates the platform's Object API and instance list in memory.
#include "standins/common/program.h"
#include "standins/object_api/object_api.h"

#include <cstdio>
#include <cstdlib>
#include <memory>

#include <popt.h>

namespace {

struct options {
    std::string listen{"127.0.0.1:23080"};
    int threads{256};
};

bool parse_options(int argc, const char** argv, options& parsed) {
    char* listen = nullptr;
    const poptOption table[] = {
        {"listen", 'l', POPT_ARG_STRING, &listen, 0, "address to listen on", "IP:PORT"},
        {"threads", 't', POPT_ARG_INT, &parsed.threads, 0, "worker threads", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, argc, argv, table, 0), &poptFreeContext);
    const int status = poptGetNextOpt(context.get());
    if (listen != nullptr) {
        parsed.listen = listen;
        std::free(listen);  // NOLINT(cppcoreguidelines-no-malloc): popt allocates it with malloc
    }
    if (status < -1) {
        std::fprintf(stderr, "%s: %s\n", poptBadOption(context.get(), 0), poptStrerror(status));
    }
    return status == -1;
}

}  // namespace

int main(int argc, char** argv) {
    const sigset_t signals = cyclamenmount::standins::block_stop_signals();
    options parsed;
    if (!parse_options(argc, const_cast<const char**>(argv), parsed)) {
        return 2;
    }
    auto api = cyclamenmount::standins::object_api::start({parsed.listen, parsed.threads});
    if (!api) {
        std::fprintf(stderr, "%s\n", api.error().message.c_str());
        return 1;
    }
    cyclamenmount::standins::wait_for_stop(signals);
    return 0;
}
