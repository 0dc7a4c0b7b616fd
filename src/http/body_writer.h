// Writes a message head and then a body that arrives through a Stream. The end of the body is marked by
// Content-Length, by chunked coding (RFC 9112 section 7.1) or by the end of the connection.
//
// Writes never block, and no body bytes are copied into this object. The owner of the socket calls Write()
// again when the socket is writable or the stream has more bytes.
//
// Owned by a ResponseWriter or RequestWriter and used on its thread. Errors are returned as a Progress value.
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

// Writes one message; not reusable.
class BodyWriter {
 public:
  // How the receiver finds the end of the body (RFC 9112 section 6.3).
  enum class Framing {
    kLength,      // the head has a Content-Length
    kChunked,     // the head has Transfer-Encoding: chunked
    kConnection,  // the body ends with the connection
  };

  // `head` is the serialized message head, including the empty line that ends it.
  BodyWriter(std::string head, std::shared_ptr<runtime::Stream> stream, Framing framing)
      : frame_(std::move(head)), stream_(std::move(stream)), framing_(framing) {}

  // Why a call of Write() returned.
  enum class Progress {
    kSocketFull,  // the socket is not writable, or this call has used up its byte budget
    kNoBytes,     // the stream has no more bytes for now
    kDone,        // the whole message is written
    kTruncated,   // the stream is truncated: the receiver must be able to detect that the message is too
    kFailed,      // writing to the socket failed
  };
  // Writes as much as possible without blocking; at most 256 KiB of the body per call.
  Progress Write(boost::asio::ip::tcp::socket& socket);

  runtime::Stream& stream() { return *stream_; }
  Framing framing() const { return framing_; }
  // Body bytes that the kernel has accepted, without the head and the chunk framing.
  std::uint64_t written() const { return written_; }

 private:
  // Starts a chunk from the bytes that the stream has now. Returns a Progress if there is nothing to write.
  std::optional<Progress> BeginChunk();
  void FrameChunk(bool last);
  // Makes one write system call.
  void WritePart(boost::asio::ip::tcp::socket& socket, boost::system::error_code& error);

  std::string frame_;  // the head or a chunk's framing, written before the next body bytes
  std::size_t frame_written_ = 0;
  std::size_t chunk_left_ = 0;  // bytes of the current chunk that are not written yet
  bool last_chunk_framed_ = false;
  std::uint64_t written_ = 0;
  std::shared_ptr<runtime::Stream> stream_;
  const Framing framing_;
};

}  // namespace mothrack::http
