//! Parsing of callers' requests. Functions without side effects.
#pragma once

#include "types/configuration.h"
#include "types/errors.h"
#include "types/ids.h"

#include <optional>
#include <string_view>

namespace cyclamenmount::detail {

//! Header values as received; none if absent.
struct request_headers {
    std::optional<std::string> authorization;
    std::optional<std::string> deadline;
    std::optional<std::string> idempotency_key;
};

struct request_fields {
    std::string key_sha256;    //!< SHA-256 of the caller's API key, in hexadecimal
    milliseconds deadline{0};  //!< 0 if the header is absent
    idempotency_key key;       //!< empty if the header is absent
};

struct pipeline_body {
    std::string input;
    int max_tokens{256};
};

decided<request_fields> parse_fields(const request_headers& headers);

decided<idempotency_key> parse_key(std::string_view text);

decided<pipeline_body> parse_pipeline_body(std::string_view text);

//! Parses a query such as `from=12` to a frame number; 0 if the query is empty.
decided<std::size_t> parse_from(std::string_view query);

//! Hashes the caller, the target and the body to 32 hexadecimal digits.
fingerprint fingerprint_of(std::string_view caller_key_sha256, std::string_view target,
                           std::string_view body);

bool is_operation_name(std::string_view text);

}  // namespace cyclamenmount::detail
