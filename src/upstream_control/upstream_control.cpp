#include "upstream_control/upstream_control.h"

#include "upstream_control/internal/reports.h"

#include <nlohmann/json.hpp>

namespace cyclamenmount {

upstream_control::upstream_control(http_loop& loop, std::function<void(event)> post,
                                   milliseconds timeout)
    : loop_(loop), post_(std::move(post)), timeout_(timeout) {}

void upstream_control::carry_out(const poll_upstream& wanted) {
    http_request request;
    request.url = "http://" + wanted.address + "/v1/status";
    request.timeout = timeout_;
    loop_.submit(std::move(request),
                 [post = post_, upstream = wanted.upstream](const result<http_response>& response) {
                     post(detail::interpret_status(upstream, response));
                 });
}

void upstream_control::carry_out(const order_upstream& wanted) {
    http_request request;
    request.method = "POST";
    request.url = "http://" + wanted.address + "/v1/orders";
    request.headers = {"Content-Type: application/json"};
    request.body =
        nlohmann::json{{"fence", wanted.fence}, {"order", wanted.order}, {"name", wanted.name}}
            .dump();
    request.timeout = timeout_;
    loop_.submit(std::move(request),
                 [post = post_, upstream = wanted.upstream,
                  number = wanted.number](const result<http_response>& response) {
                     post(order_answered{upstream, number, detail::interpret_command(response)});
                 });
}

}  // namespace cyclamenmount
