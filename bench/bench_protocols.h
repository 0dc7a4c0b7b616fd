// The protocols of the load generator: which messages it sends, and how it recognizes their answers.
#pragma once

#include <string>

#include "closed_loop.h"

namespace mothrack::bench {

// Returns a protocol that sends GET requests to HttpStandin, one at a time on a connection (a depth of 1).
// `run` must differ between runs, because it makes the request ids unique.
Protocol HttpProtocol(int run);

// Returns a protocol that sends queries to an echoing resolver, over TCP if `tcp`, else over UDP.
Protocol DnsProtocol(bool tcp);

// Returns the query `number`, with the length before it if `framed`. The number is part of the name that is
// queried, because ids repeat after 65,536 queries.
std::string DnsQuery(int number, bool framed);

}  // namespace mothrack::bench
