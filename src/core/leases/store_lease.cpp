#include "core/leases/store_lease.h"

namespace bendtide {

namespace {

constexpr Micros kRetryDelay = millis(300);
constexpr int kRenewalsPerTerm = 6;

}  // namespace

StoreLease::StoreLease(ControllerState& state, Hooks hooks) : state_(state), hooks_(std::move(hooks)) {}

void StoreLease::tick() {
  if (request_in_flight_ || state_.now() < next_request_) return;
  request_in_flight_ = true;
  if (is_granted())
    renew();
  else
    grant();
}

void StoreLease::grant() {
  state_.store.grant_lease(state_.context.settings.lease_term(),
                           [this, sent_at = state_.now()](const StoreResponse& response) {
                             request_in_flight_ = false;
                             on_granted(sent_at, response);
                           });
}

void StoreLease::on_granted(Micros sent_at, const StoreResponse& response) {
  if (!response.ok() || response.lease == 0) {
    next_request_ = state_.now() + kRetryDelay;
    return;
  }
  const Micros term = state_.context.settings.lease_term();
  id_ = response.lease;
  state_.lease_valid_until = sent_at + lower_bound_on_local_clock(term);
  next_request_ = state_.now() + term / kRenewalsPerTerm;
  hooks_.granted();
}

void StoreLease::renew() {
  state_.store.renew_lease(id_, [this, sent_at = state_.now()](const StoreResponse& response) {
    request_in_flight_ = false;
    on_renewed(sent_at, response);
  });
}

void StoreLease::on_renewed(Micros sent_at, const StoreResponse& response) {
  if (response.outcome == StoreResponse::Outcome::absent) return end();
  if (!response.ok()) {
    next_request_ = state_.now() + kRetryDelay;
    return;
  }
  const Micros term = state_.context.settings.lease_term();
  state_.lease_valid_until = std::max(state_.lease_valid_until, sent_at + lower_bound_on_local_clock(term));
  next_request_ = state_.now() + term / kRenewalsPerTerm;
}

void StoreLease::end() {
  id_ = 0;
  state_.lease_valid_until = Micros{0};
  next_request_ = Micros{0};
  hooks_.ended();
}

}  // namespace bendtide
