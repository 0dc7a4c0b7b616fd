// Lines for the people on call, on standard error, in one form (docs/operators/logs.md):
//
//   <name>: <level> <event> key=value key="value with spaces"
//
// Bounded, whatever happens: by lines a second and by bytes a line. Event and keys are constants of the call
// site, checked when it is compiled; a value is escaped, so that nobody outside forges a line or a key. No
// time stamp, no thread. A logger is used on one thread; several loggers may write at once, a line at a time.
// Errors of the stream are ignored: nothing is left to tell them to.
#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>

#include "runtime/rate_limiter.h"

namespace mothrack::runtime {

// What an event or a key may be called: snake_case, and a literal.
class LogName {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): a literal at the call site
  consteval LogName(const char* text) : text_(text) {
    if (!IsSnakeCase(text_)) throw "not snake_case";  // where it is compiled: an error there
  }

  static constexpr bool IsSnakeCase(std::string_view text) {
    if (text.empty() || text.front() < 'a' || text.front() > 'z') return false;
    for (const char c : text) {
      if ((c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '_') return false;
    }
    return true;
  }

  constexpr std::string_view text() const { return text_; }

 private:
  std::string_view text_;
};

// Lives as long as the statement that logs it.
class LogField {
 public:
  LogField(LogName key, std::string_view value) : key_(key), value_(value) {}
  LogField(LogName key, std::integral auto number) : key_(key), value_(std::to_string(number)) {}

  std::string_view key() const { return key_.text(); }
  std::string_view value() const { return value_; }

 private:
  LogName key_;
  std::string value_;
};

class Logger {
 public:
  using Fields = std::initializer_list<LogField>;

  // Past `burst` lines, only `per_second` of them a second go out, and the next one is preceded by
  // lines_left_out, which tells how many did not.
  struct Limits {
    double burst = 100;
    double per_second = 5;
  };
  static constexpr std::size_t kMaxLineLength = 500;  // bytes behind `<name>: `

  // `name` begins each line; to standard error.
  explicit Logger(std::string name);
  Logger(std::string name, const Limits& limits);
  // `out` must outlive the logger.
  Logger(std::string name, std::ostream& out);
  ~Logger();
  Logger(const Logger&) = delete;
  Logger& operator=(const Logger&) = delete;

  // None of them throws: a line that can't be written is lost.
  void Error(LogName event, Fields fields = {}) noexcept;  // the operator has to act
  void Warn(LogName event, Fields fields = {}) noexcept;   // degraded, goes on alone
  void Info(LogName event, Fields fields = {}) noexcept;   // the life cycle

  // `<name>: <text>`, for the few lines whose words a page of docs/operators/ states; limited as the others.
  void Stated(std::string_view text) noexcept;

  // One of a few long lines that come by the clock and are asked for: no limit, and as it is.
  void Figures(std::string_view text) noexcept;

 private:
  enum class Level { kInfo, kWarning, kError };
  class Writer;  // spdlog's headers stay in log.cpp

  void Put(Level level, LogName event, Fields fields) noexcept;
  void Write(Level level, LogName event, Fields fields);
  // Whether one more line may go out; tells first how many could not.
  bool Admit();

  std::unique_ptr<Writer> writer_;
  RateLimiter rate_limiter_;
  std::uint64_t dropped_ = 0;  // lines since the last one written
};

}  // namespace mothrack::runtime
