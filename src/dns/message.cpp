#include "dns/message.h"

#include <algorithm>

namespace mothrack::dns {
namespace {

constexpr std::size_t kMaxNameSize = 255;      // RFC 1035 section 2.3.4
constexpr std::size_t kRecordHeaderSize = 10;  // type, class, TTL, length
constexpr std::size_t kOptHeaderSize = 1 + kRecordHeaderSize;
constexpr std::size_t kMaxExtraText = 200;
constexpr std::uint16_t kDnssecOkBit = 0x8000;

// EDNS option codes assigned by IANA.
constexpr std::uint16_t kCookie = 10;
constexpr std::uint16_t kTcpKeepalive = 11;
constexpr std::uint16_t kPadding = 12;
constexpr std::uint16_t kExtendedErrorOption = 15;

std::uint16_t ReadUint16(Bytes bytes, std::size_t at) {
  return static_cast<std::uint16_t>(bytes[at] << 8 | bytes[at + 1]);
}

void WriteUint16(std::span<std::uint8_t> bytes, std::size_t at, std::uint16_t value) {
  bytes[at] = static_cast<std::uint8_t>(value >> 8);
  bytes[at + 1] = static_cast<std::uint8_t>(value);
}

void AppendUint16(Buffer& buffer, std::uint16_t value) {
  buffer.push_back(static_cast<std::uint8_t>(value >> 8));
  buffer.push_back(static_cast<std::uint8_t>(value));
}

// Returns the offset after the name at `at`, or nothing if the name is malformed. Each compression pointer
// must point before the part that it ends, so the loop terminates, and the sum of the label lengths is
// bounded.
std::optional<std::size_t> SkipName(Bytes message, std::size_t at) {
  std::optional<std::size_t> end;  // known once a pointer was followed
  std::size_t part = at;
  std::size_t length = 1;  // the root label
  while (at < message.size()) {
    const std::uint8_t size = message[at];
    if (size == 0) return end ? end : at + 1;
    if (size < 0x40) {
      length += 1 + size;
      if (length > kMaxNameSize) return std::nullopt;
      at += 1 + size;
      continue;
    }
    // RFC 6891 section 5: no other label types.
    if (size < 0xc0 || at + 1 >= message.size()) return std::nullopt;
    const std::size_t target = ReadUint16(message, at) & 0x3fff;
    if (target >= part || target < kHeaderSize) return std::nullopt;
    if (!end) end = at + 2;
    at = part = target;
  }
  return std::nullopt;
}

// A cursor over the records of a section.
class Records {
 public:
  Records(Bytes message, Layout& layout, std::size_t at) : message_(message), layout_(layout), offset_(at) {}

  bool Skip(std::uint16_t count, bool additional) {
    for (; count > 0; --count) {
      if (layout_.is_signed) return false;  // a signature must be the last record, RFC 8945 section 5.1
      const auto name_end = SkipName(message_, offset_);
      if (!name_end || message_.size() - *name_end < kRecordHeaderSize) return false;
      const std::uint16_t type = ReadUint16(message_, *name_end);
      const std::size_t data = *name_end + kRecordHeaderSize;
      const std::size_t size = ReadUint16(message_, *name_end + 8);
      if (message_.size() - data < size) return false;
      const std::size_t end = data + size;
      if (type == kOpt && !(additional && ReadOpt(*name_end, end))) return false;
      if (additional && (type == kTsig || (type == kSig && size >= 2 && ReadUint16(message_, data) == 0))) {
        layout_.is_signed = true;
      }
      offset_ = end;
    }
    return true;
  }

  std::size_t at() const { return offset_; }

