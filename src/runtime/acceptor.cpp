#include "runtime/acceptor.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <cerrno>
#include <utility>

#include "runtime/system_calls.h"

namespace mothrack::runtime {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Pause after a failed accept(), doubled from the minimum to the maximum while nothing is accepted: a
// momentary lack of descriptors or memory costs little time, and a lasting one does not make the event loop
// spin. If the owner has no capacity, the maximum applies.
constexpr Duration kMinRetryPause = std::chrono::milliseconds(1);
constexpr Duration kMaxRetryPause = std::chrono::milliseconds(20);
// Posted once, a handler runs after the event loop has polled the kernel but before the handlers of what it
// found; posted twice, it runs after those as well.
constexpr int kRoundsBeforeMissed = 2;
// Bound on consecutive clients that had disconnected before accept(), before other handlers run.
constexpr int kMaxAbortedInARow = 64;

bool IsExhausted(const error_code& error) {
  return error == boost::asio::error::no_descriptors || error == boost::asio::error::no_memory ||
         error == boost::asio::error::no_buffer_space ||
         error == boost::system::errc::too_many_files_open_in_system;
}

// Whether the error concerns only the connection at the head of the queue or this one call, not the listening
// socket. accept(2): pending network errors of a queued connection are reported by accept() and should be
// treated like EAGAIN by retrying; EPERM means that a firewall rejects one client.
bool IsOfOneConnection(const error_code& error) {
  if (error.category() != boost::system::system_category()) return false;
  switch (error.value()) {
    case EINTR:
    case ECONNABORTED:
    case EPERM:
    case EPROTO:
    case ENETDOWN:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
    case ETIMEDOUT:
    case ECONNRESET:
    case ENOSR:
    case ESOCKTNOSUPPORT:
    case EPROTONOSUPPORT:
      return true;
    default:
      return false;
  }
}

}  // namespace

