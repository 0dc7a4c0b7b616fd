// An asynchronous write stream that survives short writes.
//
// The event loop registers sockets edge-triggered and takes a write that moved less than it was given for a
// full socket buffer: the next asynchronous write then waits for an edge. The system may also move less
// although there is room (send(2) promises no more than one byte); then no edge ever comes, and the writer
// waits for ever. So after a short write this stream asks the system anew whether the socket is writable,
// which arms the edge again: it comes at once where there is room. Boost.Asio 1.74, epoll_reactor::start_op
// and reactive_socket_send_op.
//
// Every composed asynchronous write of the program (boost::asio::async_write,
// boost::beast::http::async_write) goes through one of these. A writer that calls write_some() itself until
// the system says EAGAIN, and only then waits, is safe without it.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <utility>

namespace mothrack::runtime {

// `Stream` is a socket, or a Beast stream that has one. It is referred to and must outlive all its writes. To
// be used on the thread of the stream's event loop; one write at a time.
template <typename Stream>
class WriteStream {
 public:
  using executor_type = typename Stream::executor_type;

  explicit WriteStream(Stream& stream) : stream_(stream) {}

  executor_type get_executor() { return stream_.get_executor(); }

  // As the stream's own async_write_some(): `handler` gets the error and the number of bytes moved, once.
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
  // What waits for the edge is the write that follows; this wait has nothing to do once it comes.
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
