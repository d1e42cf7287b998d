//! Computes the digests of response texts independently of the daemon: reads one JSON string per
//! line and prints its XXH3-64 hash in hex.
#include <iostream>
#include <string>

#include <nlohmann/json.hpp>
#include <xxhash.h>

int main() {  // NOLINT(bugprone-exception-escape): an exception may end the program
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
