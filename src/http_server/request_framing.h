//! Framing of requests that CivetWeb has parsed. Its own check covers the first Transfer-Encoding
//! field alone and accepts `identity`.
#pragma once

#include "types/http_framing.h"

#include <civetweb.h>
#include <strings.h>

namespace cyclamenmount {

//! What the head of a request says of the length of its body.
inline message_framing framing_of(const mg_request_info& info) {
    message_framing framing;
    const std::string_view version = info.http_version == nullptr ? "" : info.http_version;
    framing.version_minor = version == "1.0" ? 0 : 1;
    for (int at = 0; at < info.num_headers; ++at) {
        const mg_header& header = info.http_headers[at];
        if (strcasecmp(header.name, "Content-Length") == 0) {
            framing.has_length = true;
        } else if (strcasecmp(header.name, "Transfer-Encoding") == 0) {
            add_transfer_encoding(framing, header.value);
        }
    }
    return framing;
}

}  // namespace cyclamenmount
