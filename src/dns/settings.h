// The operator's settings of DNS with their defaults, and the decision module's settings made of them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "balancer/balancer.h"
#include "dispatch/membership.h"
#include "dns/message.h"
#include "runtime/address.h"
#include "runtime/clock.h"

namespace mothrack::dns {

struct ResolverSettings {
  std::string uid;
  runtime::Endpoint endpoint;  // over UDP and TCP
  bool leaving = false;
  std::string zone{};
  double weight = 1;
};

// Messages of this opcode, and of one of these types where any are given, are of this class. The first that
// fits counts.
struct ClassSettings {
  std::string name;
  std::uint8_t opcode = kQuery;
  std::vector<std::uint16_t> qtypes{};
  runtime::Duration latency_objective{};
  runtime::Duration deadline{};
  balancer::Effect effect = balancer::Effect::kSafe;
  double priority_weight = 1;
  double late_priority_weight = 0;  // share of priority_weight for an answer after the objective
};

// QUERY may be repeated at will. NOTIFY too: it only hints that a zone may have changed (RFC 1996 section 3),
// and its senders repeat it themselves until it is answered. UPDATE has an effect and no key to tell a repeat
// by (RFC 2136), so it is unsafe.
std::vector<ClassSettings> DefaultClasses();

struct Settings {
  std::vector<runtime::Endpoint> listen;  // UDP and TCP, each
  std::vector<ResolverSettings> resolvers;
  std::vector<ClassSettings> classes = DefaultClasses();

  // The largest datagram that either side is asked to send: crosses nearly every network unfragmented
  // (https://www.dnsflagday.net/2020/).
  std::uint16_t edns_size = 1232;
  std::size_t max_open_queries = 20000;
  std::size_t max_open_per_client = 10000;    // of one address, over UDP
  std::size_t max_open_per_connection = 128;  // over TCP; more wait unread
  std::size_t max_tcp_clients = 64;
  runtime::Duration tcp_first_byte =
      std::chrono::milliseconds(2500);  // for a query to arrive completely, and for a response to be read
  runtime::Duration tcp_idle = std::chrono::seconds(10);
  runtime::Duration update_memory =
      std::chrono::seconds(30);  // an answered UPDATE's retransmission gets that answer

  std::size_t max_attempts = 3;
  runtime::Duration connect_timeout = std::chrono::milliseconds(250);
  std::size_t udp_ports = 16;       // sockets to each resolver that attempts are spread over
  std::size_t tcp_connections = 4;  // to each resolver
  runtime::Duration resolver_idle =
      std::chrono::seconds(5);  // an idle connection to a resolver is closed then
};

// The class of a message; its index in Settings::classes. Nothing where none fits.
class Classifier {
 public:
  explicit Classifier(const std::vector<ClassSettings>& classes) : classes_(classes) {}
  const ClassSettings* Find(std::uint8_t opcode, std::uint16_t qtype, balancer::ClassId& id) const;

 private:
  const std::vector<ClassSettings>& classes_;
};

balancer::Settings ModuleSettings(const Settings& settings);
dispatch::MembershipList Resolvers(const Settings& settings);

}  // namespace mothrack::dns
