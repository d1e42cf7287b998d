//! The daemon process: creates all modules and connects them.
#pragma once

#include "settings/settings.h"

#include <memory>

namespace cyclamenmount {

//! Secrets of the daemon, read from their files before it starts.
struct daemon_secrets {
    std::string peer;       //!< authenticates peer connections
    std::string operators;  //!< bearer token of operators
};

class daemon_process {
public:
    static result<std::unique_ptr<daemon_process>> start(daemon_settings settings,
                                                         daemon_secrets secrets);
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;
    daemon_process(daemon_process&&) = delete;
    daemon_process& operator=(daemon_process&&) = delete;

    //! Reports not ready, refuses new requests after the stop notice, leaves the roster and waits
    //! until all requests have ended or the drain limit expires. True if no request was
    //! interrupted.
    bool drain();

    //! The control state and the counters of peers and store as JSON.
    [[nodiscard]] std::string dump() const;

private:
    struct impl;
    explicit daemon_process(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
