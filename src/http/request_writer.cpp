#include "http/request_writer.h"

#include <algorithm>
#include <boost/beast/http/write.hpp>
#include <cstdint>
#include <string>
#include <utility>

namespace mothrack::http {

using boost::asio::ip::tcp;
using boost::system::error_code;

void RequestWriter::Start(const HttpMessage& message, std::chrono::milliseconds timeout) {
  const HttpRequest& request = message.request;
  request_.emplace(request.method(), request.target(), 11);
  request_->base() = request.base();
  request_->version(11);
  request_->set("X-Timeout-Ms", std::to_string(std::max<std::int64_t>(timeout.count(), 1)));
  if (message.streamed_body) return StartStreaming(message.streamed_body);
  request_->body() = {request.body().data(), request.body().size()};
  request_->prepare_payload();
  serializer_.emplace(*request_);
  pending_ = true;
  beast_http::async_write(write_stream_, *serializer_,
                          [self = owner_.shared_writer()](error_code error, std::size_t) {
                            self->pending_ = false;
                            self->owner_.OnWriteEnded(self->serializer_->is_done(), error);
                          });
}

void RequestWriter::StartStreaming(const StreamedBody& streamed_body) {
  if (streamed_body.length) request_->content_length(*streamed_body.length);
  if (!streamed_body.length) request_->chunked(true);
  streamed_body.stream->on_bytes = [weak = std::weak_ptr(owner_.shared_writer())] {
    if (const auto self = weak.lock()) self->Pump();
  };
  body_writer_.emplace(ToText(request_->base()), streamed_body.stream,
                       streamed_body.length ? BodyWriter::Framing::kLength : BodyWriter::Framing::kChunked);
  Pump();
}

void RequestWriter::Pump() {
  if (!socket_.is_open() || !body_writer_ || pumping_ || waiting_until_writable_) return;
  pumping_ = true;
  const auto progress = body_writer_->Write(socket_);
  pumping_ = false;
  if (!socket_.is_open()) return;
  switch (progress) {
    case BodyWriter::Progress::kNoBytes:
      return owner_.OnBodyAwaited();
    case BodyWriter::Progress::kSocketFull:
      owner_.OnSocketFull();
      return WaitUntilWritable();
    case BodyWriter::Progress::kDone:
      body_writer_.reset();
      return owner_.OnBodyWritten();
    case BodyWriter::Progress::kTruncated:
    case BodyWriter::Progress::kFailed:
      return owner_.OnBodyFailed(progress == BodyWriter::Progress::kTruncated);
  }
}

void RequestWriter::WaitUntilWritable() {
  waiting_until_writable_ = true;
  socket_.async_wait(tcp::socket::wait_write, [self = owner_.shared_writer()](error_code error) {
    self->waiting_until_writable_ = false;
    if (!self->socket_.is_open()) return;
    if (error) return self->owner_.OnBodyFailed(false);
    self->Pump();
  });
}

void RequestWriter::StopBody() {
  // If pumping, Pump() is on the call stack and the connection is closed already.
  if (!pumping_) body_writer_.reset();
}

void RequestWriter::Clear() {
  serializer_.reset();
  request_.reset();
}

}  // namespace mothrack::http
