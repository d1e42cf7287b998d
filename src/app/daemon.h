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

class daemon {
public:
    static result<std::unique_ptr<daemon>> start(daemon_settings settings, daemon_secrets secrets);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    daemon(daemon&&) = delete;
    daemon& operator=(daemon&&) = delete;

    //! Leaves the roster, refuses new requests, and waits until everything has ended or the drain
    //! limit has passed. True if nothing was cut off.
    bool drain();

    //! The whole state as JSON.
    [[nodiscard]] std::string dump() const;

private:
    struct impl;
    explicit daemon(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
