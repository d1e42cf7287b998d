//! Parses what callers send. Pure.
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
    std::string key_sha256;    //!< of the caller's key
    milliseconds deadline{0};  //!< 0: not given
    idempotency_key key;       //!< empty if not given
};

struct pipeline_body {
    std::string input;
    int max_tokens{256};
};

decided<request_fields> parse_fields(const request_headers& headers);

decided<idempotency_key> parse_key(std::string_view text);

decided<pipeline_body> parse_pipeline_body(std::string_view text);

//! Frame number of a query such as `from=12`; 0 without one.
decided<std::size_t> parse_from(std::string_view query);

//! Hash of the caller, the target and the body.
fingerprint fingerprint_of(std::string_view owner, std::string_view target, std::string_view body);

bool is_operation_name(std::string_view text);

}  // namespace cyclamenmount::detail
