// A fault in a file that an operator wrote.
#pragma once

#include <stdexcept>

namespace mothrack::agent {

// Its text names file, line or key, and how to mend it.
class FileError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace mothrack::agent
