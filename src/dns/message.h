// DNS messages as a forwarder sees them: the header, the one question, and where EDNS and a signature are.
// All else is passed on byte for byte. Sources: RFC 1035 section 4 (form, compression), RFC 6891 (EDNS), RFC
// 8914 (extended errors), RFC 2136 (UPDATE: the question is the zone), RFC 8945 (TSIG).
//
// Nothing here trusts a length or an offset of the message: reading ends at the last byte given, a
// compression pointer may lead only backwards, and a name is never longer than 255 octets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace mothrack::dns {

using Bytes = std::span<const std::uint8_t>;
using Buffer = std::vector<std::uint8_t>;

constexpr std::size_t kHeaderSize = 12;          // RFC 1035 section 4.1.1
constexpr std::size_t kMaxMessageSize = 65535;   // the length field over TCP, RFC 1035 section 4.2.2
constexpr std::size_t kMaxUdpWithoutEdns = 512;  // answers over UDP without EDNS, RFC 1035 section 4.2.1

// RFC 1035, 1996, 2136; the numbers are the wire's.
enum Opcode : std::uint8_t { kQuery = 0, kNotify = 4, kUpdate = 5 };
enum Rcode : std::uint16_t {
  kNoError = 0,
  kFormErr = 1,
  kServFail = 2,
  kNxDomain = 3,
  kNotImp = 4,
  kRefused = 5,
  kBadVers = 16,  // RFC 6891 section 9: its upper bits stand in OPT
};
enum Type : std::uint16_t { kOpt = 41, kSig = 24, kTsig = 250, kIxfr = 251, kAxfr = 252 };

// RFC 8914 section 4.
enum ExtendedError : std::uint16_t {
  kOtherError = 0,
  kDnssecIndeterminate = 5,
  kNsecMissing = 12,
  kNotReady = 14,
  kProhibited = 18,
  kNotSupported = 21,
  kNoReachableAuthority = 22,
  kNetworkError = 23,
};

// The header's second word, RFC 1035 section 4.1.1 (AD and CD: RFC 4035).
constexpr std::uint16_t kResponseBit = 0x8000;
constexpr std::uint16_t kTruncatedBit = 0x0200;
constexpr std::uint16_t kRecursionDesiredBit = 0x0100;
constexpr std::uint16_t kRecursionAvailableBit = 0x0080;
constexpr std::uint16_t kCheckingDisabledBit = 0x0010;

// An OPT record, RFC 6891 section 6.1.
struct Edns {
  std::size_t at = 0;   // offset of the record
  std::size_t end = 0;  // behind it
  std::uint16_t payload = 0;
  std::uint8_t upper_rcode = 0;
  std::uint8_t version = 0;
  bool dnssec_ok = false;
};

// What has been read of a message. Offsets count from the message's first byte.
struct Layout {
  std::uint16_t id = 0;
  std::uint16_t flags = 0;
  std::uint16_t questions = 0;
  std::uint16_t answers = 0;
  std::uint16_t authorities = 0;
  std::uint16_t additionals = 0;
  std::size_t question_end = kHeaderSize;  // of the question section, kHeaderSize where there is none
  std::size_t additional_at = kHeaderSize;
  std::uint16_t qtype = 0;
  std::uint16_t qclass = 0;
  std::optional<Edns> edns;
  bool is_signed = false;  // TSIG or SIG(0): its bytes must not change, but for the id (RFC 8945 section 5.5)

  bool response() const { return (flags & kResponseBit) != 0; }
  bool truncated() const { return (flags & kTruncatedBit) != 0; }
  std::uint8_t opcode() const { return (flags >> 11) & 0x0f; }
  std::uint16_t rcode() const {
    return static_cast<std::uint16_t>((flags & 0x0f) | (edns ? edns->upper_rcode << 4 : 0));
  }
};

enum class ParseStatus {
  kOk,
  kNoHeader,   // shorter than a header: nobody can be answered
  kMalformed,  // the header is there (id, flags, counts in the layout), what follows makes no sense
};
// Reads a whole message. Anything behind the last record makes it malformed.
ParseStatus ParseMessage(Bytes message, Layout& layout);

// The question section's bytes.
inline Bytes Question(Bytes message, const Layout& layout) {
  return message.subspan(kHeaderSize, layout.question_end - kHeaderSize);
}

void SetId(std::span<std::uint8_t> message, std::uint16_t id);

// A query as it is sent to a resolver: EDNS is between neighbours (RFC 6891 section 6), so its size becomes
// ours and options that speak of one hop only (cookies, RFC 7873; keep-alive, RFC 7828; padding, RFC 7830)
// go. A signed one stays as it is.
Buffer ToResolverQuery(Bytes query, const Layout& layout, std::uint16_t local_edns_size);

// The properties of a client's query that its response depends on.
struct ClientQuery {
  std::uint16_t id = 0;
  std::uint16_t flags = 0;
  bool edns = false;
  bool dnssec_ok = false;
  std::size_t max_response_size = kMaxUdpWithoutEdns;  // in bytes
};

// A resolver's response as it is sent to the client: the client's id, our EDNS size, and truncated to
// question and OPT where it is larger than the client accepts.
Buffer ToClientResponse(Bytes answer, const Layout& layout, const ClientQuery& client_query,
                        std::uint16_t local_edns_size);

struct ExtendedErrorInfo {
  ExtendedError code = kOtherError;
  std::string_view text;  // for people; at most 200 bytes of it are sent
};
// A response of this program: header, `question` (the section's bytes, may be empty) and, where the client
// speaks EDNS, OPT with the reason.
Buffer MakeResponse(const ClientQuery& client_query, Bytes question, std::uint16_t rcode,
                    const std::optional<ExtendedErrorInfo>& why, std::uint16_t local_edns_size);

// The first extended error of a response, RFC 8914; nothing where it has none.
std::optional<std::uint16_t> FindExtendedError(Bytes answer, const Layout& layout);

}  // namespace mothrack::dns
