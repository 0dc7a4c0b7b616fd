// One client connection: reads requests, hands each to the owner, and writes the responses in order.
//
// Kept alive by its owner's set and by its own handlers that are under way; on the thread of the owner's
// event loop. A read is always pending while there is room, also while a request is being served: that is how
// a client that disconnects is noticed. Where there is none, the owner polls (ReadsNothing(),
// ClientDisconnected()).
//
// Bounds: kMaxReadAhead bytes ahead of the parser, a request's body as kBufferLimit or its stream's window
// allow, time-outs as in the source file. Errors of the socket close the connection; what is wrong with a
// request is answered with a 4xx status and ends the connection (RFC 9112 section 9.6).
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "http/eviction_policy.h"
#include "http/lingering_close.h"
#include "http/messages.h"
#include "http/request_handler.h"
#include "http/request_reader.h"
#include "http/response_writer.h"
#include "http/stall_timer.h"
#include "runtime/clock.h"
#include "runtime/descriptors.h"
#include "runtime/stream.h"

namespace mothrack::http {

// A connection has so long, from its start, for its first whole request; a later request from its first byte
// on; an answer to be taken. Not renewed by what trickles: the deployment wants silent and stalled clients
// gone within 3 s of connecting.
inline constexpr runtime::Duration kRequestTimeout = std::chrono::milliseconds(2500);
// After a half-close the client's is waited for: a reset could overtake the answer. Short, as a planned stop
// waits for it too.
inline constexpr runtime::Duration kLingerTimeout = std::chrono::milliseconds(250);

class ClientConnection : public std::enable_shared_from_this<ClientConnection>,
                         private ResponseWriter::Owner {
 public:
  class Owner {
   public:
    virtual void Remove(const std::shared_ptr<ClientConnection>& connection) = 0;
    // A connection waits for its next request from `now` on.
    virtual void OnAwaitingRequest(runtime::TimePoint now) = 0;
    // Nothing is read from a connection any more: only polling tells that its client has disconnected.
    virtual void CheckForDisconnects() = 0;
    // Each connection is to be closed after the response that is being written.
    virtual bool ClosesAfterResponse() const = 0;
    // What `/up` answers: the address takes no new clients.
    virtual bool ReportsDraining() const = 0;
    virtual RequestObserver HandleRequest(HttpRequest request, ComingBody coming, ReplyCallback reply) = 0;

   protected:
    ~Owner() = default;
  };

  // Takes a descriptor on the clients' side until it is closed.
  ClientConnection(Owner& owner, runtime::Descriptors& descriptors, runtime::ByteBudget& budget,
                   boost::asio::ip::tcp::socket socket);

  // To be called once, when a shared_ptr owns it.
  void Start() { Read(); }
  void Close();
  // The owner is going: handlers that are still to come must not touch it.
  void Orphan();
  // Ends an idle connection of which nobody needs the descriptor at once. What arrives between the last check
  // and this finds no reset: its client sees the end of the connection, closes its own, and only then does
  // this one.
  void HalfClose();
  // Closes without awaiting the client's close any longer.
  void CloseNow();
  // Ends what has had its time.
  void CloseIfOverdue(runtime::TimePoint now);

  // The start of the present phase, or of a request's first byte.
  runtime::TimePoint since() const { return since_; }
  bool Idle() const { return phase_ == Phase::kReading && !reader_.started(); }
  // Connected a moment ago and about to send a request.
  bool IsNew(runtime::TimePoint now) const;
  // All is answered, and only its client's close is waited for.
  bool AwaitsClose() const { return phase_ == Phase::kLingering || phase_ == Phase::kHalfClosed; }
  // Nothing is read, so that nothing else tells when the client disconnects.
  bool ReadsNothing() const;
  // More of a request has come, into the system's buffer, than was read. Closing would lose it.
  bool HasUnreadBytes();
  // The client has closed its end, or all of the connection; also where bytes wait ahead of that.
  bool ClientDisconnected();
  // For the choice of the connection that goes when descriptors run out.
  ConnectionActivity Activity(runtime::TimePoint now) const;

 private:
  // kLingering: after a last answer, half-closed; what comes is read and dropped. kHalfClosed: ended between
  // requests; nothing is read any more, so that a request which crossed the half-close is one that was not
  // read, and its client sends it on another connection.
  enum class Phase { kReading, kServing, kWriting, kLingering, kHalfClosed };

  // Reading
  void AwaitRequest();
  void Read();
  void AwaitClose();
  void Receive();
  void Progress();
  void DropBuffered();
  void Parse();
  bool ParseStep();
  bool AcceptHead();
  void SendContinue();

  // Serving
  void Serve(HttpRequest request, ComingBody coming);
  void BeginUpload();
  bool ContinueUpload(const RequestReader::Step& step);
  bool PassOnChunk();
  void FinishUpload();
  void Reject(beast_http::status status, const std::string& reason);
  void Respond(HttpResponse response, ComingBody coming = {});

  // Of the response writer
  void OnWriteProgress() override { since_ = runtime::Now(); }
  void OnResponseWritten() override;
  void OnWriteFailed() override { Close(); }
  std::shared_ptr<ResponseWriter> shared_writer() override { return {shared_from_this(), &writer_}; }

  // How long the present phase may last, counted from since().
  runtime::Duration Timeout(runtime::TimePoint now) const;

  Owner* owner_;  // null once the owner is gone; the connection is closed then
  runtime::ByteBudget& budget_;
  std::optional<runtime::Descriptors::Slot> slot_;
  boost::asio::ip::tcp::socket socket_;
  RequestReader reader_;
  ResponseWriter writer_;
  LingeringClose linger_;
  RequestObserver observer_;                 // of the request that is being served
  std::shared_ptr<runtime::Stream> upload_;  // of the request that was handed on while its body still comes
  StallTimer upload_stall_;                  // nothing is read, since nobody takes the upload
  Phase phase_ = Phase::kReading;
  runtime::TimePoint since_;
  unsigned http_version_ = 11;   // of the present request
  bool unused_ = true;           // nothing has ever come
  bool excused_ = false;         // it was overdue once, and more had come
  bool close_after_ = false;     // the present response
  bool upload_was_cut_ = false;  // it was answered before its body had come
  bool flooded_ = false;  // more came ahead of an answer than is buffered: none of it is read as a request
  bool parsing_ = false;  // guards Parse() against being entered again
  bool reading_ = false;  // a wait for bytes is under way
  bool closed_ = false;
};

}  // namespace mothrack::http
