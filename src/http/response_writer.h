// Writes one response after the other to a client's socket: whole ones in one asynchronous write, and those
// whose body still comes as it comes (RFC 9112 section 6), framed by length, in chunks, or by the
// connection's end.
//
// Owned by a ClientConnection, on its thread; one response at a time. Holds one whole response, and of a body
// that still comes only its stream, which has its own bound. Errors are told to the owner, once.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>

#include "http/body_writer.h"
#include "http/messages.h"
#include "runtime/write_stream.h"

namespace mothrack::http {

class ResponseWriter {
 public:
  class Owner {
   public:
    // The client took bytes, or there were none that it could take: it is not to blame for the time so far.
    virtual void OnWriteProgress() = 0;
    // The system has all of the response.
    virtual void OnResponseWritten() = 0;
    // The response can't be written to its end; the connection is to be closed.
    virtual void OnWriteFailed() = 0;
    // Keeps the owner, and this writer with it, until the handlers that are under way have run.
    virtual std::shared_ptr<ResponseWriter> shared_writer() = 0;

   protected:
    ~Owner() = default;
  };

  // `socket` belongs to the owner as well; closing it ends what is under way, without a further call.
  ResponseWriter(boost::asio::ip::tcp::socket& socket, Owner& owner)
      : socket_(socket), owner_(owner), write_stream_(socket) {}

  // Only the connection's end tells an HTTP/1.0 client where a body of unknown length ends.
  static bool EndsWithConnection(const ComingBody& body, unsigned http_version);

  // Begins to write; `http_version` is 10 or 11, as the request had it.
  void Start(HttpResponse response, ComingBody coming, unsigned http_version, bool keep_alive);

  // The body of the present response is written as it comes.
  bool streaming() const { return body_writer_.has_value(); }
  // Nobody takes the rest of the body: whoever sends it is told. To be called after the socket was closed.
  void AbandonBody();

 private:
  void StartStreaming(ComingBody coming, BodyWriter::Framing framing, bool keep_alive);
  // Writes what there is of the body. Called again when there is room, or more.
  void Pump();
  void WaitUntilWritable();
  void Finish();
  void ResetOnClose();

  boost::asio::ip::tcp::socket& socket_;
  Owner& owner_;
  runtime::WriteStream<boost::asio::ip::tcp::socket> write_stream_;
  HttpResponse response_;
  std::optional<BodyWriter> body_writer_;
  bool pumping_ = false;
  bool waiting_until_writable_ = false;
};

}  // namespace mothrack::http
