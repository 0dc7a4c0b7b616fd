#include "dns/attempt.h"

#include <algorithm>

namespace mothrack::dns {

Attempt* MatchResponse(const OpenAttempts& open, Bytes message, Layout& layout, Counters& counters) {
  const auto unmatched = [&counters] {
    ++counters.unmatched;
    return nullptr;
  };
  if (message.size() < kHeaderSize) return unmatched();
  const auto id = static_cast<std::uint16_t>(message[0] << 8 | message[1]);
  Attempt* attempt = open.Find(id);
  if (attempt == nullptr) return unmatched();
  const Query& query = *attempt->query;
  const Bytes client_query = Bytes(query.wire).subspan(kHeaderSize, query.question_end - kHeaderSize);
  const ParseStatus reading = ParseMessage(message, layout);
  if (!layout.response() || layout.opcode() != query.opcode) return unmatched();
  // Only the response to an UPDATE may omit the question (RFC 2136 section 3.8). Names are compared
  // case-sensitively (0x20 encoding), because the question is forwarded as the client wrote it.
  const bool bare = layout.questions == 0 && query.opcode == kUpdate;
  if (!bare) {
    if (layout.questions != 1 || layout.question_end - kHeaderSize != client_query.size()) return unmatched();
    if (!std::equal(client_query.begin(), client_query.end(), message.begin() + kHeaderSize))
      return unmatched();
  }
  if (reading != ParseStatus::kOk) {
    ++counters.garbled;
    return nullptr;
  }
  return attempt;
}

}  // namespace mothrack::dns
