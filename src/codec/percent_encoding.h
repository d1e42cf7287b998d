//! Percent-encoding of texts for URIs (RFC 3986, section 2).
#pragma once

#include <string>
#include <string_view>

namespace cyclamenmount {

//! Encodes all bytes but the unreserved characters and those of `kept`, so that the result can be a
//! path segment, or a name or value of a query.
std::string percent_encode(std::string_view text, std::string_view kept = {});

}  // namespace cyclamenmount
