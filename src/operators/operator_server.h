//! Operator listener: serves the plan and allowance lists, the availability of zones and upstreams,
//! versions, status, dump and metrics.
#pragma once

#include "control/client.h"
#include "control/control.h"
#include "http_server/http_server.h"

#include <span>

#include <nlohmann/json.hpp>

namespace cyclamenmount {

struct operator_dependencies {
    control_client control;
    //! Runs the function on the control thread with the control state; false while stopping.
    std::function<bool(const std::function<void(const control_state&)>&)> inspect;
    std::function<std::string()> metrics_page;      //!< metrics in the text exposition format
    std::function<void(const std::string&)> audit;  //!< writes one audit line
};

struct operator_settings {
    std::string listen;  //!< IP:PORT
    std::string secret;  //!< bearer token that every request must carry
    topology pools;      //!< pools and pipelines that the lists may name
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

//! Status for operators: members, upstreams, documents, quarantine and what is out of service.
nlohmann::json describe_status(const control_state& state, instant now);

//! A document's change records as JSON, newest first.
nlohmann::json describe_changes(std::span<const change_record> changes);

//! Versions in force on this instance and, as last reported, on its peers.
nlohmann::json describe_versions(const control_state& state);

}  // namespace cyclamenmount
