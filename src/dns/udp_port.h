// A UDP socket connected to one resolver, with a random ephemeral port. Because it is connected, it receives
// only datagrams from the resolver's address and port, and its ICMP errors are reported (RFC 5452 section 9).
//
// Owned by a ResolverPool or by the attempt that uses it exclusively. Used on the thread of the event loop
// only.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <optional>

#include "dns/attempt.h"
#include "dns/udp_poller.h"
#include "runtime/address.h"
#include "runtime/descriptors.h"

namespace mothrack::dns {

class UdpPort : public std::enable_shared_from_this<UdpPort> {
 public:
  // `exclusive`: for one attempt only, so that an ICMP error can be attributed to it.
  UdpPort(boost::asio::io_context& io, UdpPoller& poll, runtime::Descriptors& descriptors,
          AttemptEvents& events, Counters& counters, bool exclusive);

  ~UdpPort() { Close(); }
  UdpPort(const UdpPort&) = delete;
  UdpPort& operator=(const UdpPort&) = delete;

  // Binds and connects. Returns false if the kernel provides no socket.
  bool Open(const runtime::Endpoint& resolver);
  void Close();

  // kUnreachable: an ICMP error was pending and sending again failed with one too.
  enum class SendResult { kSent, kNotSent, kUnreachable };
  // On kSent the attempt stays open here until Remove(). Otherwise nothing was sent.
  SendResult Send(Attempt& attempt, runtime::SecureRandom& random);
  void Remove(const Attempt& attempt);

  // Reads one pending datagram or error.
  void Receive();

  // Accepts no further attempt and closes when the last open one ends.
  void Retire();

  bool exclusive() const { return exclusive_; }
  std::size_t open() const { return open_.size(); }
  // Number of attempts sent from this port.
  unsigned uses() const { return uses_; }
  runtime::TimePoint idle_since() const { return idle_since_; }
  std::vector<Attempt*> attempts() const { return open_.All(); }

 private:
  boost::asio::ip::udp::socket socket_;
  UdpPoller& poll_;
  std::optional<runtime::Descriptors::Slot> slot_;
  AttemptEvents& events_;
  Counters& counters_;
  const bool exclusive_;
  OpenAttempts open_;
  unsigned uses_ = 0;
  runtime::TimePoint idle_since_;
  bool retired_ = false;
  bool closed_ = false;
};

}  // namespace mothrack::dns
