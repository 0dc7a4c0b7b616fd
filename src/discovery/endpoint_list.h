// Parses the endpoint list from the source's JSON into a membership update. Pure functions, callable on any
// thread.
#pragma once

#include <stdexcept>
#include <string>

#include "dispatch/membership.h"
#include "nlohmann/json.hpp"

namespace mothrack::discovery {

// Thrown for a list that cannot be used. The text says what is wrong with it, for the log.
class MalformedList : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses one answer of the source. Throws MalformedList, which names the field or the value. If an id occurs
// twice, the last entry counts, and the result contains the id once. The start times of processes are left to
// dispatch::StartTimes.
dispatch::MembershipList ParseList(const nlohmann::json& body);
// Parses the text of an answer in the same way. Also throws MalformedList if it is not JSON.
dispatch::MembershipList ParseListText(const std::string& text);

}  // namespace mothrack::discovery
