// DNS messages as test peers write and read them: on purpose not by the program's own code.
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
  int edns_size = -1;  // below 0: no OPT
  std::uint8_t edns_version = 0;
  Octets edns_options{};
  Octets update{};  // records of an UPDATE's update section: one, as it is
};
Octets MakeQuery(const QuerySpec& spec);
Octets MakeUpdate(const std::string& zone, std::uint16_t id, const std::string& record);

struct AnswerSpec {
  int rcode = 0;
  bool truncated = false;
  int records = 1;  // A records
  int extended_error = -1;
  int edns_size = -1;  // below 0: OPT only where an extended error needs one
};
// An answer to `query`, its question repeated to the letter.
Octets MakeAnswer(const Octets& query, const AnswerSpec& spec = {});

std::uint16_t IdOf(const Octets& message);
void SetId(Octets& message, std::uint16_t id);
int RcodeOf(const Octets& message);  // the header's four bits
bool IsTruncated(const Octets& message);
int AnswersOf(const Octets& message);
std::string NameOf(const Octets& message);  // of the first question, as it is written
Octets QuestionOf(const Octets& message);
// The code of the first extended error, below 0 where there is none. The message's records must be those that
// MakeAnswer and the program's own answers have.
int ExtendedErrorOf(const Octets& message);
int EdnsSizeOf(const Octets& message);  // below 0: no OPT

}  // namespace mothrack::testing
