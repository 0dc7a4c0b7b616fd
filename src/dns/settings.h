// The operator's DNS settings with their defaults, and their translation to the decision module's settings.
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

// One resolver of the list.
struct ResolverSettings {
  std::string uid;
  runtime::Endpoint endpoint;  // over UDP and TCP
  bool leaving = false;
  std::string zone{};
  double weight = 1;
};

// A request class. A message belongs to the first class whose opcode it has and, if types are given, one of
// whose types it asks for.
struct ClassSettings {
  std::string name;
  std::uint8_t opcode = kQuery;
  std::vector<std::uint16_t> qtypes{};
  runtime::Duration latency_objective{};
  runtime::Duration deadline{};
  balancer::Effect effect = balancer::Effect::kSafe;
  double priority_weight = 1;
  double late_priority_weight = 0;  // share of priority_weight for an answer after latency_objective
};

// QUERY may be repeated freely. So may NOTIFY: it only hints that a zone may have changed (RFC 1996 section
// 3), and its senders retransmit it themselves until it is answered. UPDATE has an effect and no key that
// identifies a repeat (RFC 2136), so it is unsafe.
std::vector<ClassSettings> DefaultClasses();

// All settings of DNS. docs/operators/dns.md has the names in the settings file.
struct Settings {
  std::vector<runtime::Endpoint> listen;  // for UDP and TCP
  std::vector<ResolverSettings> resolvers;
  std::vector<ClassSettings> classes = DefaultClasses();

  // The largest datagram that we ask either side to send, in bytes. It crosses nearly every network
  // unfragmented (https://www.dnsflagday.net/2020/).
  std::uint16_t edns_size = 1232;
  std::size_t max_open_queries = 20000;
  std::size_t max_open_per_client = 10000;    // over UDP, per client address
  std::size_t max_open_per_connection = 128;  // over TCP; further ones wait unread
  std::size_t max_tcp_clients = 64;
  runtime::Duration tcp_first_byte =
      std::chrono::milliseconds(2500);  // for a query to arrive completely, and for a response to be read
  runtime::Duration tcp_idle = std::chrono::seconds(10);
  runtime::Duration update_memory =
      std::chrono::seconds(30);  // an answered UPDATE's retransmission gets that answer

  std::size_t max_attempts = 3;
  runtime::Duration connect_timeout = std::chrono::milliseconds(250);
  std::size_t udp_ports = 16;       // shared UDP sockets per resolver
  std::size_t tcp_connections = 4;  // per resolver
  runtime::Duration resolver_idle =
      std::chrono::seconds(5);  // an idle connection to a resolver is closed then
};

// Maps a message to its class and the index of the class in Settings::classes; null if none matches.
class Classifier {
 public:
  explicit Classifier(const std::vector<ClassSettings>& classes) : classes_(classes) {}
  const ClassSettings* Find(std::uint8_t opcode, std::uint16_t qtype, balancer::ClassId& id) const;

 private:
  const std::vector<ClassSettings>& classes_;
};

// The decision module's settings for these classes and bounds.
balancer::Settings ModuleSettings(const Settings& settings);
// The complete list of resolvers.
dispatch::MembershipList Resolvers(const Settings& settings);

}  // namespace mothrack::dns
