// A TCP connection to one resolver that carries many queries at once and accepts responses in any order
// (RFC 7766 section 6.2). Whatever comes while it is idle, a close or bytes, ends it. Used
// by the thread of the event loop only; handlers keep it alive.
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

  // False where the system gives no socket.
  bool Open(const runtime::Endpoint& resolver, runtime::Duration connect_timeout);
  void Close();

  // The attempt is open here until Remove(). It is written once the connection is up.
  void Send(Attempt& attempt, runtime::SecureRandom& random);
  // Where no byte of its query was written, none will be.
  void Remove(const Attempt& attempt);
  // Those of whose query no byte was written.
  std::vector<Attempt*> UnwrittenAttempts() const;

  // Accepts no further attempt: closes with the last that is open.
  void Retire();

  // Checks, too, whether the resolver has closed it meanwhile.
  bool CanAccept();
  std::size_t open() const { return open_.size(); }
  bool closed() const { return closed_; }
  runtime::TimePoint idle_since() const { return idle_since_; }
  std::vector<Attempt*> attempts() const { return open_.All(); }

 private:
  struct Frame {
    Buffer bytes;                // with its length before it
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
  std::set<std::uint16_t> abandoned_;  // written and removed: their responses may still come
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
