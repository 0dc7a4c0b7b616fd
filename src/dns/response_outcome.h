// Maps a resolver's response to the outcome of its attempt. A pure function; the table is in
// docs/operators/dns.md.
#pragma once

#include "balancer/balancer.h"
#include "dns/message.h"

namespace mothrack::dns {

// kServed: the response goes to the client. kFull: the resolver refused, so nothing was done. kError: the
// resolver failed, and another one may succeed. `layout` describes `message`, for which ParseMessage()
// returned kOk.
balancer::Outcome OutcomeOf(Bytes message, const Layout& layout);

}  // namespace mothrack::dns
