//! Decisions of the control thread that other threads wait for.
#pragma once

#include "types/effects.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <variant>

namespace cyclamenmount::detail {

using decision =
    std::variant<admission_decided, attempt_decided, permit_decided, claim_decided, edit_decided>;

//! Makes the event that gives back what a decision granted; none if nothing was granted. Called for
//! decisions that arrive after the wait has ended.
using return_event_factory = std::function<std::optional<event>(const decision&)>;

//! Matches decisions with the threads that wait for them, by ticket. Each request receives exactly
//! one decision, which may arrive after its wait has ended.
class pending_decisions {
public:
    //! Returns an unused ticket.
    ticket next();

    //! Registers a request under a ticket from `next`; must precede `wait`.
    void add(ticket number, return_event_factory make_return_event);

    //! Waits for the decision of a registered request; none after `limit` or `close`.
    std::optional<decision> wait(ticket number, milliseconds limit);

    //! Passes the decision to the waiting thread. If its wait has already ended, returns the event
    //! that gives back what the decision granted, if anything.
    std::optional<event> deliver(decision value);

    //! Ends all waits; those without a decision return none.
    void close();

private:
    struct waiting_request {
        return_event_factory make_return_event;
        std::optional<decision> received;
        bool abandoned{false};  //!< its wait has ended without a decision
    };

    std::mutex mutex_;
    std::condition_variable decision_arrived_;
    std::map<ticket, waiting_request> requests_;
    ticket next_{1};
    bool closed_{false};
};

//! Ticket of the request that a decision belongs to.
ticket ticket_of(const decision& value);

}  // namespace cyclamenmount::detail
