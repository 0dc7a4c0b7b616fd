// A TCP connection to one resolver that carries many queries at once and takes the answers in any order
// (RFC 7766 section 6.2). While it is idle it is watched: whatever comes then, a close or bytes, ends it.
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

  // False where the system has no room for a socket.
  bool Open(const runtime::Endpoint& resolver, runtime::Duration connect_timeout);
  void Close();

  // The attempt is open here until Forget(). It is written once the connection is up.
  void Send(Attempt& attempt, runtime::SecureRandom& random);
  // Takes it out of the queue, too, where no byte of it was written.
  void Remove(const Attempt& attempt);
  // Those of which no byte was written.
  std::vector<Attempt*> UnwrittenAttempts() const;

  void Retire();

  // May it take one more? Looks whether the resolver has closed it meanwhile.
  bool CanAccept();
  std::size_t open() const { return open_.size(); }
  bool closed() const { return closed_; }
  runtime::TimePoint idle_since() const { return idle_since_; }
  std::vector<Attempt*> attempts() const { return open_.All(); }

 private:
  struct Frame {
    Buffer bytes;                // with its length before it
    Attempt* attempt = nullptr;  // null once forgotten
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
  std::set<std::uint16_t> abandoned_;  // written and given up: their answers may still come
  std::deque<Frame> frames_;
  std::size_t first_frame_written_ = 0;  // bytes of the first frame
  FrameReader frame_reader_;
  runtime::TimePoint idle_since_;
  bool connected_ = false;
  bool flushing_ = false;
  bool retired_ = false;
  bool closed_ = false;
};

}  // namespace mothrack::dns
