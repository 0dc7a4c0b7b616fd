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

// Written in one call, so that one fast reader does not keep the others waiting.
constexpr std::uint64_t kMaxBytesPerCall = 256 * 1024;

}  // namespace

BodyWriter::Progress BodyWriter::Write(boost::asio::ip::tcp::socket& socket) {
  for (const std::uint64_t begun = written_; written_ - begun < kMaxBytesPerCall;) {
    if (frame_at_ == frame_.size() && chunk_ == 0) {
      chunk_ = stream_->Ready().size();
      if (chunk_ == 0 && stream_->state() == runtime::Stream::State::kBroken) return Progress::kCut;
      const bool ends = chunk_ == 0 && stream_->done();
      if (ends && (framing_ != Framing::kChunked || last_)) return Progress::kDone;
      if (chunk_ == 0 && !ends) return Progress::kNoBytes;
      if (framing_ == Framing::kChunked) {
        // The first chunk's frame follows the head; the later ones end the chunk before.
        std::array<char, 32> text;
        const int size = std::snprintf(text.data(), text.size(), "%s%zx\r\n%s", written_ > 0 ? "\r\n" : "",
                                       chunk_, ends ? "\r\n" : "");
        frame_.assign(text.data(), static_cast<std::size_t>(size));
        frame_at_ = 0;
        last_ = ends;
      }
    }
    const auto frame = std::string_view(frame_).substr(frame_at_);
    const auto bytes = stream_->Ready().substr(0, chunk_);
    const std::array<boost::asio::const_buffer, 2> parts = {boost::asio::buffer(frame.data(), frame.size()),
                                                            boost::asio::buffer(bytes.data(), bytes.size())};
    error_code error;
    std::size_t size = runtime::WriteSome(socket, parts, error);
    if (runtime::WouldBlock(error)) return Progress::kSocketFull;
    if (error) return Progress::kFailed;
    const std::size_t framed = std::min(size, frame.size());
    frame_at_ += framed;
    size -= framed;
    if (size == 0) continue;
    chunk_ -= size;
    written_ += size;
    stream_->Consume(size);
  }
  return Progress::kSocketFull;
}

}  // namespace mothrack::http
