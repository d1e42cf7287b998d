//! Client of the platform's Object API and instance list: carries out effects and posts their
//! results as events.
#pragma once

#include "http_loop/http_loop.h"
#include "types/effects.h"

namespace cyclamenmount {

struct object_api_settings {
    std::string address;         //!< IP:PORT of the Object API
    std::string client_name;     //!< value of the X-Client header
    milliseconds timeout{1500};  //!< limit of one call other than a watch
};

//! Number of calls by kind, and of those with an unknown outcome.
struct object_api_counters {
    std::uint64_t reads{0};
    std::uint64_t writes{0};
    std::uint64_t watches{0};
    std::uint64_t lists{0};
    std::uint64_t failures{0};
};

//! Carries out store effects on an `http_loop`; posts exactly one event for each, also on failure.
class object_api_client {
public:
    static result<std::unique_ptr<object_api_client>>
    start(object_api_settings settings, http_loop& loop, std::function<void(event)> post);
    ~object_api_client();
    object_api_client(const object_api_client&) = delete;
    object_api_client& operator=(const object_api_client&) = delete;
    object_api_client(object_api_client&&) = delete;
    object_api_client& operator=(object_api_client&&) = delete;

    void carry_out(const store_read& wanted);
    void carry_out(const store_write& wanted);
    void carry_out(const watch_prefix& wanted);
    void carry_out(const list_instances& wanted);

    [[nodiscard]] object_api_counters counters() const;

private:
    struct impl;
    explicit object_api_client(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
