// One client connection: reads requests, passes each to the owner, and writes the responses in order.
//
// Kept alive by the owner's connection set and by its own pending handlers. Runs on the thread of the owner's
// event loop. A read stays pending whenever there is buffer space, even while a request is being served,
// because that is how a client disconnect is noticed. When there is no buffer space, the owner polls the
// socket instead (ReadsNothing(), ClientDisconnected()).
//
// A connection holds at most kMaxReadAhead bytes ahead of the parser, and of a request body kBufferLimit or
// its stream's window, all of it charged to the memory budget. A request whose memory cannot be reserved gets
// a 503 response. Its phases are bounded by the timeouts below and in the source file. Socket errors close
// the connection. An invalid request gets a 4xx response and ends the connection (RFC 9112 section 9.6).
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/body_deadline.h"
#include "http/client_log.h"
#include "http/connection_timeouts.h"
#include "http/eviction_policy.h"
#include "http/lingering_close.h"
#include "http/messages.h"
#include "http/planned_stop.h"
#include "http/read_memory.h"
#include "http/request_handler.h"
#include "http/request_reader.h"
#include "http/response_writer.h"
#include "http/upload_arrival.h"
#include "runtime/clock.h"
#include "runtime/descriptors.h"
#include "runtime/stream.h"

namespace mothrack::http {

class ClientConnection : public std::enable_shared_from_this<ClientConnection>,
                         private ResponseWriter::Owner {
 public:
  // The listener. It must outlive the connection or call Orphan().
  class Owner {
   public:
    // The connection is closed; the owner drops it from its set.
    virtual void Remove(const std::shared_ptr<ClientConnection>& connection) = 0;
    // The connection waits for its next request, starting at `now`.
    virtual void OnAwaitingRequest(runtime::TimePoint now) = 0;
    // The connection has stopped reading, so only polling can detect that its client has disconnected.
    virtual void CheckForDisconnects() = 0;
    // Where rejected requests and closed connections are logged and counted.
    virtual ClientLog& client_log() = 0;
    // Whether each connection must be closed after its current response.
    virtual bool ClosesAfterResponse() const = 0;
    // Whether `/up` answers that the address accepts no new clients.
    virtual bool ReportsDraining() const = 0;
    // Serves one request, whose body may still be arriving. `reply` must be called once.
    virtual RequestObserver HandleRequest(HttpRequest&& request, StreamedBody streamed_body,
                                          RequestMemory memory, ReplyCallback reply) = 0;

   protected:
    ~Owner() = default;
  };

  // Occupies one descriptor of the client side until the connection is closed.
  ClientConnection(Owner& owner, runtime::Descriptors& descriptors, const runtime::MemoryBudget& budget,
                   boost::asio::ip::tcp::socket socket);

  // Starts reading. Must be called once, after a shared_ptr owns the connection.
  void Start() { Read(); }
  // Closes the socket, notifies the observer of the current request, and leaves the owner's set. Idempotent.
  void Close(CloseReason reason);
  // The owner is being destroyed: closes the connection, and handlers that run later must not touch the
  // owner.
  void Orphan();
  // Ends an idle connection whose descriptor is not needed immediately. A request that arrives between the
  // last check and this call does not cause an RST: the client sees the half-close and closes its side, and
  // only then is this side closed.
  void HalfClose();
  // The process is about to be killed: fails the request that is being served, if there is one, so that its
  // client gets a final answer.
  void FailRequest();
  // The same for a request of which only a part has arrived. It had no effect.
  void RefuseRequest();
  // Closes without waiting any longer for the client's close.
  void CloseNow(CloseReason reason);
  // Tells the handler of the current request if its client may have been waiting for the whole time that it
  // allows, although its body is not read to the end.
  void CheckUpload(runtime::TimePoint now);
  // Ends the connection if its current phase has exceeded its timeout.
  void CloseIfOverdue(runtime::TimePoint now);

  // Start of the current phase, or the time of the first byte of the current request.
  runtime::TimePoint since() const { return since_; }
  // Input of a planned stop.
  ConnectionState StateAt(runtime::TimePoint now) const;
  // Whether it waits for a request or reads one that no handler has yet.
  bool ReadsRequest() const { return phase_ == Phase::kReading; }
  int native_handle() { return socket_.native_handle(); }
  // Whether no read is pending, so that the event loop does not report a disconnect of the client.
  bool ReadsNothing() const;
  // Whether the kernel's receive buffer holds bytes of an incomplete request. Closing now would lose them.
  bool HasUnreadBytes();
  // Whether the client has half-closed or closed the connection, even if unread bytes precede the close.
  bool ClientDisconnected();
  // Input of the eviction policy for the case that descriptors run out.
  ConnectionActivity Activity(runtime::TimePoint now) const;

 private:
  enum class Phase {
    kReading,    // waits for a request or reads one
    kServing,    // the handler has the request
    kWriting,    // the response is being written
    kLingering,  // half-closed after the last response; incoming bytes are read and discarded
    // Half-closed between requests. Nothing more is read, so a request that crosses the half-close on the
    // wire counts as never read, and its client can safely send it on another connection.
    kHalfClosed,
  };

  // Reading
  void AwaitRequest();
  void Read();
  void AwaitClose();
  void Receive();
  std::size_t ClaimRead();
  ReadMemory::Use ReadUse() const;
  void OnReadDenied();
  void Progress();
  void DiscardBuffered();
  void Parse();
  bool ParseStep();
  bool AcceptHead();
  bool ReserveRequest();
  void SendContinue();
  bool GrowBodyBuffer();

  // Serving
  void Serve(HttpRequest&& request, StreamedBody streamed_body);
  void BeginUpload();
  bool ContinueUpload(const RequestReader::Step& step);
  bool ForwardChunk();
  void FinishUpload();
  bool BytesBehindAreUnsound();
  void RejectBytesBehind();
  void OnReply(HttpResponse response, StreamedBody streamed_body);
  void ObserveUpload(runtime::TimePoint now);
  void RejectUnsound(MessageDefect defect, const std::string& text);
  void RejectForMemory();
  // Answers with an error, which is logged with its `detail`, and ends the connection.
  void Reject(Rejection rejection, std::string_view detail, HttpResponse response);
  // The id of the current request; empty if it is not known.
  std::string_view RequestId() const;
  OpenRequest StateOfRequest() const;
  void Respond(HttpResponse response, StreamedBody streamed_body = {});

  // ResponseWriter::Owner
  void OnResponseWritten() override;
  void OnWriteFailed() override { Close(CloseReason::kWriteFailed); }
  void OnBodyTruncated() override { Close(CloseReason::kResponseBroke); }
  std::shared_ptr<ResponseWriter> shared_writer() override { return {shared_from_this(), &writer_}; }

  // Whether all responses are written and only the client's close is awaited.
  bool AwaitsClose() const { return phase_ == Phase::kLingering || phase_ == Phase::kHalfClosed; }
  // Whether the current phase has lasted longer than it may.
  bool IsOverdue(runtime::TimePoint now) const;
  // Ends the attempts of the current request and its body, if that is still arriving.
  void EndRequest();
  void OnBodyBytes(std::size_t bytes);

  Owner* owner_;  // null once the owner is destroyed; the connection is closed then
  const runtime::MemoryBudget budget_;
  // First, so that it outlives the bytes that it stands for.
  ReadMemory read_memory_;
  runtime::MemoryBudget::Charge response_memory_;  // of the response that is being written
  RequestMemory request_memory_;  // of the request that is being read; moves along with the request
  std::optional<runtime::Descriptors::Slot> slot_;
  boost::asio::ip::tcp::socket socket_;
  RequestReader reader_;
  ResponseWriter writer_;
  LingeringClose linger_;
  RequestObserver observer_;  // its functions notify the handler of the current request
  // The body, still arriving, of a request that was already passed to the handler; null otherwise.
  std::shared_ptr<runtime::Stream> upload_;
  // Of the current request, and of the rest of its body after the response was sent. Paused while nothing is
  // read because the upload is not consumed.
  BodyDeadline body_deadline_;
  UploadArrival upload_arrival_;      // of the current upload
  std::uint64_t received_bytes_ = 0;  // read from the socket since the start of the connection
  Phase phase_ = Phase::kReading;
  runtime::TimePoint since_;
  std::string request_id_;           // of the request that is served or was served last
  unsigned http_version_ = 11;       // of the current request
  bool unused_ = true;               // no byte has ever arrived
  bool extension_granted_ = false;   // was overdue once, but had unread bytes and got one extension
  bool close_after_ = false;         // close after the current response
  bool upload_interrupted_ = false;  // the response was sent before the request body had fully arrived
  // The client pipelined more bytes than the buffer holds, so none of them is parsed as a request.
  bool pipeline_overflowed_ = false;
  bool parsing_ = false;  // guards Parse() against re-entry
  bool reading_ = false;  // a wait for readability is pending
  bool closed_ = false;
};

}  // namespace mothrack::http
