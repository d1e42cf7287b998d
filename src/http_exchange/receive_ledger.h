//! Books what the exchanges of one event loop keep of received bytes, and ends those that keep too
//! much.
#pragma once

#include "receive_budget/receive_budget.h"

#include <functional>
#include <memory>
#include <string>

namespace cyclamenmount {

//! An exchange that was ended because it kept too much.
struct receive_excess {
    std::string peer;
    std::size_t kept{0};   //!< bytes kept by the exchange
    std::size_t total{0};  //!< bytes kept by all exchanges
    std::size_t bound{0};  //!< bound that was exceeded
    bool is_total{false};  //!< the bound is that of all exchanges together
};

//! Used on one event loop.
class receive_ledger {
public:
    //! `on_excess` is called for each exchange that ends because it kept too much.
    receive_ledger(receive_bounds bounds, std::function<void(const receive_excess&)> on_excess);

    [[nodiscard]] const receive_bounds& bounds() const {
        return bounds_;
    }

    //! Bytes kept by all exchanges.
    [[nodiscard]] std::size_t kept() const {
        return budget_.total;
    }

    //! Number of exchanges that were ended because they kept too much.
    [[nodiscard]] std::uint64_t excesses() const {
        return excesses_;
    }

    //! Reports an exchange that exceeded its own bound; the caller ends it.
    void report_excess(const std::string& peer, std::size_t kept, std::size_t bound);

private:
    friend class receive_account;

    receive_bounds bounds_;
    receive_budget budget_;
    std::map<exchange_number, class receive_account*> accounts_;
    std::function<void(const receive_excess&)> on_excess_;
    std::uint64_t excesses_{0};
};

using receive_ledger_ptr = std::shared_ptr<receive_ledger>;

//! Entry of one exchange in the ledger; closed when this object is destroyed.
class receive_account {
public:
    //! `on_end` is called if the exchange has to end since it keeps most when the budget is used
    //! up; it must not destroy this object. Without a ledger nothing is booked.
    receive_account(receive_ledger_ptr ledger, std::string peer, std::function<void()> on_end);
    ~receive_account();
    receive_account(const receive_account&) = delete;
    receive_account& operator=(const receive_account&) = delete;
    receive_account(receive_account&&) = delete;
    receive_account& operator=(receive_account&&) = delete;

    //! Books what the exchange keeps now.
    void set_kept(std::size_t bytes);

    //! Replaces the function that ends the exchange.
    void set_on_end(std::function<void()> on_end) {
        on_end_ = std::move(on_end);
    }

    //! True once the exchange has to end.
    [[nodiscard]] bool is_ended() const {
        return is_ended_;
    }

    [[nodiscard]] std::size_t kept() const {
        return kept_;
    }

    //! Reports that the exchange exceeded its own bound.
    void report_excess(std::size_t bound) const;

private:
    void end();

    receive_ledger_ptr ledger_;
    std::string peer_;
    std::function<void()> on_end_;
    exchange_number number_{0};
    std::size_t kept_{0};
    bool is_ended_{false};
};

}  // namespace cyclamenmount
