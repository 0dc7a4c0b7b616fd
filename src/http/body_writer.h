// Writes a message's head and then its body as it comes out of a Stream, framed by its length, in chunks (RFC
// 9112 section 7.1) or by the end of the connection. Never blocks and holds no bytes of the body: whoever has
// the socket calls again when there is room in it, or more in the stream.
//
// Owned by a ResponseWriter or RequestWriter, on its thread. Errors are told as a Progress.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "runtime/stream.h"

namespace mothrack::http {

class BodyWriter {
 public:
  enum class Framing {
    kLength,      // the head has a Content-Length
    kChunked,     // the head has Transfer-Encoding: chunked
    kConnection,  // the body ends with the connection
  };

  // `head` is the message's head as it goes over the wire, with its empty line.
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
  // Bytes of the body that the system has taken; head and frames do not count.
  std::uint64_t written() const { return written_; }

 private:
  // Begins on what the stream has by now; a Progress where that is nothing that could be written.
  std::optional<Progress> BeginChunk();
  void FrameChunk(bool last);
  // One system call.
  void WritePart(boost::asio::ip::tcp::socket& socket, boost::system::error_code& error);

  std::string frame_;  // of the head or of a chunk, to be written before the next bytes
  std::size_t frame_written_ = 0;
  std::size_t chunk_left_ = 0;  // bytes of the present chunk that are not written
  bool last_chunk_framed_ = false;
  std::uint64_t written_ = 0;
  std::shared_ptr<runtime::Stream> stream_;
  const Framing framing_;
};

}  // namespace mothrack::http
