// Writes one request to an upstream's socket: a whole one in one asynchronous write, and one whose body still
// comes as it comes, framed by its length or in chunks (RFC 9112 section 6).
//
// Owned by an UpstreamExchange, on its thread; used once. Holds the head and refers to the message's body,
// which is not copied. Errors are told to the owner, once.
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
  class Owner {
   public:
    // The asynchronous write of a whole request has ended. `written`: the system has all of it, whatever the
    // error says. Told also after the socket was closed.
    virtual void OnWriteEnded(bool written, boost::system::error_code error) = 0;
    // Of a body that still comes: there is nothing more to write for now.
    virtual void OnBodyAwaited() = 0;
    // The upstream takes no more of it for now.
    virtual void OnSocketFull() = 0;
    // The system has all of it.
    virtual void OnBodyWritten() = 0;
    // It can't be written to its end.
    virtual void OnBodyFailed() = 0;
    // Keeps the owner, and this writer with it, until the handlers that are under way have run.
    virtual std::shared_ptr<RequestWriter> shared_writer() = 0;

   protected:
    ~Owner() = default;
  };

  // `socket` must outlive this writer; closing it ends what is under way.
  RequestWriter(boost::asio::ip::tcp::socket& socket, Owner& owner)
      : socket_(socket), owner_(owner), write_stream_(socket) {}

  // Begins to write; `message` must stay as it is until the write has ended. The peer is told by X-Timeout-Ms
  // that it will be waited for `timeout` from now on.
  void Start(const HttpMessage& message, std::chrono::milliseconds timeout);

  // A whole request is being written: OnWriteEnded() is still to come.
  bool pending() const { return pending_; }
  // Takes no more of the body.
  void StopBody();
  // Lets go of what was written; nothing may be under way.
  void Clear();

 private:
  using BorrowedBody = beast_http::span_body<const char>;

  void StartStreaming(const ComingBody& coming);
  // Writes what there is of the body. Called again when there is room, or more.
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
