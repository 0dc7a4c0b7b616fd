#include "dns/response_outcome.h"

namespace mothrack::dns {

using balancer::Outcome;

Outcome OutcomeOf(Bytes message, const Layout& layout) {
  const std::uint16_t rcode = layout.rcode();
  if (rcode == kRefused) return Outcome::kFull;
  if (rcode != kServFail) return Outcome::kServed;
  // Some failures concern the name and would occur at any resolver (RFC 8914 sections 4.6 to 4.13, 4.23).
  // They are no reason to ask another resolver or to count a failure of this one.
  const auto error = FindExtendedError(message, layout);
  const bool of_name = error && ((*error >= kDnssecIndeterminate && *error <= kNsecMissing) ||
                                 *error == kNoReachableAuthority);
  return of_name ? Outcome::kServed : Outcome::kError;
}

}  // namespace mothrack::dns
