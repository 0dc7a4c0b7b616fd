// What DNS's front and transport hand each other through the dispatcher, and what they count.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "dispatch/exchange.h"
#include "dns/message.h"

namespace mothrack::dns {

struct Query : dispatch::Message {
  Buffer wire;  // as it goes to a resolver, but for the id
  std::uint16_t question_end = 0;
  std::uint8_t opcode = kQuery;
  bool repeatable = false;  // by its class: a truncated answer may be asked for again over TCP
  bool over_tcp = false;    // the client's way, kept where a message must not be repeated
};

struct ResolverResponse : dispatch::Reply {
  Buffer wire;  // as the resolver sent it
  Layout layout;
};

// Each is told in the log at the end of the process and at a reload.
struct Counters {
  std::uint64_t udp_queries = 0;
  std::uint64_t tcp_queries = 0;
  std::uint64_t answers = 0;          // handed to clients, of whatever kind
  std::uint64_t retransmissions = 0;  // of open queries, left out, and of answered UPDATEs, answered again
  std::uint64_t dropped = 0;          // bytes from clients that nobody can be answered for
  std::uint64_t malformed = 0;        // answered FORMERR
  std::uint64_t over_bound = 0;       // refused for a bound on open queries
  std::uint64_t unsent_answers = 0;   // over UDP, the system did not take them
  std::uint64_t udp_attempts = 0;
  std::uint64_t tcp_attempts = 0;
  std::uint64_t moved_to_tcp = 0;  // truncated over UDP
  std::uint64_t unmatched = 0;     // answers from resolvers' addresses that fit no open query
  std::uint64_t garbled = 0;       // such that fit, but make no sense

  std::string Line() const {
    std::string text = "dns:";
    const auto add = [&text](const char* name, std::uint64_t value) {
      text += ' ' + std::string(name) + '=' + std::to_string(value);
    };
    add("udp_queries", udp_queries);
    add("tcp_queries", tcp_queries);
    add("answers", answers);
    add("retransmissions", retransmissions);
    add("dropped", dropped);
    add("malformed", malformed);
    add("over_bound", over_bound);
    add("unsent_answers", unsent_answers);
    add("udp_attempts", udp_attempts);
    add("tcp_attempts", tcp_attempts);
    add("moved_to_tcp", moved_to_tcp);
    add("unmatched", unmatched);
    add("garbled", garbled);
    return text;
  }
};

}  // namespace mothrack::dns
