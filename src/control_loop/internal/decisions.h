//! Questions of traffic threads that wait for their decision.
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

//! Makes the event that gives back what a late decision granted; none if it granted nothing.
using give_back = std::function<std::optional<event>(const decision&)>;

//! Links tickets with decisions. Every question is decided once, perhaps after it was given up.
class decision_board {
public:
    //! A fresh ticket.
    ticket next();

    //! Opens a question under a ticket from `next`.
    void open(ticket number, give_back late);

    //! Waits for the decision of an open question; none after `limit` or `close`.
    std::optional<decision> wait(ticket number, milliseconds limit);

    //! Hands the decision to the one who waits. If nobody does, the event that gives it back.
    std::optional<event> deliver(decision value);

    //! Ends every wait.
    void close();

private:
    struct question {
        give_back late;
        std::optional<decision> answer;
        bool given_up{false};
    };

    std::mutex mutex_;
    std::condition_variable arrived_;
    std::map<ticket, question> open_;
    ticket next_{1};
    bool closed_{false};
};

//! Ticket of a decision.
ticket number_of(const decision& value);

}  // namespace cyclamenmount::detail