 private:
  bool ReadOpt(std::size_t type_at, std::size_t end) {
    if (layout_.edns || type_at != offset_ + 1) return false;  // at most one OPT, and its name is the root
    Edns edns;
    edns.at = offset_;
    edns.end = end;
    edns.payload = ReadUint16(message_, type_at + 2);
    edns.upper_rcode = message_[type_at + 4];
    edns.version = message_[type_at + 5];
    edns.dnssec_ok = (ReadUint16(message_, type_at + 6) & kDnssecOkBit) != 0;
    std::size_t option = type_at + kRecordHeaderSize;
    while (option < end) {
      if (end - option < 4 || end - option - 4 < ReadUint16(message_, option + 2)) return false;
      option += 4 + ReadUint16(message_, option + 2);
    }
    layout_.edns = edns;
    return true;
  }

  const Bytes message_;
  Layout& layout_;
  std::size_t offset_;
};

// Calls `callback(code, whole option)` for each option of the OPT record, whose format ParseMessage() has
// checked.
template <typename Callback>
void ForEachOption(Bytes message, const Edns& edns, Callback callback) {
  for (std::size_t at = edns.at + kOptHeaderSize; at < edns.end;) {
    const std::size_t size = 4 + ReadUint16(message, at + 2);
    callback(ReadUint16(message, at), message.subspan(at, size));
    at += size;
  }
}

// Returns the message with our EDNS parameters. Options can be removed only if OPT is the last record:
// otherwise later records would move, and compression pointers refer to their offsets.
Buffer WithLocalEdns(Bytes message, const Layout& layout, std::uint16_t local_edns_size) {
  Buffer out;
  const Edns& edns = *layout.edns;
  if (edns.end != message.size()) {
    out.assign(message.begin(), message.end());
    WriteUint16(out, edns.at + 3, local_edns_size);
    return out;
  }
  out.reserve(message.size());
  out.assign(message.begin(), message.begin() + static_cast<std::ptrdiff_t>(edns.at + kOptHeaderSize));
  WriteUint16(out, edns.at + 3, local_edns_size);
  ForEachOption(message, edns, [&out](std::uint16_t code, Bytes option) {
    if (code == kCookie || code == kTcpKeepalive || code == kPadding) return;
    out.insert(out.end(), option.begin(), option.end());
  });
  WriteUint16(out, edns.at + 9, static_cast<std::uint16_t>(out.size() - edns.at - kOptHeaderSize));
  return out;
}

void AppendOpt(Buffer& out, std::uint16_t local_edns_size, std::uint8_t upper_rcode, bool dnssec_ok) {
  out.push_back(0);
  AppendUint16(out, kOpt);
  AppendUint16(out, local_edns_size);
  out.push_back(upper_rcode);
  out.push_back(0);
  AppendUint16(out, dnssec_ok ? kDnssecOkBit : 0);
  AppendUint16(out, 0);
}

Buffer MakeHeader(std::uint16_t id, std::uint16_t flags, Bytes question, bool edns) {
  Buffer out;
  out.reserve(kHeaderSize + question.size() + kOptHeaderSize + 4 + kMaxExtraText);
  AppendUint16(out, id);
  AppendUint16(out, flags);
  AppendUint16(out, question.empty() ? 0 : 1);
  AppendUint16(out, 0);
  AppendUint16(out, 0);
  AppendUint16(out, edns ? 1 : 0);
  out.insert(out.end(), question.begin(), question.end());
  return out;
}

Buffer TruncatedResponse(Bytes answer, const Layout& layout, const ClientQuery& client_query,
                         std::uint16_t local_edns_size) {
  Buffer out =
      MakeHeader(client_query.id, layout.flags | kTruncatedBit, Question(answer, layout), client_query.edns);
  if (client_query.edns)
    AppendOpt(out, local_edns_size, layout.edns ? layout.edns->upper_rcode : 0, client_query.dnssec_ok);
  return out;
}

}  // namespace

ParseStatus ParseMessage(Bytes message, Layout& layout) {
  if (message.size() < kHeaderSize) return ParseStatus::kNoHeader;
  layout = Layout{};
  layout.id = ReadUint16(message, 0);
  layout.flags = ReadUint16(message, 2);
  layout.questions = ReadUint16(message, 4);
  layout.answers = ReadUint16(message, 6);
  layout.authorities = ReadUint16(message, 8);
  layout.additionals = ReadUint16(message, 10);
  // More than one question was never defined (RFC 9619). A message without a question may be a response that
  // consists of its header only.
  if (layout.questions > 1 || message.size() > kMaxMessageSize) return ParseStatus::kMalformed;
  if (layout.questions == 1) {
    const auto end = SkipName(message, kHeaderSize);
    if (!end || message.size() - *end < 4) return ParseStatus::kMalformed;
    layout.qtype = ReadUint16(message, *end);
    layout.qclass = ReadUint16(message, *end + 2);
    layout.question_end = *end + 4;
  }
  Records records(message, layout, layout.question_end);
  if (!records.Skip(layout.answers, false) || !records.Skip(layout.authorities, false)) {
    return ParseStatus::kMalformed;
  }
  layout.additional_at = records.at();
  if (!records.Skip(layout.additionals, true)) return ParseStatus::kMalformed;
  return records.at() == message.size() ? ParseStatus::kOk : ParseStatus::kMalformed;
}

void SetId(std::span<std::uint8_t> message, std::uint16_t id) { WriteUint16(message, 0, id); }

Buffer ToResolverQuery(Bytes query, const Layout& layout, std::uint16_t local_edns_size) {
  if (!layout.edns || layout.is_signed) return {query.begin(), query.end()};
  return WithLocalEdns(query, layout, local_edns_size);
}

Buffer ToClientResponse(Bytes answer, const Layout& layout, const ClientQuery& client_query,
                        std::uint16_t local_edns_size) {
  Buffer out;
  if (layout.is_signed || !layout.edns) {
    out.assign(answer.begin(), answer.end());
  } else if (!client_query.edns && layout.edns->end == answer.size()) {
    // RFC 6891 section 7: no OPT in a response to a query without OPT.
    out.assign(answer.begin(), answer.begin() + static_cast<std::ptrdiff_t>(layout.edns->at));
    WriteUint16(out, 10, layout.additionals - 1);
  } else {
    out = WithLocalEdns(answer, layout, local_edns_size);
  }
  if (out.size() > client_query.max_response_size)
    return TruncatedResponse(answer, layout, client_query, local_edns_size);
  SetId(out, client_query.id);
  return out;
}

Buffer MakeResponse(const ClientQuery& client_query, Bytes question, std::uint16_t rcode,
                    const std::optional<ExtendedErrorInfo>& why, std::uint16_t local_edns_size) {
  constexpr std::uint16_t kEchoedBits =
      0x7800 | kRecursionDesiredBit | kCheckingDisabledBit;  // 0x7800 is the opcode
  const auto flags = static_cast<std::uint16_t>(kResponseBit | (client_query.flags & kEchoedBits) |
                                                kRecursionAvailableBit | (rcode & 0x0f));
  Buffer out = MakeHeader(client_query.id, flags, question, client_query.edns);
  if (!client_query.edns) return out;
  const std::size_t opt = out.size();
  AppendOpt(out, local_edns_size, static_cast<std::uint8_t>(rcode >> 4), client_query.dnssec_ok);
  if (why) {
    const std::string_view text = why->text.substr(0, kMaxExtraText);
    AppendUint16(out, kExtendedErrorOption);
    AppendUint16(out, static_cast<std::uint16_t>(2 + text.size()));
    AppendUint16(out, why->code);
    out.insert(out.end(), text.begin(), text.end());
    WriteUint16(out, opt + 9, static_cast<std::uint16_t>(out.size() - opt - kOptHeaderSize));
  }
  return out;
}

std::optional<std::uint16_t> FindExtendedError(Bytes answer, const Layout& layout) {
  std::optional<std::uint16_t> found;
  if (!layout.edns) return found;
  ForEachOption(answer, *layout.edns, [&found](std::uint16_t code, Bytes option) {
    if (code == kExtendedErrorOption && option.size() >= 6 && !found) found = ReadUint16(option, 4);
  });
  return found;
}

}  // namespace mothrack::dns
