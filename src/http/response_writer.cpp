#include "http/response_writer.h"

#include <boost/asio/socket_base.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/system/error_code.hpp>
#include <utility>

namespace mothrack::http {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

BodyWriter::Framing FramingOf(const StreamedBody& body, unsigned http_version) {
  if (body.length) return BodyWriter::Framing::kLength;
  return http_version == 11 ? BodyWriter::Framing::kChunked : BodyWriter::Framing::kConnection;
}

}  // namespace

bool ResponseWriter::EndsWithConnection(const StreamedBody& body, unsigned http_version) {
  return body && FramingOf(body, http_version) == BodyWriter::Framing::kConnection;
}

void ResponseWriter::Start(HttpResponse response, StreamedBody streamed_body, unsigned http_version,
                           bool keep_alive) {
  response_ = std::move(response);
  response_.version(http_version);
  if (streamed_body) {
    const auto framing = FramingOf(streamed_body, http_version);
    return StartStreaming(std::move(streamed_body), framing, keep_alive);
  }
  response_.keep_alive(keep_alive);
  response_.prepare_payload();
  beast_http::async_write(write_stream_, response_,
                          [self = owner_.shared_writer()](error_code error, std::size_t) {
                            if (!self->socket_.is_open()) return;
                            if (error) return self->owner_.OnWriteFailed();
                            self->Finish();
                          });
}

void ResponseWriter::StartStreaming(StreamedBody streamed_body, BodyWriter::Framing framing,
                                    bool keep_alive) {
  if (framing == BodyWriter::Framing::kLength) response_.content_length(*streamed_body.length);
  if (framing == BodyWriter::Framing::kChunked) response_.chunked(true);
  response_.keep_alive(keep_alive);
  streamed_body.stream->on_bytes = [weak = std::weak_ptr(owner_.shared_writer())] {
    if (const auto self = weak.lock()) self->Pump();
  };
  body_writer_.emplace(ToText(response_.base()), std::move(streamed_body.stream), framing);
  Pump();
}

void ResponseWriter::Pump() {
  if (!socket_.is_open() || !body_writer_ || pumping_ || waiting_until_writable_) return;
  const auto written_before = body_writer_->written();
  pumping_ = true;
  const auto progress = body_writer_->Write(socket_);
  pumping_ = false;
  if (!socket_.is_open()) return;
  if (body_writer_->written() > written_before || progress != BodyWriter::Progress::kSocketFull) {
    stall_deadline_.Suspend();
  }
  switch (progress) {
    case BodyWriter::Progress::kNoBytes:
      return;
    case BodyWriter::Progress::kSocketFull:
      return WaitUntilWritable();
    case BodyWriter::Progress::kDone:
      body_writer_.reset();
      return Finish();
    case BodyWriter::Progress::kTruncated:
      return owner_.OnBodyTruncated();
    case BodyWriter::Progress::kFailed:
      return owner_.OnWriteFailed();
  }
}

void ResponseWriter::WaitUntilWritable() {
  waiting_until_writable_ = true;
  stall_deadline_.Await(runtime::Now());
  socket_.async_wait(tcp::socket::wait_write, [self = owner_.shared_writer()](error_code error) {
    self->waiting_until_writable_ = false;
    if (!self->socket_.is_open()) return;
    if (error) return self->owner_.OnWriteFailed();
    self->Pump();
  });
}

void ResponseWriter::Finish() {
  response_ = {};
  owner_.OnResponseWritten();
}

void ResponseWriter::AbandonBody() {
  if (body_writer_) body_writer_->stream().Abandon();
}

// If a response ends with its connection, only an RST tells the client that it is truncated.
void ResponseWriter::BreakOff() {
  if (!ends_with_connection()) return;
  error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

}  // namespace mothrack::http
