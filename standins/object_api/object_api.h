//! Stand-in for the platform's Object API and instance list.
#pragma once

#include "standins/common/http_server.h"

namespace cyclamenmount::standins {

class object_api {
public:
    static result<std::unique_ptr<object_api>> start(const server_settings& settings);
    ~object_api();
    object_api(const object_api&) = delete;
    object_api& operator=(const object_api&) = delete;
    object_api(object_api&&) = delete;
    object_api& operator=(object_api&&) = delete;

    [[nodiscard]] std::string address() const;

private:
    struct impl;
    explicit object_api(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount::standins
