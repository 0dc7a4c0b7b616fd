// Why a gossip task does not start.
#pragma once

#include <stdexcept>

namespace mothrack::gossip {

// The operator can mend it: an address in use, a fault in the key file, no valid name. One line, which names
// the setting and the mend.
class TaskError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The system gives no socket, eventfd or thread; the program goes on without gossip. One line.
class ResourceError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace mothrack::gossip
