//! The operators' listener: the two lists, zones and upstreams out, versions, status, dump,
//! metrics.
#pragma once

#include "control/client.h"
#include "control/control.h"
#include "http_server/http_server.h"

#include <span>

#include <nlohmann/json.hpp>

namespace cyclamenmount {

struct operator_dependencies {
    control_client control;
    //! Runs a look on the control thread; false while stopping.
    std::function<bool(const std::function<void(const control_state&)>&)> inspect;
    std::function<std::string()> metrics_page;
    std::function<void(const std::string&)> audit;  //!< one line for each change and refusal
};

struct operator_settings {
    std::string listen;  //!< IP:PORT
    std::string secret;
    topology pools;
};

class operator_server {
public:
    static result<std::unique_ptr<operator_server>> start(operator_settings settings,
                                                          operator_dependencies dependencies);
    ~operator_server();
    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;
    operator_server(operator_server&&) = delete;
    operator_server& operator=(operator_server&&) = delete;

    [[nodiscard]] int port() const;

private:
    struct impl;
    explicit operator_server(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

//! The control state as operators see it: members, upstreams, what is out, versions.
nlohmann::json describe_status(const control_state& state, instant now);

//! A document's changes, newest first.
nlohmann::json describe_changes(std::span<const change_record> changes);

//! Versions in force at this instance and, as last heard, at its peers.
nlohmann::json describe_versions(const control_state& state);

}  // namespace cyclamenmount
