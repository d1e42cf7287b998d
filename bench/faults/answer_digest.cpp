//! Digest of an answer's text, computed apart from the daemon: reads one JSON string a line and
//! prints XXH3-64 in hex.
#include <iostream>
#include <string>

#include <nlohmann/json.hpp>
#include <xxhash.h>

int main() {
    for (std::string line; std::getline(std::cin, line);) {
        const std::string text = nlohmann::json::parse(line).get<std::string>();
        char hex[17] = {};
        const auto digest = static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size()));
        std::snprintf(hex, sizeof hex, "%016llx", digest);
        std::cout << hex << std::endl;
    }
    return 0;
}
