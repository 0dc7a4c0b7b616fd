// DNS messages as a forwarder needs them: the header, the single question, and the positions of EDNS and a
// signature. Everything else is forwarded byte for byte. Sources: RFC 1035 section 4 (format, compression),
// RFC 6891 (EDNS), RFC 8914 (extended errors), RFC 2136 (UPDATE: the question is the zone), RFC 8945 (TSIG).
//
// No length or offset in a message is trusted: the parser never reads past the given bytes, a compression
// pointer may only point backwards, and a name has at most 255 octets. Pure functions; errors are returned as
// ParseStatus.
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
constexpr std::size_t kMaxUdpWithoutEdns = 512;  // responses over UDP without EDNS, RFC 1035 section 4.2.1

// Values as on the wire: RFC 1035, 1996, 2136.
enum Opcode : std::uint8_t { kQuery = 0, kNotify = 4, kUpdate = 5 };
enum Rcode : std::uint16_t {
  kNoError = 0,
  kFormErr = 1,
  kServFail = 2,
  kNxDomain = 3,
  kNotImp = 4,
  kRefused = 5,
  kBadVers = 16,  // RFC 6891 section 9: the upper bits are in OPT
};
enum Type : std::uint16_t { kOpt = 41, kSig = 24, kTsig = 250, kIxfr = 251, kAxfr = 252 };

// Extended error codes, RFC 8914 section 4.
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

// Bits of the flags, the second 16-bit word of the header: RFC 1035 section 4.1.1 (AD and CD: RFC 4035).
constexpr std::uint16_t kResponseBit = 0x8000;
constexpr std::uint16_t kTruncatedBit = 0x0200;
constexpr std::uint16_t kRecursionDesiredBit = 0x0100;
constexpr std::uint16_t kRecursionAvailableBit = 0x0080;
constexpr std::uint16_t kCheckingDisabledBit = 0x0010;

// An OPT record, RFC 6891 section 6.1. Offsets count from the first byte of the message.
struct Edns {
  std::size_t at = 0;   // offset of the record
  std::size_t end = 0;  // offset of the first byte after it
  std::uint16_t payload = 0;
  std::uint8_t upper_rcode = 0;
  std::uint8_t version = 0;
  bool dnssec_ok = false;
};

// The parsed parts of a message. Offsets count from the first byte of the message.
struct Layout {
  std::uint16_t id = 0;
  std::uint16_t flags = 0;
  std::uint16_t questions = 0;
  std::uint16_t answers = 0;
  std::uint16_t authorities = 0;
  std::uint16_t additionals = 0;
  std::size_t question_end = kHeaderSize;  // end of the question section; kHeaderSize if it is empty
  std::size_t additional_at = kHeaderSize;
  std::uint16_t qtype = 0;
  std::uint16_t qclass = 0;
  std::optional<Edns> edns;
  bool is_signed = false;  // TSIG or SIG(0): no byte but the id may change (RFC 8945 section 5.5)

  bool response() const { return (flags & kResponseBit) != 0; }
  bool truncated() const { return (flags & kTruncatedBit) != 0; }
  std::uint8_t opcode() const { return (flags >> 11) & 0x0f; }
  std::uint16_t rcode() const {
    return static_cast<std::uint16_t>((flags & 0x0f) | (edns ? edns->upper_rcode << 4 : 0));
  }
};

// Result of ParseMessage().
enum class ParseStatus {
  kOk,
  kNoHeader,   // shorter than a header: no response is possible
  kMalformed,  // the header is valid (id, flags and counts are in the layout), the rest is not
};
// Parses a whole message. Bytes after the last record make it malformed.
ParseStatus ParseMessage(Bytes message, Layout& layout);

// The bytes of the question section.
inline Bytes Question(Bytes message, const Layout& layout) {
  return message.subspan(kHeaderSize, layout.question_end - kHeaderSize);
}

// Overwrites the message id.
void SetId(std::span<std::uint8_t> message, std::uint16_t id);

// Rewrites a client's query for a resolver. EDNS is hop-by-hop (RFC 6891 section 6), so the payload size is
// replaced by ours, and options that concern one hop only are removed (cookies, RFC 7873; keepalive, RFC
// 7828; padding, RFC 7830). A signed query is not changed.
Buffer ToResolverQuery(Bytes query, const Layout& layout, std::uint16_t local_edns_size);

// The properties of a client's query on which its response depends.
struct ClientQuery {
  std::uint16_t id = 0;
  std::uint16_t flags = 0;
  bool edns = false;
  bool dnssec_ok = false;
  std::size_t max_response_size = kMaxUdpWithoutEdns;  // in bytes
};

// Rewrites a resolver's response for the client: sets the client's id and our EDNS size. If the response is
// larger than the client accepts, it is truncated to question and OPT.
Buffer ToClientResponse(Bytes answer, const Layout& layout, const ClientQuery& client_query,
                        std::uint16_t local_edns_size);

// An extended error to send, RFC 8914.
struct ExtendedErrorInfo {
  ExtendedError code = kOtherError;
  std::string_view text;  // human-readable; at most 200 bytes of it are sent
};
// Builds a response that this program generates itself: header, `question` (the bytes of the section, may be
// empty) and, if the client uses EDNS, OPT with the extended error.
Buffer MakeResponse(const ClientQuery& client_query, Bytes question, std::uint16_t rcode,
                    const std::optional<ExtendedErrorInfo>& why, std::uint16_t local_edns_size);

// The first extended error of a response (RFC 8914); nothing if it has none.
std::optional<std::uint16_t> FindExtendedError(Bytes answer, const Layout& layout);

}  // namespace mothrack::dns
