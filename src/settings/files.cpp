#include "settings/settings.h"

#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <memory>

#include <arpa/inet.h>
#include <sys/stat.h>

namespace cyclamenmount {

namespace {

constexpr std::size_t max_settings_bytes = std::size_t{1024} * 1024;
constexpr std::size_t min_secret_bytes = 16;
constexpr std::size_t max_secret_bytes = 1024;
constexpr int max_port = 65535;

struct file_closer {
    void operator()(std::FILE* file) const {
        std::fclose(file);
    }
};

using file_handle = std::unique_ptr<std::FILE, file_closer>;

error system_error(const std::string& path) {
    return {error_kind::system, path + ": " + std::strerror(errno)};
}

}  // namespace

result<std::string> read_file(const std::string& path, std::size_t limit) {
    const file_handle file(std::fopen(path.c_str(), "rbe"));
    if (file == nullptr) {
        return system_error(path);
    }
    std::string text(limit + 1, '\0');
    text.resize(std::fread(text.data(), 1, text.size(), file.get()));
    if (std::ferror(file.get()) != 0) {
        return system_error(path);
    }
    if (text.size() > limit) {
        return error{error_kind::invalid, path + " is too large"};
    }
    return text;
}

checked<daemon_settings> load_settings(const std::string& path) {
    const auto text = read_file(path, max_settings_bytes);
    if (text.has_error()) {
        return findings{{path, 0, text.error().message}};
    }
    return parse_settings(text.value(), path);
}

result<std::string> load_secret(const std::string& path) {
    struct stat status {};

    if (stat(path.c_str(), &status) != 0) {
        return system_error(path);
    }
    if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        return error{error_kind::invalid, path + " can be read by others than its owner"};
    }
    auto text = read_file(path, max_secret_bytes);
    if (text.has_error()) {
        return text;
    }
    auto& secret = text.value();
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
        secret.pop_back();
    }
    if (secret.size() < min_secret_bytes) {
        return error{error_kind::invalid, path + " is too short: a secret has at least 16 bytes"};
    }
    return text;
}

result<endpoint> parse_endpoint(std::string_view text) {
    const auto fault = error{error_kind::invalid, "expected IP:PORT"};
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return fault;
    }
    endpoint parsed{std::string(text.substr(0, colon)), 0};
    const auto port = text.substr(colon + 1);
    const char* const end = port.data() + port.size();
    const auto [stopped, failure] = std::from_chars(port.data(), end, parsed.port);
    in_addr address{};
    const bool is_valid_ip = inet_pton(AF_INET, parsed.ip.c_str(), &address) == 1;
    if (failure != std::errc{} || stopped != end || parsed.port < 1 || parsed.port > max_port ||
        !is_valid_ip) {
        return fault;
    }
    return parsed;
}

}  // namespace cyclamenmount
