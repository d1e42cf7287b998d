//! One daemon: all modules wired together.
#pragma once

#include "settings/settings.h"

#include <memory>

namespace cyclamenmount {

//! What has to be read before anything starts.
struct daemon_secrets {
    std::string peer;
    std::string operators;
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

    //! Leaves the roster, refuses new requests, and waits until everything has ended or the drain
    //! limit has passed. True if nothing was cut off.
    bool drain();

    //! The whole state as JSON.
    [[nodiscard]] std::string dump() const;

private:
    struct impl;
    explicit daemon_process(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
