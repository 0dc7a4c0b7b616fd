#include "dns/udp_port.h"

#include <array>

namespace mothrack::dns {
namespace {

using boost::asio::ip::udp;
using boost::system::error_code;

bool Unreachable(const error_code& error) {
  return error == boost::asio::error::connection_refused || error == boost::asio::error::host_unreachable ||
         error == boost::asio::error::network_unreachable;
}

}  // namespace

UdpPort::UdpPort(boost::asio::io_context& io, UdpPoller& poll, runtime::Descriptors& descriptors,
                 AttemptEvents& events, Counters& counters, bool exclusive)
    : socket_(io),
      poll_(poll),
      slot_(std::in_place, descriptors, runtime::Descriptors::Side::kUpstream),
      events_(events),
      counters_(counters),
      exclusive_(exclusive),
      idle_since_(runtime::Now()) {}

bool UdpPort::Open(const runtime::Endpoint& resolver) {
  error_code error;
  const udp::endpoint to(resolver.address(), resolver.port());
  socket_.open(to.protocol(), error);
  // connect() binds the socket: Linux picks a random port from the ephemeral range.
  if (!error) socket_.connect(to, error);
  if (!error) socket_.non_blocking(true, error);
  if (error || !poll_.Add(socket_.native_handle(), shared_from_this())) {
    Close();
    return false;
  }
  return true;
}

void UdpPort::Close() {
  if (closed_) return;
  closed_ = true;
  if (socket_.is_open()) poll_.Remove(socket_.native_handle());
  error_code ignored;
  socket_.close(ignored);
  slot_.reset();
}

UdpPort::SendResult UdpPort::Send(Attempt& attempt, runtime::SecureRandom& random) {
  open_.Add(attempt, random);
  // The id is written to a copy, because attempts share the message.
  static thread_local Buffer datagram;
  datagram.assign(attempt.query->wire.begin(), attempt.query->wire.end());
  SetId(datagram, attempt.wire_id);
  error_code error;
  socket_.send(boost::asio::buffer(datagram), 0, error);
  if (Unreachable(error) && open_.size() > 1) {
    // The pending error belongs to an earlier datagram, and this one was not sent: report the error, then
    // send again.
    open_.Remove(attempt.wire_id);
    events_.OnUnreachable(*this);
    if (closed_) return SendResult::kNotSent;
    open_.Add(attempt, random);
    SetId(datagram, attempt.wire_id);
  }
  if (Unreachable(error)) {
    error.clear();
    socket_.send(boost::asio::buffer(datagram), 0, error);
  }
  if (error) {
    open_.Remove(attempt.wire_id);
    return Unreachable(error) ? SendResult::kUnreachable : SendResult::kNotSent;
  }
  ++uses_;
  return SendResult::kSent;
}

void UdpPort::Remove(const Attempt& attempt) {
  open_.Remove(attempt.wire_id);
  if (open_.size() > 0) return;
  idle_since_ = runtime::Now();
  if (retired_ || exclusive_) Close();
}

void UdpPort::Retire() {
  retired_ = true;
  if (open_.size() == 0) Close();
}

// Reads one datagram at a time. If more are pending, epoll reports the socket again, and that additional poll
// costs less than a read that finds nothing on every port.
void UdpPort::Receive() {
  static thread_local std::array<std::uint8_t, kMaxMessageSize> datagram;
  if (closed_) return;
  error_code error;
  const std::size_t size = socket_.receive(boost::asio::buffer(datagram), 0, error);
  if (error) {
    if (Unreachable(error)) events_.OnUnreachable(*this);
    return;  // reading the error has cleared it
  }
  Layout layout;
  const Bytes message(datagram.data(), size);
  if (Attempt* attempt = MatchResponse(open_, message, layout, counters_)) {
    events_.OnResponse(*attempt, message, layout);
  }
}

}  // namespace mothrack::dns
