//! The platform's Object API and instance list, as effects in and events out.
#pragma once

#include "http_loop/http_loop.h"
#include "types/effects.h"

namespace cyclamenmount {

struct platform_settings {
    std::string address;      //!< IP:PORT of the Object API
    std::string client_name;  //!< sent as X-Client
    milliseconds timeout{1500};
};

struct platform_counters {
    std::uint64_t reads{0};
    std::uint64_t writes{0};
    std::uint64_t watches{0};
    std::uint64_t lists{0};
    std::uint64_t failures{0};
};

//! Carries out the store effects on an `http_loop`; each answer is posted as one event.
class platform_client {
public:
    static result<std::unique_ptr<platform_client>>
    start(platform_settings settings, http_loop& loop, std::function<void(event)> post);
    ~platform_client();
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;
    platform_client(platform_client&&) = delete;
    platform_client& operator=(platform_client&&) = delete;

    void carry_out(const store_read& wanted);
    void carry_out(const store_write& wanted);
    void carry_out(const watch_prefix& wanted);
    void carry_out(const list_instances& wanted);

    [[nodiscard]] platform_counters counters() const;

private:
    struct impl;
    explicit platform_client(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
