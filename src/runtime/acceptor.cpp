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

// Delay between a failed accept() and the next one. It doubles from the minimum to the maximum until a client
// is accepted: a momentary lack of descriptors or memory costs little time, and a lasting one does not make
// the event loop spin. If the owner has no capacity, the maximum applies.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(1);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(20);
// How many times a check is posted to the event loop before a wake-up counts as missed. A handler that is
// posted once runs after the event loop has polled the kernel, but before the handlers of the events that it
// found. A handler that is posted again runs after those handlers as well.
constexpr int kConfirmationRounds = 2;
// Maximum number of consecutive accept() calls that may fail because of a single connection before the event
// loop runs other handlers.
constexpr int kMaxConsecutiveAborts = 64;

bool IsResourceShortage(const error_code& error) {
  return error == boost::asio::error::no_descriptors || error == boost::asio::error::no_memory ||
         error == boost::asio::error::no_buffer_space ||
         error == boost::system::errc::too_many_files_open_in_system;
}

// Whether the error concerns only the connection at the head of the backlog or this one call, not the
// listening socket. accept(2): accept() reports pending network errors of a connection in the backlog, and
// they should be treated like EAGAIN by retrying; EPERM means that a firewall rejects one client.
bool ConcernsOneConnection(const error_code& error) {
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
      retry_timer_(io),
      retry_delay_(kMinRetryDelay),
      paused_(options.paused),
      self_(std::make_shared<Acceptor*>(this)) {
  const auto protocol = options.endpoint.protocol();
  if (options.inherited_socket >= 0) {
    socket_.assign(protocol, options.inherited_socket);
  } else {
    socket_.open(protocol);
    // After a kill, the address can be bound although connections of the killed process are in TIME_WAIT.
    socket_.set_option(boost::asio::socket_base::reuse_address(true));
    if (options.share_port) {
      socket_.set_option(boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
    }
    socket_.bind(options.endpoint);
    socket_.listen(boost::asio::socket_base::max_listen_connections);
  }
  socket_.non_blocking(true);
  // Without this option, Asio would block the event loop in accept() if a client disconnected in the backlog.
  socket_.set_option(boost::asio::socket_base::enable_connection_aborted(true));
  WaitForClient();
}

// Calls Accept() once a client is in the backlog, and not before, since Accept() may evict a connection for
// the client.
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
    // Pause() cancelled this wait, and Resume() was called before this handler ran.
    if (error == boost::asio::error::operation_aborted) return acceptor.WaitForClient();
    // No other error is expected; the acceptor must keep accepting in any case.
    acceptor.log_.Warn("accept_wait_failed", {{"listener", acceptor.label_}, {"cause", error.message()}});
    acceptor.RetryAfter(kMaxRetryDelay);
  });
}

void Acceptor::RetryAfter(Duration delay) {
  retry_timer_.expires_after(delay);
  retry_timer_.async_wait([this](error_code error) {
    if (error || !socket_.is_open() || paused_) return;
    // A pending wait that has missed a client is not notified of that client later either.
    waiting_ ? Accept() : WaitForClient();
  });
}

// Whether a client is in the backlog. Returns true if the kernel can't tell, because closing the socket would
// reset such a client.
bool Acceptor::HasWaitingClient() {
  return (PollNow(socket_.native_handle(), POLLIN).value_or(POLLIN) & POLLIN) != 0;
}

void Acceptor::PollForMissedClients() {
  // If no wait is pending, accepting is paused, or the retry timer is running.
  if (!waiting_ || paused_ || confirming_ || !socket_.is_open() || !HasWaitingClient()) return;
  confirming_ = true;
  ConfirmMissedWakeup(kConfirmationRounds);
}

// Accepts the client that polling found, unless the event loop reports it within `rounds` rounds. The client
// may have arrived just now; then the wake-up was not missed.
void Acceptor::ConfirmMissedWakeup(int rounds) {
  boost::asio::post(io_, [weak = std::weak_ptr(self_), rounds, woken = wakeups_] {
    const auto self = weak.lock();
    if (!self) return;
    Acceptor& acceptor = **self;
    const bool notified = acceptor.wakeups_ != woken || !acceptor.waiting_;
    if (!notified && rounds > 1) return acceptor.ConfirmMissedWakeup(rounds - 1);
    acceptor.confirming_ = false;
    if (notified || acceptor.paused_ || !acceptor.socket_.is_open() || !acceptor.HasWaitingClient()) return;
    if (acceptor.missed_wakeups_++ == 0) {
      acceptor.log_.Warn("accept_wakeup_missed", {{"listener", acceptor.label_}});
    }
    acceptor.Accept();
  });
}

void Acceptor::Accept() {
  int aborts = 0;
  while (true) {
    while (!owner_.HasCapacity()) {
      if (!owner_.EvictOne()) return RetryAfter(kMaxRetryDelay);
    }
    tcp::socket socket(io_);
    error_code error;
    socket_.accept(socket, error);
    if (!error) {
      retry_delay_ = kMinRetryDelay;
      owner_.Admit(std::move(socket));
      // Nothing is evicted for the next client before it has arrived. Otherwise this connection, which has
      // sent nothing yet, would be evicted.
      if (!owner_.HasCapacity()) break;
      continue;
    }
    if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) break;
    if (ConcernsOneConnection(error)) {
      if (++aborts < kMaxConsecutiveAborts) continue;
      return RetryAfter(NextRetryDelay());
    }
    log_.Warn("accept_failed", {{"listener", label_}, {"cause", error.message()}});
    if (error == boost::asio::error::bad_descriptor) return;
    // Out of descriptors or memory: the client stays in the backlog until the retry, which avoids a busy
    // loop. Another connection is evicted only if the shortage outlasts a retry.
    const bool lasting = retry_delay_ > kMinRetryDelay;
    if (IsResourceShortage(error) && lasting) owner_.EvictOne();
    return RetryAfter(NextRetryDelay());
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

// Releases the socket from the event loop before it closes the descriptor. A plain close would leave the
// socket in this process's epoll set, because the other process keeps it open.
void Acceptor::Release() {
  if (!socket_.is_open()) return;
  boost::system::error_code ignored;
  const int handle = socket_.release(ignored);
  if (!ignored) ::close(handle);
}

Duration Acceptor::NextRetryDelay() {
  return std::exchange(retry_delay_, std::min(retry_delay_ * 2, kMaxRetryDelay));
}

// Closing the socket resets clients in the backlog, so it is polled again after Accept(). An error of
// accept() does not tell whether another client is waiting: it may concern a single client or a lack of
// descriptors.
bool Acceptor::Close() {
  if (HasWaitingClient()) Accept();
  if (HasWaitingClient()) return false;
  error_code ignored;
  socket_.close(ignored);
  return true;
}

}  // namespace mothrack::runtime
