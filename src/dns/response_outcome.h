// What a resolver's response says of the attempt. Pure; the table stands in docs/operators/dns.md.
#pragma once

#include "balancer/balancer.h"
#include "dns/message.h"

namespace mothrack::dns {

// kServed: the response is the client's; kFull: the resolver refused, so nothing was done; kError: it failed,
// and another resolver may not. `layout` is of `message`, which ParseMessage() found to be kOk.
balancer::Outcome OutcomeOf(Bytes message, const Layout& layout);

}  // namespace mothrack::dns
