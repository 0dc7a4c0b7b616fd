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

// After accept() failed: a lack of descriptors or memory for a moment costs little, one that lasts no spin.
// Doubled from the least to the most while nothing is accepted. Where it is the owner that has no room, the
// most.
constexpr Duration kMinRetryPause = std::chrono::milliseconds(1);
constexpr Duration kMaxRetryPause = std::chrono::milliseconds(20);
// A handler that is put off runs behind a look of the event loop at the system, but ahead of what that found;
// put off twice it runs behind both.
constexpr int kRoundsBeforeMissed = 2;
// Clients that left ahead of their turn, one behind the other, before others get theirs.
constexpr int kMaxAbortedInARow = 64;

bool IsExhausted(const error_code& error) {
  return error == boost::asio::error::no_descriptors || error == boost::asio::error::no_memory ||
         error == boost::asio::error::no_buffer_space ||
         error == boost::system::errc::too_many_files_open_in_system;
}

// Of the connection at the head of the queue, which is gone, or of this one call; nothing is wrong with the
// listening socket. accept(2): what the network did to a connection in the queue is passed on as an error of
// accept, and is to be taken like EAGAIN by calling again; EPERM is a firewall's word on one client.
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

Acceptor::Acceptor(boost::asio::io_context& io, const ListenOn& where, std::string label, Owner& owner,
                   Logger& log)
    : io_(io),
      label_(std::move(label)),
      owner_(owner),
      log_(log),
      socket_(io),
      pause_(io),
      retry_pause_(kMinRetryPause),
      paused_(where.paused),
      self_(std::make_shared<Acceptor*>(this)) {
  const auto protocol = where.endpoint.protocol();
  if (where.taken >= 0) {
    socket_.assign(protocol, where.taken);
  } else {
    socket_.open(protocol);
    // A start after a kill must not wait for the former process's connections to be forgotten.
    socket_.set_option(boost::asio::socket_base::reuse_address(true));
    if (where.share_port) {
      socket_.set_option(boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
    }
    socket_.bind(where.endpoint);
    socket_.listen(boost::asio::socket_base::max_listen_connections);
  }
  socket_.non_blocking(true);
  // Else asio takes a client that left ahead of its turn for a reason to block until the next one comes, and
  // with it everything that this event loop serves.
  socket_.set_option(boost::asio::socket_base::enable_connection_aborted(true));
  WaitForClient();
}

// Waits for a client before making room for it, and without a descriptor of its own.
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
    // Paused, and resumed since.
    if (error == boost::asio::error::operation_aborted) return acceptor.WaitForClient();
    // Nobody foresaw it, and it must not end the listening.
    acceptor.log_.Warn("accept_wait_failed", {{"listener", acceptor.label_}, {"cause", error.message()}});
    acceptor.RetryAfter(kMaxRetryPause);
  });
}

void Acceptor::RetryAfter(Duration pause) {
  pause_.expires_after(pause);
  pause_.async_wait([this](error_code error) {
    if (error || !socket_.is_open() || paused_) return;
    // A wait that missed a client does not hear of it after the pause either.
    waiting_ ? Accept() : WaitForClient();
  });
}

// Where the system can't tell somebody may wait: closing over a client would reset it.
bool Acceptor::ClientWaits() {
  return (PollNow(socket_.native_handle(), POLLIN).value_or(POLLIN) & POLLIN) != 0;
}

void Acceptor::PollForMissedClients() {
  // Without a wait there is a pause, which ends by a timer.
  if (!waiting_ || paused_ || confirming_ || !socket_.is_open() || !ClientWaits()) return;
  confirming_ = true;
  ConfirmMissedWakeup(kRoundsBeforeMissed);
}

// It may just have come: the event loop gets its chance to tell first.
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
      // Room for the next is made only once it is there: it would be this one's that had said nothing yet.
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
    // Guards against a spin where descriptors or memory ran out: the client stays in the backlog. Other
    // connections make room only for a lack that outlasts a pause.
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

// Closing alone would leave it in this process's epoll set, since the other process keeps it open.
void Acceptor::Release() {
  if (!socket_.is_open()) return;
  boost::system::error_code ignored;
  const int handle = socket_.release(ignored);
  if (!ignored) ::close(handle);
}

Duration Acceptor::NextRetryPause() {
  return std::exchange(retry_pause_, std::min(retry_pause_ * 2, kMaxRetryPause));
}

// Closing over clients that wait resets them. An error alone says nothing of whether somebody waits: it may
// be of one client, or of descriptors that ran out.
bool Acceptor::Close() {
  if (ClientWaits()) Accept();
  if (ClientWaits()) return false;
  error_code ignored;
  socket_.close(ignored);
  return true;
}

}  // namespace mothrack::runtime
