#include "dns/message.h"

#include <algorithm>

namespace mothrack::dns {
namespace {

constexpr std::size_t kMostName = 255;   // RFC 1035 section 2.3.4
constexpr std::size_t kRecordHead = 10;  // type, class, TTL, length
constexpr std::size_t kOptHead = 1 + kRecordHead;
constexpr std::size_t kMostExplanation = 200;
constexpr std::uint16_t kDnssecOkBit = 0x8000;

// EDNS options, by their IANA numbers.
constexpr std::uint16_t kCookie = 10;
constexpr std::uint16_t kTcpKeepalive = 11;
constexpr std::uint16_t kPadding = 12;
constexpr std::uint16_t kExtendedErrorOption = 15;

std::uint16_t Word(Bytes bytes, std::size_t at) {
  return static_cast<std::uint16_t>(bytes[at] << 8 | bytes[at + 1]);
}

void PutWord(std::span<std::uint8_t> bytes, std::size_t at, std::uint16_t value) {
  bytes[at] = static_cast<std::uint8_t>(value >> 8);
  bytes[at + 1] = static_cast<std::uint8_t>(value);
}

void AddWord(Buffer& buffer, std::uint16_t value) {
  buffer.push_back(static_cast<std::uint8_t>(value >> 8));
  buffer.push_back(static_cast<std::uint8_t>(value));
}

// Behind the name at `at`; nothing where it is none. Each pointer must lead to before the part that it ends,
// so the walk ends, and the labels' lengths add up to a name's at most.
std::optional<std::size_t> SkipName(Bytes message, std::size_t at) {
  std::optional<std::size_t> end;  // known once a pointer was followed
  std::size_t part = at;
  std::size_t length = 1;  // the root label
  while (at < message.size()) {
    const std::uint8_t size = message[at];
    if (size == 0) return end ? end : at + 1;
    if (size < 0x40) {
      length += 1 + size;
      if (length > kMostName) return std::nullopt;
      at += 1 + size;
      continue;
    }
    if (size < 0xc0 || at + 1 >= message.size()) return std::nullopt;  // RFC 6891 section 5: no other kinds
    const std::size_t target = Word(message, at) & 0x3fff;
    if (target >= part || target < kHeaderSize) return std::nullopt;
    if (!end) end = at + 2;
    at = part = target;
  }
  return std::nullopt;
}

// The cursor over the records of one section.
class Records {
 public:
  Records(Bytes message, Layout& layout, std::size_t at) : message_(message), layout_(layout), at_(at) {}

  bool Skip(std::uint16_t count, bool additional) {
    for (; count > 0; --count) {
      if (layout_.is_signed) return false;  // a signature is the last record, RFC 8945 section 5.1
      const auto name_end = SkipName(message_, at_);
      if (!name_end || message_.size() - *name_end < kRecordHead) return false;
      const std::uint16_t type = Word(message_, *name_end);
      const std::size_t data = *name_end + kRecordHead;
      const std::size_t size = Word(message_, *name_end + 8);
      if (message_.size() - data < size) return false;
      const std::size_t end = data + size;
      if (type == kOpt && !(additional && TakeOpt(*name_end, end))) return false;
      if (additional && (type == kTsig || (type == kSig && size >= 2 && Word(message_, data) == 0))) {
        layout_.is_signed = true;
      }
      at_ = end;
    }
    return true;
  }

  std::size_t at() const { return at_; }

 private:
  bool TakeOpt(std::size_t type_at, std::size_t end) {
    if (layout_.edns || type_at != at_ + 1) return false;  // the only one, and of the root
    Edns edns;
    edns.at = at_;
    edns.end = end;
    edns.payload = Word(message_, type_at + 2);
    edns.upper_rcode = message_[type_at + 4];
    edns.version = message_[type_at + 5];
    edns.dnssec_ok = (Word(message_, type_at + 6) & kDnssecOkBit) != 0;
    std::size_t option = type_at + kRecordHead;
    while (option < end) {
      if (end - option < 4 || end - option - 4 < Word(message_, option + 2)) return false;
      option += 4 + Word(message_, option + 2);
    }
    layout_.edns = edns;
    return true;
  }

