// A UDP socket that is connected to one resolver from a port that the system picked at random: only datagrams
// from the resolver's address and port reach it, and its ICMP errors do (RFC 5452 section 9).
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
  // `exclusive`: for one attempt only, so that an ICMP error can speak of no other.
  UdpPort(boost::asio::io_context& io, UdpPoller& poll, runtime::Descriptors& descriptors,
          AttemptEvents& events, Counters& counters, bool exclusive);

  ~UdpPort() { Close(); }
  UdpPort(const UdpPort&) = delete;
  UdpPort& operator=(const UdpPort&) = delete;

  // Binds and connects; false where the system gives no socket.
  bool Open(const runtime::Endpoint& resolver);
  void Close();

  enum class SendResult { kSent, kNotSent, kUnreachable };
  // On kSent the attempt is open here until Remove(); else nothing was sent.
  SendResult Send(Attempt& attempt, runtime::SecureRandom& random);
  void Remove(const Attempt& attempt);

  // Reads one datagram or error that waits.
  void Receive();

  // Accepts no further attempt: closes with the last that is open.
  void Retire();

  bool exclusive() const { return exclusive_; }
  std::size_t open() const { return open_.size(); }
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
