//! Settings of one daemon, read from an INI file.
#pragma once

#include "types/configuration.h"
#include "types/errors.h"

#include <string>
#include <string_view>

namespace cyclamenmount {

struct daemon_settings {
    std::string cell{"cell-1"};  //!< name shared by all instances that form one roster
    zone_name zone;
    std::string peer_listen;      //!< address for peers, IP:PORT
    std::string caller_listen;    //!< address for callers, IP:PORT
    std::string operator_listen;  //!< address for operators, IP:PORT
    int concurrency{64};          //!< maximum number of concurrent requests of the instance
    //! Time between reporting not ready and refusing requests, so that load balancers notice.
    milliseconds stop_notice{1500};
    milliseconds drain_limit{60000};   //!< time limit for running requests when stopping
    std::string object_api;            //!< address of the platform's Object API, IP:PORT
    std::string peer_secret_file;      //!< path; only the file's owner may have access
    std::string operator_secret_file;  //!< path; only the file's owner may have access
    timing_settings timing;
    topology pools;
};

//! Parses settings, or returns all findings at once. `file` is the file name shown in findings.
checked<daemon_settings> parse_settings(std::string_view text, std::string_view file);

//! Reads and parses a settings file of at most 1 MiB.
checked<daemon_settings> load_settings(const std::string& path);

//! Reads a secret of 16 to 1,024 bytes without trailing newlines. Rejects a file to which its group
//! or others have access.
result<std::string> load_secret(const std::string& path);

//! Reads a whole file; an error if it has more than `limit` bytes.
result<std::string> read_file(const std::string& path, std::size_t limit);

//! IP address and port.
struct endpoint {
    std::string ip;
    int port{0};
};

//! Parses `IP:PORT` with an IPv4 address and a port from 1 to 65535.
result<endpoint> parse_endpoint(std::string_view text);

}  // namespace cyclamenmount
