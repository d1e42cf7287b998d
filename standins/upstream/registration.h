//! Registration of upstreams in the platform's instance list.
#pragma once

#include "types/errors.h"

#include <string>

namespace cyclamenmount::standins {

struct registration {
    std::string id;
    std::string address;
    std::string zone;
    std::string role;
    std::string state;
};

//! Sends one entry to the Object API stand-in at `http://IP:PORT`.
result<void> register_instance(const std::string& object_api, const registration& entry);

}  // namespace cyclamenmount::standins
