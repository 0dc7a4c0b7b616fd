// Writes the successive responses of a client connection. A complete response is written with one
// asynchronous write. A body that is still arriving is streamed, framed by Content-Length, in chunks, or by
// the end of the connection (RFC 9112 section 6).
//
// Owned by a ClientConnection, used on its thread for one response at a time. Holds one complete response, or
// only the stream of a body that is still arriving, which has its own bound. The owner is notified once of an
// error.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>

#include "http/body_writer.h"
#include "http/messages.h"
#include "http/stall_deadline.h"
#include "runtime/clock.h"
#include "runtime/write_stream.h"

namespace mothrack::http {

class ResponseWriter {
 public:
  // Receives the notifications. Must outlive the writer.
  class Owner {
   public:
    // The kernel has accepted the whole response.
    virtual void OnResponseWritten() = 0;
    // Writing failed; the connection must be closed.
    virtual void OnWriteFailed() = 0;
    // The streamed body broke off; the connection must be closed.
    virtual void OnBodyTruncated() = 0;
    // Keeps the owner, and this writer with it, alive until the pending handlers have run.
    virtual std::shared_ptr<ResponseWriter> shared_writer() = 0;

   protected:
    ~Owner() = default;
  };

  // `socket` also belongs to the owner. Closing it ends any pending operation without a further notification.
  ResponseWriter(boost::asio::ip::tcp::socket& socket, Owner& owner)
      : socket_(socket), owner_(owner), write_stream_(socket) {}

  // Whether this response ends with its connection. That is so if the length is unknown and the client uses
  // HTTP/1.0, which has no chunked coding.
  static bool EndsWithConnection(const StreamedBody& body, unsigned http_version);

  // Starts writing. `http_version` is that of the request, 10 or 11.
  void Start(HttpResponse response, StreamedBody streamed_body, unsigned http_version, bool keep_alive);

  // Whether the body of the current response is streamed.
  bool streaming() const { return body_writer_.has_value(); }
  // Whether the client has taken nothing of a streamed response for too long. Time in which there is nothing
  // to write does not count.
  bool ClientStalls(runtime::TimePoint now) const { return stall_deadline_.Overdue(now); }
  // Whether only the end of the connection marks the end of the response that is being written.
  bool ends_with_connection() const {
    return body_writer_ && body_writer_->framing() == BodyWriter::Framing::kConnection;
  }
  // The connection is about to be closed. Makes sure that the client of an incomplete response can tell.
  void BreakOff();
  // Tells the producer of a streamed body that the rest of it will not be read. Must be called after the
  // socket was closed.
  void AbandonBody();

 private:
  void StartStreaming(StreamedBody streamed_body, BodyWriter::Framing framing, bool keep_alive);
  // Writes the body bytes that are available. Called again when the socket is writable or more bytes arrive.
  void Pump();
  void WaitUntilWritable();
  void Finish();

  boost::asio::ip::tcp::socket& socket_;
  Owner& owner_;
  runtime::WriteStream<boost::asio::ip::tcp::socket> write_stream_;
  HttpResponse response_;
  std::optional<BodyWriter> body_writer_;
  StallDeadline stall_deadline_;  // of the client that reads a streamed response
  bool pumping_ = false;
  bool waiting_until_writable_ = false;
};

}  // namespace mothrack::http