Acceptor::Acceptor(boost::asio::io_context& io, const ListenOptions& options, std::string label, Owner& owner,
                   Logger& log)
    : io_(io),
      label_(std::move(label)),
      owner_(owner),
      log_(log),
      socket_(io),
      pause_(io),
      retry_pause_(kMinRetryPause),
      paused_(options.paused),
      self_(std::make_shared<Acceptor*>(this)) {
  const auto protocol = options.endpoint.protocol();
  if (options.inherited_socket >= 0) {
    socket_.assign(protocol, options.inherited_socket);
  } else {
    socket_.open(protocol);
    // After a kill, do not wait until the former process's connections have left TIME_WAIT.
    socket_.set_option(boost::asio::socket_base::reuse_address(true));
    if (options.share_port) {
      socket_.set_option(boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
    }
    socket_.bind(options.endpoint);
    socket_.listen(boost::asio::socket_base::max_listen_connections);
  }
  socket_.non_blocking(true);
  // Otherwise asio would block the event loop in accept() if a client disconnected before its turn.
  socket_.set_option(boost::asio::socket_base::enable_connection_aborted(true));
  WaitForClient();
}

// Waits for a client without reserving a descriptor, and makes room only once one is waiting.
void Acceptor::WaitForClient() {
  if (paused_ || waiting_) return;
  waiting_ = true;
  socket_.async_wait(tcp::acceptor::wait_read, [weak = std::weak_ptr(self_)](error_code error) {
    const auto self = weak.lock();
    if (!self) return;
    Acceptor& acceptor = **self;
    acceptor.waiting_ = false;
    ++acceptor.wakeups_;
    if (acceptor.paused_ || !acceptor.socket_.is_open()) return;
    if (!error) return acceptor.Accept();
    // The wait of before a pause that has ended since.
    if (error == boost::asio::error::operation_aborted) return acceptor.WaitForClient();
    // Unexpected; listening must go on.
    acceptor.log_.Warn("accept_wait_failed", {{"listener", acceptor.label_}, {"cause", error.message()}});
    acceptor.RetryAfter(kMaxRetryPause);
  });
}

void Acceptor::RetryAfter(Duration pause) {
  pause_.expires_after(pause);
  pause_.async_wait([this](error_code error) {
    if (error || !socket_.is_open() || paused_) return;
    // A wait that missed a client is not notified of it after the pause either.
    waiting_ ? Accept() : WaitForClient();
  });
}

// If the kernel can't tell, assume that a client is waiting: closing the socket would reset it.
bool Acceptor::ClientWaits() {
  return (PollNow(socket_.native_handle(), POLLIN).value_or(POLLIN) & POLLIN) != 0;
}

void Acceptor::PollForMissedClients() {
  // Without a pending wait there is a pause, which a timer ends.
  if (!waiting_ || paused_ || confirming_ || !socket_.is_open() || !ClientWaits()) return;
  confirming_ = true;
  ConfirmMissedWakeup(kRoundsBeforeMissed);
}

// The client may have arrived just now: give the event loop the chance to report it first.
void Acceptor::ConfirmMissedWakeup(int rounds) {
  boost::asio::post(io_, [weak = std::weak_ptr(self_), rounds, woken = wakeups_] {
    const auto self = weak.lock();
    if (!self) return;
    Acceptor& acceptor = **self;
    const bool notified = acceptor.wakeups_ != woken || !acceptor.waiting_;
    if (!notified && rounds > 1) return acceptor.ConfirmMissedWakeup(rounds - 1);
    acceptor.confirming_ = false;
    if (notified || acceptor.paused_ || !acceptor.socket_.is_open() || !acceptor.ClientWaits()) return;
    if (acceptor.missed_++ == 0) {
      acceptor.log_.Warn("accept_wakeup_missed", {{"listener", acceptor.label_}});
    }
    acceptor.Accept();
  });
}

void Acceptor::Accept() {
  int aborted = 0;
  while (true) {
    while (!owner_.HasCapacity()) {
      if (!owner_.EvictOne()) return RetryAfter(kMaxRetryPause);
    }
    tcp::socket socket(io_);
    error_code error;
    socket_.accept(socket, error);
    if (!error) {
      retry_pause_ = kMinRetryPause;
      owner_.Admit(std::move(socket));
      // Do not evict for the next client before it is there: this one, which has sent nothing yet, would be
      // evicted.
      if (!owner_.HasCapacity()) break;
      continue;
    }
    if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) break;
    if (IsOfOneConnection(error)) {
      if (++aborted < kMaxAbortedInARow) continue;
      return RetryAfter(NextRetryPause());
    }
    log_.Warn("accept_failed", {{"listener", label_}, {"cause", error.message()}});
    if (error == boost::asio::error::bad_descriptor) return;
    // Out of descriptors or memory: the client stays in the backlog for a pause, which avoids a busy loop.
    // Other connections are evicted only if the lack outlasts a pause.
    const bool lasting = retry_pause_ > kMinRetryPause;
    if (IsExhausted(error) && lasting) owner_.EvictOne();
    return RetryAfter(NextRetryPause());
  }
  WaitForClient();
}

void Acceptor::Pause() {
  paused_ = true;
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

void Acceptor::Resume() {
  if (!std::exchange(paused_, false) || !socket_.is_open()) return;
  WaitForClient();
}

// Closing alone would leave the socket in this process's epoll set, since the other process keeps it open.
void Acceptor::Release() {
  if (!socket_.is_open()) return;
  boost::system::error_code ignored;
  const int handle = socket_.release(ignored);
  if (!ignored) ::close(handle);
}

Duration Acceptor::NextRetryPause() {
  return std::exchange(retry_pause_, std::min(retry_pause_ * 2, kMaxRetryPause));
}

// Closing the socket resets clients in the backlog. An error alone does not say whether one is waiting: it
// may concern a single client, or a lack of descriptors.
bool Acceptor::Close() {
  if (ClientWaits()) Accept();
  if (ClientWaits()) return false;
  error_code ignored;
  socket_.close(ignored);
  return true;
}

}  // namespace mothrack::runtime
