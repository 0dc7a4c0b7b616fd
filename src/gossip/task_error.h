// The errors with which the start of a gossip task fails.
#pragma once

#include <stdexcept>

namespace mothrack::gossip {

// An error that the operator can fix: an address in use, an invalid key file or name. what() is one line that
// names the setting and the fix.
class TaskError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The kernel provides no socket, eventfd or thread. The program continues without gossip. what() is one line.
class ResourceError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace mothrack::gossip
