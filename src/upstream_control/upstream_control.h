//! Control client of the upstreams: carries out status reads and commands as effects and posts
//! their results as events.
#pragma once

#include "http_loop/http_loop.h"
#include "types/effects.h"

#include <optional>

namespace cyclamenmount {

//! Carries out `poll_upstream` and `order_upstream`; posts exactly one event for each, also on
//! failure.
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

//! Parses an `X-Load` header; none if malformed. The upstream's id stays empty.
std::optional<upstream_report> parse_load(std::string_view header);

}  // namespace cyclamenmount
