// What comes from the network, as a message and as a stream of frames: it is read, rewritten both ways and
// read again. Broken invariants abort.
#include <cstdint>
#include <cstdlib>

#include "dns/frames.h"
#include "dns/message.h"
#include "dns/transport.h"

namespace {

using namespace mothrack::dns;

void Require(bool holds) {
  if (!holds) std::abort();
}

void TryMessage(Bytes message) {
  Layout layout;
  const Reading reading = Read(message, layout);
  if (reading == Reading::kNoHeader) return Require(message.size() < kHeaderSize);
  if (reading != Reading::kWhole) return;
  Require(layout.question_end <= message.size() && layout.additional_at <= message.size());
  const Bytes question = Question(message, layout);
  Judge(message, layout);
  Layout again;
  for (const std::uint16_t size : {512, 1232}) {
    const Buffer query = ForResolver(message, layout, size);
    Require(query.size() <= message.size());
    Require(Read(query, again) == Reading::kWhole);
    Require(again.question_end == layout.question_end);
    for (const bool edns : {false, true}) {
      Asked asked{1, layout.flags, edns, true, size};
      const Buffer answer = ForClient(message, layout, asked, size);
      Require(answer.size() <= std::max<std::size_t>(size, kPlainUdp));
      Require(Read(answer, again) == Reading::kWhole && again.id == 1);
      Require(again.truncated() || answer.size() <= asked.most);
      const Buffer own = OwnAnswer(asked, question, kServFail, Explanation{kOtherError, "x"}, size);
      Require(Read(own, again) == Reading::kWhole && again.response());
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const Bytes input(data, size);
  TryMessage(input);
  // The same as a stream, in pieces whose size the first byte tells.
  if (size == 0) return 0;
  const std::size_t piece = 1 + data[0];
  FrameReader frames;
  std::size_t taken = 0;
  for (std::size_t at = 1; at < size; at += piece) {
    frames.Add(input.subspan(at, std::min(piece, size - at)));
    while (const auto message = frames.Next()) {
      taken += 2 + message->size();
      TryMessage(*message);
    }
  }
  Require(taken <= size - 1 && frames.empty() == (taken == size - 1));
  return 0;
}
