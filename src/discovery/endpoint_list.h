// The endpoint list as the source writes it: JSON into a membership update. Pure, callable from any thread.
#pragma once

#include <stdexcept>
#include <string>

#include "dispatch/membership.h"
#include "nlohmann/json.hpp"

namespace mothrack::discovery {

// What is wrong with a list, for the log.
class MalformedList : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One answer of the source. Throws MalformedList, naming the field or the value. Entries count in their
// order: where an id stands twice, the last entry counts, and the id is in the result once. When processes
// started is left to dispatch::StartTimes.
dispatch::MembershipList ParseList(const nlohmann::json& body);
// The same of an answer's text; throws MalformedList also where it is no JSON.
dispatch::MembershipList ParseListText(const std::string& text);

}  // namespace mothrack::discovery
