//! Classes of HTTP statuses (RFC 9110, section 15).
#pragma once

namespace cyclamenmount {

inline constexpr int first_interim_status = 100;
inline constexpr int first_final_status = 200;
inline constexpr int last_final_status = 599;

//! True for the status of a response that another one follows.
constexpr bool is_interim_status(int status) {
    return status >= first_interim_status && status < first_final_status;
}

//! True for the status of a response that ends its exchange. A message whose status is neither
//! interim nor final is malformed, whatever its other parts say.
constexpr bool is_final_status(int status) {
    return status >= first_final_status && status <= last_final_status;
}

}  // namespace cyclamenmount
