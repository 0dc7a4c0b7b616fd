#include "bench_protocols.h"

#include <sys/socket.h>

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "http_standin.h"
#include "standins/dns_wire.h"

namespace mothrack::bench {
namespace {

constexpr std::string_view kEndOfHeaders = "\r\n\r\n";

constexpr std::size_t kFrameLengthSize = 2;  // bytes of the length before each DNS message over TCP
// The offset of the number in a DNS message: after the header, the length of the label and the letter 'n'.
constexpr std::size_t kNumberOffset = 12 + 2;
constexpr std::size_t kNumberDigits = 8;

int ReadNumber(const std::string& buffer, std::size_t offset) {
  return std::atoi(buffer.substr(offset, kNumberDigits).c_str());
}

std::vector<int> RemoveDatagram(std::string& buffer, int) {
  const int number = ReadNumber(buffer, kNumberOffset);
  buffer.clear();
  return {number};
}

std::vector<int> RemoveFrames(std::string& buffer, int) {
  std::vector<int> numbers;
  while (buffer.size() >= kFrameLengthSize) {
    const auto size = static_cast<std::size_t>(static_cast<unsigned char>(buffer[0]) << 8 |
                                               static_cast<unsigned char>(buffer[1]));
    if (buffer.size() < kFrameLengthSize + size) break;
    numbers.push_back(ReadNumber(buffer, kFrameLengthSize + kNumberOffset));
    buffer.erase(0, kFrameLengthSize + size);
  }
  return numbers;
}

}  // namespace

Protocol HttpProtocol(int run) {
  const auto number_of_lane = std::make_shared<std::map<int, int>>();  // the request in flight
  Protocol protocol;
  protocol.socket_type = SOCK_STREAM;
  protocol.make_request = [number_of_lane, run](int number, int lane) {
    (*number_of_lane)[lane] = number;
    return "GET /page/k HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: b" + std::to_string(run) + "-" +
           std::to_string(number) + "\r\nX-Timeout-Ms: 5000\r\n\r\n";
  };
  protocol.remove_answers = [number_of_lane](std::string& buffer, int lane) -> std::vector<int> {
    const auto end = buffer.find(kEndOfHeaders);
    if (end == std::string::npos || buffer.size() < end + kEndOfHeaders.size() + HttpStandin::kBodySize) {
      return {};
    }
    buffer.clear();
    return {number_of_lane->at(lane)};
  };
  return protocol;
}

Protocol DnsProtocol(bool tcp) {
  Protocol protocol;
  protocol.socket_type = tcp ? SOCK_STREAM : SOCK_DGRAM;
  protocol.make_request = [tcp](int number, int) { return DnsQuery(number, tcp); };
  protocol.remove_answers = tcp ? RemoveFrames : RemoveDatagram;
  return protocol;
}

std::string DnsQuery(int number, bool framed) {
  testing::QuerySpec spec;
  char name[32];
  std::snprintf(name, sizeof name, "n%08d.example.org", number);
  spec.name = name;
  spec.id = static_cast<std::uint16_t>(number);
  const testing::Octets query = testing::MakeQuery(spec);
  std::string text;
  if (framed) text += {static_cast<char>(query.size() >> 8), static_cast<char>(query.size())};
  text.append(query.begin(), query.end());
  return text;
}

}  // namespace mothrack::bench
