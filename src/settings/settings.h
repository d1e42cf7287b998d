//! Settings of one daemon, from an INI file.
#pragma once

#include "types/configuration.h"
#include "types/errors.h"

#include <string>
#include <string_view>

namespace cyclamenmount {

struct daemon_settings {
    std::string cell{"cell-1"};
    zone_name zone;
    std::string peer_listen;         //!< IP:PORT
    std::string caller_listen;       //!< IP:PORT
    std::string operator_listen;     //!< IP:PORT
    int concurrency{64};             //!< requests running at once on this instance
    milliseconds stop_notice{1500};  //!< between not ready and refusing, for the balancer
    milliseconds drain_limit{60000};
    std::string object_api;            //!< IP:PORT
    std::string peer_secret_file;      //!< readable by its owner only
    std::string operator_secret_file;  //!< readable by its owner only
    timing_settings timing;
    topology pools;
};

//! All findings of the text together. `file` only names their place.
checked<daemon_settings> parse_settings(std::string_view text, std::string_view file);

//! Reads and parses a file.
checked<daemon_settings> load_settings(const std::string& path);

//! Reads a secret of 16 to 1,024 bytes; refuses a file that group or others can read.
result<std::string> load_secret(const std::string& path);

//! A whole file of at most `limit` bytes.
result<std::string> read_file(const std::string& path, std::size_t limit);

//! An `IP:PORT` in its two parts.
struct endpoint {
    std::string ip;
    int port{0};
};

result<endpoint> parse_endpoint(std::string_view text);

}  // namespace cyclamenmount