  const Bytes message_;
  Layout& layout_;
  std::size_t at_;
};

// Calls `visit(code, whole option)` for each option of the OPT record, whose form Read() has checked.
template <typename Visit>
void EachOption(Bytes message, const Edns& edns, Visit visit) {
  for (std::size_t at = edns.at + kOptHead; at < edns.end;) {
    const std::size_t size = 4 + Word(message, at + 2);
    visit(Word(message, at), message.subspan(at, size));
    at += size;
  }
}

// The message with its EDNS made ours. Options can go only from a record at the end: what stands behind it
// would move, and pointers lead there.
Buffer WithOurEdns(Bytes message, const Layout& layout, std::uint16_t our_size) {
  Buffer out;
  const Edns& edns = *layout.edns;
  if (edns.end != message.size()) {
    out.assign(message.begin(), message.end());
    PutWord(out, edns.at + 3, our_size);
    return out;
  }
  out.reserve(message.size());
  out.assign(message.begin(), message.begin() + static_cast<std::ptrdiff_t>(edns.at + kOptHead));
  PutWord(out, edns.at + 3, our_size);
  EachOption(message, edns, [&out](std::uint16_t code, Bytes option) {
    if (code == kCookie || code == kTcpKeepalive || code == kPadding) return;
    out.insert(out.end(), option.begin(), option.end());
  });
  PutWord(out, edns.at + 9, static_cast<std::uint16_t>(out.size() - edns.at - kOptHead));
  return out;
}

void AddOpt(Buffer& out, std::uint16_t our_size, std::uint8_t upper_rcode, bool dnssec_ok) {
  out.push_back(0);
  AddWord(out, kOpt);
  AddWord(out, our_size);
  out.push_back(upper_rcode);
  out.push_back(0);
  AddWord(out, dnssec_ok ? kDnssecOkBit : 0);
  AddWord(out, 0);
}

Buffer Head(std::uint16_t id, std::uint16_t flags, Bytes question, bool edns) {
  Buffer out;
  out.reserve(kHeaderSize + question.size() + kOptHead + 4 + kMostExplanation);
  AddWord(out, id);
  AddWord(out, flags);
  AddWord(out, question.empty() ? 0 : 1);
  AddWord(out, 0);
  AddWord(out, 0);
  AddWord(out, edns ? 1 : 0);
  out.insert(out.end(), question.begin(), question.end());
  return out;
}

Buffer Truncated(Bytes answer, const Layout& layout, const Asked& asked, std::uint16_t our_size) {
  Buffer out = Head(asked.id, layout.flags | kTruncatedBit, Question(answer, layout), asked.edns);
  if (asked.edns) AddOpt(out, our_size, layout.edns ? layout.edns->upper_rcode : 0, asked.dnssec_ok);
  return out;
}

}  // namespace

Reading Read(Bytes message, Layout& layout) {
  if (message.size() < kHeaderSize) return Reading::kNoHeader;
  layout = Layout{};
  layout.id = Word(message, 0);
  layout.flags = Word(message, 2);
  layout.questions = Word(message, 4);
  layout.answers = Word(message, 6);
  layout.authorities = Word(message, 8);
  layout.additionals = Word(message, 10);
  // More than one question was never defined (RFC 9619); none is an answer of its header alone.
  if (layout.questions > 1 || message.size() > kMostMessage) return Reading::kMalformed;
  if (layout.questions == 1) {
    const auto end = SkipName(message, kHeaderSize);
    if (!end || message.size() - *end < 4) return Reading::kMalformed;
    layout.qtype = Word(message, *end);
    layout.qclass = Word(message, *end + 2);
    layout.question_end = *end + 4;
  }
  Records records(message, layout, layout.question_end);
  if (!records.Skip(layout.answers, false) || !records.Skip(layout.authorities, false)) {
    return Reading::kMalformed;
  }
  layout.additional_at = records.at();
  if (!records.Skip(layout.additionals, true)) return Reading::kMalformed;
  return records.at() == message.size() ? Reading::kWhole : Reading::kMalformed;
}

void SetId(std::span<std::uint8_t> message, std::uint16_t id) { PutWord(message, 0, id); }

Buffer ForResolver(Bytes query, const Layout& layout, std::uint16_t our_size) {
  if (!layout.edns || layout.is_signed) return Buffer(query.begin(), query.end());
  return WithOurEdns(query, layout, our_size);
}

Buffer ForClient(Bytes answer, const Layout& layout, const Asked& asked, std::uint16_t our_size) {
  Buffer out;
  if (layout.is_signed || !layout.edns) {
    out.assign(answer.begin(), answer.end());
  } else if (!asked.edns && layout.edns->end == answer.size()) {
    // RFC 6891 section 7: no OPT for whoever sent none.
    out.assign(answer.begin(), answer.begin() + static_cast<std::ptrdiff_t>(layout.edns->at));
    PutWord(out, 10, layout.additionals - 1);
  } else {
    out = WithOurEdns(answer, layout, our_size);
  }
  if (out.size() > asked.most) return Truncated(answer, layout, asked, our_size);
  SetId(out, asked.id);
  return out;
}

Buffer OwnAnswer(const Asked& asked, Bytes question, std::uint16_t rcode,
                 const std::optional<Explanation>& why, std::uint16_t our_size) {
  constexpr std::uint16_t kKept = 0x7800 | kRecursionDesiredBit | kCheckingDisabledBit;  // with the opcode
  const auto flags = static_cast<std::uint16_t>(kResponseBit | (asked.flags & kKept) |
                                                kRecursionAvailableBit | (rcode & 0x0f));
  Buffer out = Head(asked.id, flags, question, asked.edns);
  if (!asked.edns) return out;
  const std::size_t opt = out.size();
  AddOpt(out, our_size, static_cast<std::uint8_t>(rcode >> 4), asked.dnssec_ok);
  if (why) {
    const std::string_view text = why->text.substr(0, kMostExplanation);
    AddWord(out, kExtendedErrorOption);
    AddWord(out, static_cast<std::uint16_t>(2 + text.size()));
    AddWord(out, why->code);
    out.insert(out.end(), text.begin(), text.end());
    PutWord(out, opt + 9, static_cast<std::uint16_t>(out.size() - opt - kOptHead));
  }
  return out;
}

std::optional<std::uint16_t> ExtendedErrorOf(Bytes answer, const Layout& layout) {
  std::optional<std::uint16_t> found;
  if (!layout.edns) return found;
  EachOption(answer, *layout.edns, [&found](std::uint16_t code, Bytes option) {
    if (code == kExtendedErrorOption && option.size() >= 6 && !found) found = Word(option, 4);
  });
  return found;
}

}  // namespace mothrack::dns
