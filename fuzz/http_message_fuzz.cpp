// Fuzzes the readers of HTTP requests and responses. The first byte says which, the rest is what arrives.
// What a reader takes for a sound message, a strict parser takes for one as well, with the same end; and the
// verdict is the same if it arrives byte by byte. A broken invariant aborts.
#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>

#include "http/request_reader.h"
#include "http/response_reader.h"
#include "support/strict_http.h"

namespace {

using namespace mothrack;

constexpr std::size_t kMaxSize = 4096;

void Require(bool holds) {
  if (!holds) std::abort();
}

// The size of the complete request at the start of `bytes`, or nothing.
std::optional<std::size_t> RequestSize(std::string_view bytes, std::size_t step) {
  http::RequestReader reader;
  reader.BeginNextRequest();
  std::size_t consumed = 0;
  for (std::size_t at = 0; at < bytes.size() && !reader.complete(); at += step) {
    const std::string_view part = bytes.substr(at, step);
    boost::asio::buffer_copy(reader.buffer().prepare(part.size()),
                             boost::asio::buffer(part.data(), part.size()));
    reader.buffer().commit(part.size());
    http::RequestReader::Step progress;
    do {
      progress = reader.Advance();
      if (progress.result == http::RequestReader::Step::Result::kInvalid) return std::nullopt;
      consumed += progress.consumed;
      reader.chunk().clear();
    } while (progress.consumed > 0 && !reader.complete());
  }
  if (!reader.complete()) return std::nullopt;
  return consumed;
}

// The same for a response with a defined end.
std::optional<std::size_t> ResponseSize(std::string_view bytes, std::size_t step) {
  http::ResponseReader reader;
  std::size_t arrived = 0;
  for (std::size_t at = 0; at < bytes.size() && !reader.complete(); at += step) {
    const std::string_view part = bytes.substr(at, step);
    boost::asio::buffer_copy(reader.Prepare(part.size()), boost::asio::buffer(part.data(), part.size()));
    reader.Commit(part.size());
    arrived += part.size();
    auto progress = reader.Advance();
    while (progress == http::ResponseReader::Step::kHead ||
           progress == http::ResponseReader::Step::kBodyFull) {
      reader.body().clear();
      progress = reader.Advance();
    }
    if (progress == http::ResponseReader::Step::kInvalid) return std::nullopt;
  }
  if (!reader.complete() || !reader.has_defined_end()) return std::nullopt;
  return arrived - reader.unparsed_bytes();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 2 || size > kMaxSize) return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  const bool request = data[0] % 2 == 0;
  const auto whole = request ? RequestSize(bytes, bytes.size()) : ResponseSize(bytes, bytes.size());
  const auto in_bytes = request ? RequestSize(bytes, 1) : ResponseSize(bytes, 1);
  // Byte by byte, a message is complete before what is behind it has arrived.
  Require(!whole || whole == in_bytes);
  testing::StrictHttp strict(bytes);
  const auto expected = request ? strict.RequestSize() : strict.ResponseSize();
  Require(!in_bytes || in_bytes == expected);
  return 0;
}
