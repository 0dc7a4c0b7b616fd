// The messages that the load generator sends and how it recognizes their answers.
#pragma once

#include <string>

#include "closed_loop.h"

namespace mothrack::bench {

// GET requests to HttpStandin, one at a time on a connection (a depth of 1). `run` must differ from run to
// run, because it makes the request ids unique.
Protocol HttpProtocol(int run);

// Queries to an echoing resolver, over UDP or TCP.
Protocol DnsProtocol(bool tcp);

// The query `number`, with the length before it if `framed`. Its number is part of its name, because ids
// repeat after 65,536 queries.
std::string DnsQuery(int number, bool framed);

}  // namespace mothrack::bench
