// The messages that the DNS front end and transport exchange through the dispatcher, and the counters of DNS.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "dispatch/exchange.h"
#include "dns/message.h"
#include "runtime/log.h"

namespace mothrack::dns {

// A query as the dispatcher carries it to the transport. Immutable, so attempts share it.
struct Query : dispatch::Message {
  Buffer wire;  // as sent to a resolver, except for the id
  std::uint16_t question_end = 0;
  std::uint8_t opcode = kQuery;
  bool repeatable = false;  // from its class: may be sent again over TCP after a truncated response
  // The client sent the query over TCP. The transport then sends a query that is not repeatable to the
  // resolver over TCP too.
  bool over_tcp = false;
};

// A resolver's response.
struct ResolverResponse : dispatch::Reply {
  Buffer wire;  // as received
  Layout layout;
};

// Counters since the start of the process. Logged at its end and at a reload, by the names of
// docs/operators/logs.md.
struct Counters {
  std::uint64_t udp_queries = 0;
  std::uint64_t tcp_queries = 0;
  std::uint64_t answers = 0;          // responses of any kind sent to clients
  std::uint64_t retransmissions = 0;  // of open queries (ignored) and of answered UPDATEs (answered again)
  std::uint64_t dropped = 0;          // messages that get no response: no header, or a response themselves
  std::uint64_t malformed = 0;        // answered with FORMERR
  std::uint64_t over_bound = 0;       // refused because of a bound on open queries
  std::uint64_t unsent_answers = 0;   // over UDP: not accepted by the kernel
  std::uint64_t udp_attempts = 0;
  std::uint64_t tcp_attempts = 0;
  std::uint64_t moved_to_tcp = 0;  // repeated over TCP after a truncated UDP response
  std::uint64_t unmatched = 0;     // messages from a resolver's address that match no open attempt
  std::uint64_t garbled = 0;       // messages that match an attempt but are malformed

  void Log(runtime::Logger& log) const {
    log.Info("dns_counts", {{"udp_queries", udp_queries},
                            {"tcp_queries", tcp_queries},
                            {"answers", answers},
                            {"retransmissions", retransmissions},
                            {"dropped", dropped},
                            {"malformed", malformed},
                            {"over_bound", over_bound},
                            {"unsent_answers", unsent_answers},
                            {"udp_attempts", udp_attempts},
                            {"tcp_attempts", tcp_attempts},
                            {"moved_to_tcp", moved_to_tcp},
                            {"unmatched", unmatched},
                            {"garbled", garbled}});
  }
};

}  // namespace mothrack::dns
