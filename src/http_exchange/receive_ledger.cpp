#include "http_exchange/receive_ledger.h"

#include <utility>

namespace cyclamenmount {

receive_ledger::receive_ledger(receive_bounds bounds,
                               std::function<void(const receive_excess&)> on_excess)
    : bounds_(bounds), budget_(make_receive_budget(bounds.total)),
      on_excess_(std::move(on_excess)) {}

void receive_ledger::report_excess(const std::string& peer, std::size_t kept, std::size_t bound) {
    ++excesses_;
    on_excess_({peer, kept, budget_.total, bound, false});
}

receive_account::receive_account(receive_ledger_ptr ledger, std::string peer,
                                 std::function<void()> on_end)
    : ledger_(std::move(ledger)), peer_(std::move(peer)), on_end_(std::move(on_end)) {
    if (ledger_) {
        number_ = add_exchange(ledger_->budget_, peer_);
        ledger_->accounts_.emplace(number_, this);
    }
}

receive_account::~receive_account() {
    if (ledger_) {
        remove_exchange(ledger_->budget_, number_);
        ledger_->accounts_.erase(number_);
    }
}

void receive_account::set_kept(std::size_t bytes) {
    kept_ = bytes;
    if (!ledger_) {
        return;
    }
    const auto ended = set_kept_bytes(ledger_->budget_, number_, bytes);
    if (!ended) {
        return;
    }
    ++ledger_->excesses_;
    ledger_->on_excess_(
        {ended->kept.peer, ended->kept.bytes, ended->total, ledger_->bounds_.total, true});
    ledger_->accounts_.at(ended->number)->end();
}

void receive_account::end() {
    is_ended_ = true;
    on_end_();
}

void receive_account::report_excess(std::size_t bound) const {
    if (ledger_) {
        ledger_->report_excess(peer_, kept_, bound);
    }
}

}  // namespace cyclamenmount
