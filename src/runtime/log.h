// Lines for the people on call, on standard error; bounded, whatever happens.
//
// One for the process, on the thread of the event loop. Errors of the stream are ignored: nothing is left to
// tell them to.
#pragma once

#include <cstdint>
#include <iostream>
#include <string>
#include <utility>

#include "runtime/rate_limiter.h"

namespace mothrack::runtime {

class Logger {
 public:
  // `name` begins each line; `out` must outlive the logger.
  explicit Logger(std::string name, std::ostream& out = std::cerr) : out_(out), name_(std::move(name)) {}

  // One of a few long lines that come by the clock and are asked for.
  void Figures(const std::string& text) { out_ << name_ << ": " << text << std::endl; }

  // Guards against a trouble that repeats filling the disk: past kBurst lines only kPerSecond go out, and the
  // next one tells how many did not.
  void Line(const std::string& text) {
    if (!rate_limiter_.Take(Now())) {
      ++dropped_;
      return;
    }
    if (dropped_ > 0) out_ << name_ << ": " << std::exchange(dropped_, 0) << " lines left out\n";
    out_ << name_ << ": " << text.substr(0, kMaxLineLength) << std::endl;
  }

 private:
  static constexpr double kBurst = 100;  // lines
  static constexpr double kPerSecond = 5;
  static constexpr std::size_t kMaxLineLength = 500;  // bytes
  std::ostream& out_;
  std::string name_;
  RateLimiter rate_limiter_{kPerSecond, kBurst, Now()};
  std::uint64_t dropped_ = 0;
};

}  // namespace mothrack::runtime
