#include "standins/dns_wire.h"

#include <cstddef>
#include <stdexcept>

namespace mothrack::testing {
namespace {

constexpr std::uint16_t kTypeOpt = 41;
constexpr std::uint16_t kOptionExtendedError = 15;
constexpr std::uint8_t kOpcodeUpdate = 5;

void Put(Octets& out, std::uint16_t value) {
  out.push_back(static_cast<std::uint8_t>(value >> 8));
  out.push_back(static_cast<std::uint8_t>(value));
}

std::uint16_t Get(const Octets& message, std::size_t at) {
  return static_cast<std::uint16_t>(message.at(at) << 8 | message.at(at + 1));
}

void PutName(Octets& out, const std::string& name) {
  std::size_t at = 0;
  while (at < name.size()) {
    std::size_t dot = name.find('.', at);
    if (dot == std::string::npos) dot = name.size();
    out.push_back(static_cast<std::uint8_t>(dot - at));
    out.insert(out.end(), name.begin() + static_cast<std::ptrdiff_t>(at),
               name.begin() + static_cast<std::ptrdiff_t>(dot));
    at = dot + 1;
  }
  out.push_back(0);
}

void PutOpt(Octets& out, int size, std::uint8_t version, const Octets& options) {
  out.push_back(0);
  Put(out, kTypeOpt);
  Put(out, static_cast<std::uint16_t>(size));
  out.push_back(0);
  out.push_back(version);
  Put(out, 0);
  Put(out, static_cast<std::uint16_t>(options.size()));
  out.insert(out.end(), options.begin(), options.end());
}

std::size_t SkipName(const Octets& message, std::size_t at) {
  while (message.at(at) != 0) {
    if (message.at(at) >= 0xc0) return at + 2;
    at += 1 + message.at(at);
  }
  return at + 1;
}

std::size_t QuestionEnd(const Octets& message) {
  return Get(message, 4) == 0 ? 12 : SkipName(message, 12) + 4;
}

// The offset of the OPT record's type; 0 if there is none.
std::size_t FindOpt(const Octets& message) {
  std::size_t at = QuestionEnd(message);
  for (int left = Get(message, 6) + Get(message, 8) + Get(message, 10); left > 0; --left) {
    at = SkipName(message, at);
    if (Get(message, at) == kTypeOpt) return at;
    at += 10 + Get(message, at + 8);
  }
  return 0;
}

}  // namespace

Octets MakeQuery(const QuerySpec& spec) {
  Octets out;
  Put(out, spec.id);
  Put(out, static_cast<std::uint16_t>(spec.opcode << 11 | (spec.opcode == 0 ? 0x0100 : 0)));
  Put(out, 1);
  Put(out, 0);
  Put(out, spec.update.empty() ? 0 : 1);
  Put(out, spec.edns_size >= 0 ? 1 : 0);
  PutName(out, spec.name);
  Put(out, spec.type);
  Put(out, 1);
  out.insert(out.end(), spec.update.begin(), spec.update.end());
  if (spec.edns_size >= 0) PutOpt(out, spec.edns_size, spec.edns_version, spec.edns_options);
  return out;
}

Octets MakeUpdate(const std::string& zone, std::uint16_t id, const std::string& record) {
  QuerySpec spec;
  spec.name = zone;
  spec.id = id;
  spec.type = kTypeSoa;
  spec.opcode = kOpcodeUpdate;
  PutName(spec.update, record + '.' + zone);
  Put(spec.update, kTypeA);
  Put(spec.update, 1);
  Put(spec.update, 0);
  Put(spec.update, 300);
  Put(spec.update, 4);
  for (const std::uint8_t byte : {192, 0, 2, 7}) spec.update.push_back(byte);
  return MakeQuery(spec);
}

Octets MakeAnswer(const Octets& query, const AnswerSpec& spec) {
  const std::size_t end = QuestionEnd(query);
  const bool opt = spec.extended_error >= 0 || spec.edns_size >= 0;
  const int records = spec.truncated || spec.rcode != 0 ? 0 : spec.records;
  Octets out(query.begin(), query.begin() + static_cast<std::ptrdiff_t>(end));
  out[2] = static_cast<std::uint8_t>(0x80 | (query[2] & 0x79) | (spec.truncated ? 0x02 : 0));
  out[3] = static_cast<std::uint8_t>(0x80 | spec.rcode);
  for (std::size_t i = 6; i < 12; ++i) out[i] = 0;
  out[6] = static_cast<std::uint8_t>(records >> 8);
  out[7] = static_cast<std::uint8_t>(records);
  out[11] = opt ? 1 : 0;
  for (int i = 0; i < records; ++i) {
    Put(out, 0xc00c);
    Put(out, kTypeA);
    Put(out, 1);
    Put(out, 0);
    Put(out, 60);
    Put(out, 4);
    for (const int byte : {192, 0, 2, i & 0xff}) out.push_back(static_cast<std::uint8_t>(byte));
  }
  if (opt) {
    Octets options;
    if (spec.extended_error >= 0) {
      Put(options, kOptionExtendedError);
      Put(options, 2);
      Put(options, static_cast<std::uint16_t>(spec.extended_error));
    }
    PutOpt(out, spec.edns_size >= 0 ? spec.edns_size : 1232, 0, options);
  }
  return out;
}

std::uint16_t IdOf(const Octets& message) { return Get(message, 0); }

void SetId(Octets& message, std::uint16_t id) {
  message.at(0) = static_cast<std::uint8_t>(id >> 8);
  message.at(1) = static_cast<std::uint8_t>(id);
}

int RcodeOf(const Octets& message) { return message.at(3) & 0x0f; }

bool IsTruncated(const Octets& message) { return (message.at(2) & 0x02) != 0; }

int AnswersOf(const Octets& message) { return Get(message, 6); }

std::string NameOf(const Octets& message) {
  std::string name;
  for (std::size_t at = 12; message.at(at) != 0; at += 1 + message.at(at)) {
    if (!name.empty()) name += '.';
    for (std::size_t i = 1; i <= message.at(at); ++i) name += static_cast<char>(message.at(at + i));
  }
  return name;
}

Octets QuestionOf(const Octets& message) {
  return Octets(message.begin() + 12, message.begin() + static_cast<std::ptrdiff_t>(QuestionEnd(message)));
}

int ExtendedErrorOf(const Octets& message) {
  const std::size_t opt = FindOpt(message);
  if (opt == 0) return -1;
  const std::size_t end = opt + 10 + Get(message, opt + 8);
  for (std::size_t at = opt + 10; at < end; at += 4 + Get(message, at + 2)) {
    if (Get(message, at) == kOptionExtendedError) return Get(message, at + 4);
  }
  return -1;
}

int EdnsSizeOf(const Octets& message) {
  const std::size_t opt = FindOpt(message);
  return opt == 0 ? -1 : Get(message, opt + 2);
}

}  // namespace mothrack::testing
