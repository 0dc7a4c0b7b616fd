// An asynchronous write stream that does not hang after a short write.
//
// The event loop registers sockets edge-triggered and assumes after a short write that the socket buffer is
// full: the next asynchronous write then waits for an edge. The kernel may also write less although there is
// space (send(2) guarantees no more than one byte); then no edge ever comes, and the writer hangs. So after a
// short write this stream waits for the socket to be writable anew, which rearms the edge: it comes at once
// if there is space. Boost.Asio 1.74, epoll_reactor::start_op and reactive_socket_send_op.
//
// Every composed asynchronous write of the program (boost::asio::async_write,
// boost::beast::http::async_write) must use one of these. A writer that calls write_some() itself until
// EAGAIN, and only then waits, is safe without it.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <utility>

namespace mothrack::runtime {

// `Stream` is a socket or a Beast stream; it must outlive all writes. To be used on the thread of the
// stream's event loop; one write at a time.
template <typename Stream>
class WriteStream {
 public:
  using executor_type = typename Stream::executor_type;

  explicit WriteStream(Stream& stream) : stream_(stream) {}

  executor_type get_executor() { return stream_.get_executor(); }

  // Like the stream's own async_write_some(): calls `handler` once with the error and the number of bytes
  // written.
  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {
    const std::size_t size = boost::asio::buffer_size(buffers);
    stream_.async_write_some(buffers, [this, size, handler = std::forward<Handler>(handler)](
                                          boost::system::error_code error, std::size_t written) mutable {
      if (!error && written < size) ArmWritable();
      handler(error, written);
    });
  }

 private:
  // Waits until the socket is writable, which rearms the edge for the next write. The wait's handler has
  // nothing to do.
  void ArmWritable() {
    Socket().async_wait(boost::asio::socket_base::wait_write, [](boost::system::error_code) {});
  }

  auto& Socket() {
    if constexpr (requires { stream_.socket(); }) {
      return stream_.socket();
    } else {
      return stream_;
    }
  }

  Stream& stream_;
};

}  // namespace mothrack::runtime
