// The exception for an error in a file that an operator wrote.
#pragma once

#include <stdexcept>

namespace mothrack::agent {

// The message names the file, the line or key, and how to fix the error.
class FileError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace mothrack::agent
