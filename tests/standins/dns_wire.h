// Writes and reads DNS messages for test peers, on purpose without the program's own code, so that a fault in
// that code does not go unnoticed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mothrack::testing {

using Octets = std::vector<std::uint8_t>;

constexpr std::uint16_t kTypeA = 1;
constexpr std::uint16_t kTypeSoa = 6;

struct QuerySpec {
  std::string name = "www.example.org";
  std::uint16_t id = 0x1234;
  std::uint16_t type = kTypeA;
  std::uint8_t opcode = 0;
  int edns_size = -1;  // below 0: no OPT record
  std::uint8_t edns_version = 0;
  Octets edns_options{};
  Octets update{};  // the one record of an UPDATE's update section, in wire format
};
Octets MakeQuery(const QuerySpec& spec);
// Makes an UPDATE that adds an A record with the name `record` to the zone.
Octets MakeUpdate(const std::string& zone, std::uint16_t id, const std::string& record);

struct AnswerSpec {
  int rcode = 0;
  bool truncated = false;
  int records = 1;          // A records
  int extended_error = -1;  // code of the extended error; below 0: none
  int edns_size = -1;       // below 0: an OPT record only if an extended error needs one
};
// Makes an answer to `query`, with the question copied byte for byte.
Octets MakeAnswer(const Octets& query, const AnswerSpec& spec = {});

std::uint16_t IdOf(const Octets& message);
void SetId(Octets& message, std::uint16_t id);
int RcodeOf(const Octets& message);  // the header's four bits
bool IsTruncated(const Octets& message);
int AnswersOf(const Octets& message);
std::string NameOf(const Octets& message);  // of the first question, in its original case
Octets QuestionOf(const Octets& message);
// The code of the first extended error, below 0 if there is none. The message's records must be those that
// MakeAnswer and the program's own answers have.
int ExtendedErrorOf(const Octets& message);
int EdnsSizeOf(const Octets& message);  // below 0: there is no OPT record

}  // namespace mothrack::testing
