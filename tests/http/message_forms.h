// The forms of messages that the tables of docs/design/message_rules.md name: their bytes, and how to play
// them in memory.
#pragma once

#include <map>
#include <string>

namespace mothrack::testing {

// The text of a request by the name of its form. `id` becomes its X-Request-ID.
std::string RequestOfForm(const std::string& form, const std::string& id);

// An upstream's answer in pieces: what it writes at once, and whether it ends the connection then.
struct AnswerForm {
  std::string bytes;
  bool closes = false;
};
// `body` is that of a sound answer.
AnswerForm AnswerOfForm(const std::string& form, const std::string& body);

}  // namespace mothrack::testing
