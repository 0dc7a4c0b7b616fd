// The part of ClientConnection that streams the body of a request whose head was passed on already.
#include <boost/system/error_code.hpp>
#include <memory>
#include <utility>

#include "http/client_connection.h"

namespace mothrack::http {

using boost::system::error_code;

// Called when the body exceeds what may be buffered: passes the request on now and streams the body after it.
void ClientConnection::BeginUpload() {
  HttpRequest request;
  request.base() = reader_.TakeHead();
  // The stream claims its own memory.
  request_memory_.message.Set(request_memory_.message.bytes() - reader_.chunk_capacity());
  upload_ = std::make_shared<runtime::Stream>(budget_, kMaxReplaySize);
  upload_->on_capacity = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Progress();
  };
  upload_arrival_.Begin(received_bytes_, runtime::Now());
  const auto upload = upload_;  // Serve() may reset the member
  Serve(std::move(request), StreamedBody{upload, reader_.content_length()});
  if (upload_) ForwardChunk();
}

// Returns false if nothing more can be parsed for now.
bool ClientConnection::ContinueUpload(const RequestReader::Step& step) {
  if (step.result == RequestReader::Step::Result::kInvalid) {
    EndRequest();
    RejectUnsound(step.defect, step.text);
    return false;
  }
  // The last piece is passed on only if the request is sound.
  if (reader_.complete() && BytesBehindAreUnsound()) {
    RejectBytesBehind();
    return false;
  }
  if (!ForwardChunk()) return false;
  if (reader_.complete()) {
    FinishUpload();
    return true;
  }
  return step.consumed > 0;
}

// Appends the parsed part of the body to the upload stream. Returns false if that ended the upload.
bool ClientConnection::ForwardChunk() {
  const auto upload = upload_;
  upload->AppendAndFree(reader_.chunk());
  return upload_ == upload;
}

void ClientConnection::FinishUpload() {
  const auto upload = std::exchange(upload_, nullptr);
  upload_arrival_.OnComplete(runtime::Now());
  if (const auto on_complete = std::exchange(observer_.on_complete, nullptr)) {
    on_complete(upload_arrival_.last_byte_at());
  }
  upload->End(runtime::Stream::State::kComplete);
}

void ClientConnection::ObserveUpload(runtime::TimePoint now) {
  error_code error;
  const std::size_t in_kernel = socket_.available(error);
  const std::size_t unread = reader_.buffer().size() + in_kernel;
  upload_arrival_.Observe({received_bytes_ + in_kernel, unread, reader_.missing_body()}, now);
  if (upload_->Capacity() == 0) upload_arrival_.OnHeldBack();
}

void ClientConnection::CheckUpload(runtime::TimePoint now) {
  if (closed_ || !upload_ || !observer_.on_complete) return;
  ObserveUpload(now);
  const runtime::TimePoint last_byte_at = upload_arrival_.last_byte_at();
  if (now - last_byte_at < observer_.answer_time) return;
  const auto self = shared_from_this();  // the handler may answer the request at once
  std::exchange(observer_.on_complete, nullptr)(last_byte_at);
}

}  // namespace mothrack::http
