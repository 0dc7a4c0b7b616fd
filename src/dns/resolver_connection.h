// A TCP connection to one resolver. It carries many queries at a time and accepts responses in any order (RFC
// 7766 section 6.2). While it is idle, any event, a close or unexpected bytes, closes it.
//
// Owned by a ResolverPool and kept alive by its pending handlers. Used on the thread of the event loop only.
// Failures are reported through AttemptEvents.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "dns/attempt.h"
#include "dns/frames.h"
#include "runtime/address.h"
#include "runtime/descriptors.h"

namespace mothrack::dns {

class ResolverConnection : public std::enable_shared_from_this<ResolverConnection> {
 public:
  ResolverConnection(boost::asio::io_context& io, runtime::Descriptors& descriptors, AttemptEvents& events,
                     Counters& counters);

  // Starts connecting. Returns false if the kernel provides no socket. `connect_timeout` bounds the connect.
  bool Open(const runtime::Endpoint& resolver, runtime::Duration connect_timeout);
  // Closes the socket without notifying anybody.
  void Close();

  // Adds the attempt, which stays open here until Remove(). Its query is written once the connection is
  // established.
  void Send(Attempt& attempt, runtime::SecureRandom& random);
  // Removes the attempt. If no byte of its query was written, none will be.
  void Remove(const Attempt& attempt);
  // The attempts of whose queries no byte was written.
  std::vector<Attempt*> UnwrittenAttempts() const;

  // Accepts no further attempt and closes when the last open one ends.
  void Retire();

  // Whether a further attempt may be sent. Also detects a close by the resolver that the event loop has not
  // reported yet.
  bool CanAccept();
  std::size_t open() const { return open_.size(); }
  bool closed() const { return closed_; }
  runtime::TimePoint idle_since() const { return idle_since_; }
  std::vector<Attempt*> attempts() const { return open_.All(); }

 private:
  // A query to be written.
  struct Frame {
    Buffer bytes;                // the length, then the message
    Attempt* attempt = nullptr;  // null once removed
  };

  void Flush();
  void WaitReadable();
  void Receive();
  void ProcessFrames();
  void Fail();
  void CloseIfDone();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::optional<runtime::Descriptors::Slot> slot_;
  AttemptEvents& events_;
  Counters& counters_;
  OpenAttempts open_;
  std::set<std::uint16_t> abandoned_;  // removed after being written: their responses may still arrive
  std::deque<Frame> frames_;
  std::size_t first_frame_written_ = 0;  // bytes of the first frame that were written
  FrameReader frame_reader_;
  runtime::TimePoint idle_since_;
  bool connected_ = false;
  bool flushing_ = false;
  bool retired_ = false;
  bool closed_ = false;
};

}  // namespace mothrack::dns
