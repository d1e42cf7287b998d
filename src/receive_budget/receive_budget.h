//! Bounds on received bytes that are kept in memory, and which exchange ends when they are used up.
//! Does no I/O.
//!
//! A faulty peer may send bytes without end, and many sound ones may send much at once. What one
//! message may keep bounds the first case, what all exchanges may keep together the second.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cyclamenmount {

//! Bounds on received bytes, derived from the memory limit of the process.
struct receive_bounds {
    std::size_t total{0};  //!< kept by all exchanges with callers and upstreams
    //! Kept of one response of an upstream that isn't passed on yet, and of one event.
    std::size_t response{0};
    std::size_t store_response{0};  //!< kept of one response of the store
    std::size_t peer_messages{0};   //!< kept of incomplete messages of other instances
};

//! Returns the bounds for a process with this memory limit in bytes.
receive_bounds derive_receive_bounds(std::size_t memory_limit);

using exchange_number = std::uint64_t;

//! Received bytes that one exchange keeps: its buffers, and what was parsed and isn't passed on.
struct kept_bytes {
    std::string peer;  //!< the upstream's id or address, or `caller`
    std::size_t bytes{0};
};

//! Effect: the exchange has to end, as it keeps most when the budget is used up.
struct end_exchange {
    exchange_number number{0};
    kept_bytes kept;
    std::size_t total{0};  //!< kept by all exchanges before the end
};

//! What the exchanges of one event loop keep. An exchange that has to end no longer counts.
struct receive_budget {
    std::size_t max_total{0};
    std::size_t total{0};
    std::map<exchange_number, kept_bytes> exchanges;
    exchange_number last_number{0};
};

receive_budget make_receive_budget(std::size_t max_total);

//! Adds an exchange that keeps nothing yet, and returns its number.
exchange_number add_exchange(receive_budget& budget, std::string peer);

void remove_exchange(receive_budget& budget, exchange_number number);

//! Sets what an exchange keeps. If that exceeds the budget, the exchange that keeps most is removed
//! and returned; without it, the others are within the budget.
std::optional<end_exchange> set_kept_bytes(receive_budget& budget, exchange_number number,
                                           std::size_t bytes);

}  // namespace cyclamenmount
