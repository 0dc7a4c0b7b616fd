#include "http/body_writer.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <cstdio>
#include <string_view>

#include "runtime/system_calls.h"

namespace mothrack::http {
namespace {

using boost::system::error_code;

// Byte budget of one call, so that one fast reader cannot starve the other connections of the event loop.
constexpr std::uint64_t kMaxBytesPerCall = std::uint64_t{256} * 1024;
// Maximum size of a chunk's framing: two line ends, the size in hexadecimal, and the empty line after the
// last chunk.
constexpr std::size_t kMaxFrameSize = 32;

}  // namespace

BodyWriter::Progress BodyWriter::Write(boost::asio::ip::tcp::socket& socket) {
  for (const std::uint64_t written_before = written_; written_ - written_before < kMaxBytesPerCall;) {
    if (frame_written_ == frame_.size() && chunk_left_ == 0) {
      if (const auto progress = BeginChunk()) return *progress;
    }
    error_code error;
    WritePart(socket, error);
    if (runtime::WouldBlock(error)) return Progress::kSocketFull;
    if (error) return Progress::kFailed;
  }
  return Progress::kSocketFull;
}

std::optional<BodyWriter::Progress> BodyWriter::BeginChunk() {
  chunk_left_ = stream_->Ready().size();
  const bool empty = chunk_left_ == 0;
  if (empty && stream_->state() == runtime::Stream::State::kTruncated) return Progress::kTruncated;
  const bool ends = empty && stream_->done();
  if (ends && (framing_ != Framing::kChunked || last_chunk_framed_)) return Progress::kDone;
  if (empty && !ends) return Progress::kNoBytes;
  if (framing_ == Framing::kChunked) FrameChunk(ends);
  return std::nullopt;
}

// The framing of the first chunk follows the head directly. Each later one starts with the line end of the
// previous chunk.
void BodyWriter::FrameChunk(bool last) {
  std::array<char, kMaxFrameSize> text;
  const int size = std::snprintf(text.data(), text.size(), "%s%zx\r\n%s", written_ > 0 ? "\r\n" : "",
                                 chunk_left_, last ? "\r\n" : "");
  frame_.assign(text.data(), static_cast<std::size_t>(size));
  frame_written_ = 0;
  last_chunk_framed_ = last;
}

void BodyWriter::WritePart(boost::asio::ip::tcp::socket& socket, error_code& error) {
  const auto frame = std::string_view(frame_).substr(frame_written_);
  const auto bytes = stream_->Ready().substr(0, chunk_left_);
  const std::array<boost::asio::const_buffer, 2> parts = {boost::asio::buffer(frame.data(), frame.size()),
                                                          boost::asio::buffer(bytes.data(), bytes.size())};
  const std::size_t size = runtime::WriteSome(socket, parts, error);
  if (error) return;
  const std::size_t of_frame = std::min(size, frame.size());
  frame_written_ += of_frame;
  const std::size_t of_body = size - of_frame;
  if (of_body == 0) return;
  chunk_left_ -= of_body;
  written_ += of_body;
  stream_->Consume(of_body);
}

}  // namespace mothrack::http
