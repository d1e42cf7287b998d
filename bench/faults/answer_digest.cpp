//! Digest of an answer's text, computed apart from the daemon: reads one JSON string a line and
//! prints XXH3-64 in hex.
#include <iostream>
#include <string>

#include <nlohmann/json.hpp>
#include <xxhash.h>

int main() {  // NOLINT(bugprone-exception-escape): a failure may end it
    for (std::string line; std::getline(std::cin, line);) {
        const auto value = nlohmann::json::parse(line, nullptr, false);
        const auto* found = value.get_ptr<const std::string*>();
        const std::string text = found == nullptr ? std::string() : *found;
        char hex[17] = {};
        const auto digest = static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size()));
        std::snprintf(hex, sizeof hex, "%016llx", digest);
        std::cout << hex << std::endl;
    }
    return 0;
}
