// What the DNS front end and transport pass to each other through the dispatcher, and their counters.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "dispatch/exchange.h"
#include "dns/message.h"
#include "runtime/log.h"

namespace mothrack::dns {

struct Query : dispatch::Message {
  Buffer wire;  // as it goes to a resolver, but for the id
  std::uint16_t question_end = 0;
  std::uint8_t opcode = kQuery;
  bool repeatable = false;  // by its class: after a truncated response it may be sent again over TCP
  bool over_tcp = false;    // as the client sent it; counts where it is not repeatable
};

struct ResolverResponse : dispatch::Reply {
  Buffer wire;  // as the resolver sent it
  Layout layout;
};

// Logged at the end of the process and at a reload; the names in Log() are the operators'.
struct Counters {
  std::uint64_t udp_queries = 0;
  std::uint64_t tcp_queries = 0;
  std::uint64_t answers = 0;          // responses to clients, of whatever kind
  std::uint64_t retransmissions = 0;  // of open queries (ignored) and of answered UPDATEs (answered again)
  std::uint64_t dropped = 0;          // messages of clients that have no answer: no header, or a response
  std::uint64_t malformed = 0;        // answered FORMERR
  std::uint64_t over_bound = 0;       // refused for a bound on open queries
  std::uint64_t unsent_answers = 0;   // over UDP, not accepted by the system
  std::uint64_t udp_attempts = 0;
  std::uint64_t tcp_attempts = 0;
  std::uint64_t moved_to_tcp = 0;  // truncated over UDP
  std::uint64_t unmatched = 0;     // responses from a resolver's address that match no open attempt
  std::uint64_t garbled = 0;       // that match, but are malformed

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
