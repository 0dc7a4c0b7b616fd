// Writes a message's head and then its body as it comes out of a Stream, framed by its length, in chunks (RFC
// 9112 section 7.1) or by the end of the connection. Never blocks and holds no bytes of the body: whoever has
// the socket calls again when there is room in it, or more in the stream.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "runtime/stream.h"

namespace mothrack::http {

class BodyWriter {
 public:
  enum class Framing { kLength, kChunked, kConnection };

  BodyWriter(std::string head, std::shared_ptr<runtime::Stream> stream, Framing framing)
      : frame_(std::move(head)), stream_(std::move(stream)), framing_(framing) {}

  enum class Progress {
    kSocketFull,  // or it has written much and others shall have their turn
    kNoBytes,     // the stream has nothing more for now
    kDone,        // all is written
    kCut,         // the stream broke: the message must be seen to be not whole
    kFailed,      // the socket did
  };
  Progress Write(boost::asio::ip::tcp::socket& socket);

  runtime::Stream& stream() { return *stream_; }
  Framing framing() const { return framing_; }
  std::uint64_t written() const { return written_; }

 private:
  std::string frame_;  // of the head or of a chunk, to be written before the next bytes
  std::size_t frame_at_ = 0;
  std::size_t chunk_ = 0;  // left of the chunk that is being written
  bool last_ = false;      // the last chunk's frame is made
  std::uint64_t written_ = 0;
  std::shared_ptr<runtime::Stream> stream_;
  const Framing framing_;
};

}  // namespace mothrack::http
