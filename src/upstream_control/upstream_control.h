//! Status reads and orders to upstreams, as effects in and events out.
#pragma once

#include "http_loop/http_loop.h"
#include "types/effects.h"

#include <optional>

namespace cyclamenmount {

//! Carries out `poll_upstream` and `order_upstream`; each answer is posted as one event.
class upstream_control {
public:
    upstream_control(http_loop& loop, std::function<void(event)> post, milliseconds timeout);

    void carry_out(const poll_upstream& wanted);
    void carry_out(const order_upstream& wanted);

private:
    http_loop& loop_;
    std::function<void(event)> post_;
    milliseconds timeout_;
};

//! Parses the header `X-Load`; none if malformed.
std::optional<upstream_report> parse_load(std::string_view header);

}  // namespace cyclamenmount
