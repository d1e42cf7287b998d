#include "standins/upstream/registration.h"

#include <array>
#include <memory>

#include <civetweb.h>
#include <nlohmann/json.hpp>

namespace cyclamenmount::standins {

namespace {

constexpr int answer_timeout_ms = 2000;

struct endpoint {
    std::string host;
    int port{0};
};

endpoint parse_endpoint(std::string url) {
    const std::string scheme = "http://";
    if (url.starts_with(scheme)) {
        url.erase(0, scheme.size());
    }
    const std::size_t colon = url.rfind(':');
    const std::string port = colon == std::string::npos ? "0" : url.substr(colon + 1);
    return {url.substr(0, colon), static_cast<int>(std::strtol(port.c_str(), nullptr, 10))};
}

}  // namespace

result<void> register_instance(const std::string& object_api, const registration& entry) {
    const std::string body = nlohmann::json{
        {"id", entry.id},
        {"address", entry.address},
        {"zone", entry.zone},
        {"role", entry.role},
        {"state", entry.state}}.dump();
    const endpoint target = parse_endpoint(object_api);
    std::array<char, 256> failure{};
    const std::unique_ptr<mg_connection, decltype(&mg_close_connection)> connection(
        mg_connect_client(target.host.c_str(), target.port, 0, failure.data(), failure.size()),
        &mg_close_connection);
    if (connection == nullptr) {
        return error{error_kind::unreachable, "no connection to " + object_api};
    }
    mg_printf(connection.get(),
              "POST /_instances HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
              "Content-Length: %zu\r\n\r\n%s",
              target.host.c_str(), body.size(), body.c_str());
    if (mg_get_response(connection.get(), failure.data(), failure.size(), answer_timeout_ms) < 0 ||
        mg_get_response_info(connection.get())->status_code != 200) {
        return error{error_kind::protocol, "the instance list took no entry"};
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace cyclamenmount::standins
