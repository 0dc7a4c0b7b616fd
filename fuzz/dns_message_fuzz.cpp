// Fuzzes the DNS parsers with input from the network, as one message and as a stream of frames. The input is
// parsed, rewritten as a query and as a response, and parsed again. A broken invariant aborts.
#include <cstdint>
#include <cstdlib>

#include "dns/frames.h"
#include "dns/message.h"
#include "dns/response_outcome.h"

namespace {

using namespace mothrack::dns;

void Require(bool holds) {
  if (!holds) std::abort();
}

void CheckMessage(Bytes message) {
  Layout layout;
  const ParseStatus status = ParseMessage(message, layout);
  if (status == ParseStatus::kNoHeader) return Require(message.size() < kHeaderSize);
  if (status != ParseStatus::kOk) return;
  Require(layout.question_end <= message.size() && layout.additional_at <= message.size());
  const Bytes question = Question(message, layout);
  OutcomeOf(message, layout);
  Layout rewritten;
  for (const std::uint16_t size : {512, 1232}) {
    const Buffer query = ToResolverQuery(message, layout, size);
    Require(query.size() <= message.size());
    Require(ParseMessage(query, rewritten) == ParseStatus::kOk);
    Require(rewritten.question_end == layout.question_end);
    for (const bool edns : {false, true}) {
      ClientQuery client_query{1, layout.flags, edns, true, size};
      const Buffer answer = ToClientResponse(message, layout, client_query, size);
      Require(answer.size() <= std::max<std::size_t>(size, kMaxUdpWithoutEdns));
      Require(ParseMessage(answer, rewritten) == ParseStatus::kOk && rewritten.id == 1);
      Require(rewritten.truncated() || answer.size() <= client_query.max_response_size);
      const Buffer response =
          MakeResponse(client_query, question, kServFail, ExtendedErrorInfo{kOtherError, "x"}, size);
      Require(ParseMessage(response, rewritten) == ParseStatus::kOk && rewritten.response());
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const Bytes input(data, size);
  CheckMessage(input);
  // Parses the same input as a stream that arrives in pieces. The first byte sets the size of a piece.
  if (size == 0) return 0;
  const std::size_t piece_size = 1 + data[0];
  FrameReader frames;
  std::size_t consumed = 0;
  for (std::size_t at = 1; at < size; at += piece_size) {
    frames.Append(input.subspan(at, std::min(piece_size, size - at)));
    while (const auto message = frames.Next()) {
      consumed += 2 + message->size();
      CheckMessage(*message);
    }
  }
  Require(consumed <= size - 1 && frames.empty() == (consumed == size - 1));
  return 0;
}
