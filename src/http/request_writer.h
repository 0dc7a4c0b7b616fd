// Writes one request to an upstream's socket. A complete request is written with one asynchronous write. A
// body that is still arriving is streamed, framed by Content-Length or in chunks (RFC 9112 section 6).
//
// Owned by an UpstreamExchange, used on its thread and only once. Holds the head and refers to the message's
// body without copying it. The owner is notified once of an error.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <memory>
#include <optional>

#include "http/body_writer.h"
#include "http/messages.h"
#include "runtime/write_stream.h"

namespace mothrack::http {

class RequestWriter {
 public:
  // Receives the notifications. Must outlive the writer.
  class Owner {
   public:
    // The asynchronous write of a complete request has ended. `written`: the kernel has accepted all of it,
    // whatever `error` says. Called even after the socket was closed.
    virtual void OnWriteEnded(bool written, boost::system::error_code error) = 0;
    // A streamed body has no more bytes to write for now.
    virtual void OnBodyAwaited() = 0;
    // The socket is not writable for now.
    virtual void OnSocketFull() = 0;
    // The kernel has accepted the whole streamed request.
    virtual void OnBodyWritten() = 0;
    // The streamed request cannot be completed. `truncated`: because its body broke off.
    virtual void OnBodyFailed(bool truncated) = 0;
    // Keeps the owner, and this writer with it, alive until the pending handlers have run.
    virtual std::shared_ptr<RequestWriter> shared_writer() = 0;

   protected:
    ~Owner() = default;
  };

  // `socket` must outlive this writer. Closing it ends any pending operation.
  RequestWriter(boost::asio::ip::tcp::socket& socket, Owner& owner)
      : socket_(socket), owner_(owner), write_stream_(socket) {}

  // Starts writing. `message` must not change until the write has ended. X-Timeout-Ms tells the upstream that
  // it has `timeout` from now on to answer.
  void Start(const HttpMessage& message, std::chrono::milliseconds timeout);

  // Whether a complete request is being written and OnWriteEnded() has not been called yet.
  bool pending() const { return pending_; }
  // Stops reading from the body's stream.
  void StopBody();
  // Releases the written request. No write may be pending.
  void Clear();

 private:
  using BorrowedBody = beast_http::span_body<const char>;

  void StartStreaming(const StreamedBody& streamed_body);
  // Writes the body bytes that are available. Called again when the socket is writable or more bytes arrive.
  void Pump();
  void WaitUntilWritable();

  boost::asio::ip::tcp::socket& socket_;
  Owner& owner_;
  runtime::WriteStream<boost::asio::ip::tcp::socket> write_stream_;
  std::optional<beast_http::request<BorrowedBody>> request_;
  std::optional<beast_http::request_serializer<BorrowedBody>> serializer_;
  std::optional<BodyWriter> body_writer_;
  bool pending_ = false;
  bool pumping_ = false;
  bool waiting_until_writable_ = false;
};

}  // namespace mothrack::http
