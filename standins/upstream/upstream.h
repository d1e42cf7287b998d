//! Stand-in for one upstream: an engine, another stage or a plain service.
#pragma once

#include "standins/common/http_server.h"
#include "standins/upstream/settings.h"

namespace cyclamenmount::standins {

class upstream {
public:
    static result<std::unique_ptr<upstream>> start(upstream_settings settings);
    ~upstream();
    upstream(const upstream&) = delete;
    upstream& operator=(const upstream&) = delete;
    upstream(upstream&&) = delete;
    upstream& operator=(upstream&&) = delete;

    [[nodiscard]] std::string address() const;
    [[nodiscard]] const upstream_settings& settings() const;

private:
    struct impl;
    explicit upstream(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount::standins
