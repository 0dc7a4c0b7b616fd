#include "core/acceptor.h"

#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/detail/socket_option.hpp>
#include <boost/system/error_code.hpp>
#include <utility>

namespace mothrack {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Duration kPause = std::chrono::milliseconds(20);

bool IsExhausted(const error_code& error) {
  return error == boost::asio::error::no_descriptors || error == boost::asio::error::no_memory ||
         error == boost::asio::error::no_buffer_space ||
         error == boost::system::errc::too_many_files_open_in_system;
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
      paused_(where.paused) {
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
  Wait();
}

// Waits for a client before making room for it, and without a descriptor of its own.
void Acceptor::Wait() {
  if (paused_) return;
  socket_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (!error && socket_.is_open() && !paused_) Accept();
  });
}

void Acceptor::WaitLater() {
  pause_.expires_after(kPause);
  pause_.async_wait([this](error_code error) {
    if (!error && socket_.is_open()) Wait();
  });
}

void Acceptor::Accept() {
  while (true) {
    while (!owner_.Room()) {
      if (!owner_.MakeRoom()) return WaitLater();
    }
    tcp::socket socket(io_);
    error_code error;
    socket_.accept(socket, error);
    if (!error) {
      owner_.Admit(std::move(socket));
      // Room for the next is made only once it is there: it would be this one's that had said nothing yet.
      if (!owner_.Room()) break;
      continue;
    }
    if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) break;
    if (error == boost::asio::error::connection_aborted) continue;
    log_.Line(label_ + "accept: " + error.message());
    if (error == boost::asio::error::bad_descriptor) return;
    // Guards against a spin where descriptors or memory ran out: the client stays in the backlog.
    if (IsExhausted(error)) owner_.MakeRoom();
    return WaitLater();
  }
  Wait();
}

void Acceptor::Pause() {
  paused_ = true;
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

void Acceptor::Resume() {
  if (!std::exchange(paused_, false) || !socket_.is_open()) return;
  Wait();
}

// Closing alone would leave it in this process's epoll set, since the other process keeps it open.
void Acceptor::Release() {
  if (!socket_.is_open()) return;
  boost::system::error_code ignored;
  const int handle = socket_.release(ignored);
  if (!ignored) ::close(handle);
}

void Acceptor::Close() {
  error_code error;
  while (!error) {
    tcp::socket socket(io_);
    socket_.accept(socket, error);
    if (!error) owner_.Admit(std::move(socket));
  }
  socket_.close(error);
}

}  // namespace mothrack
