// The program's log on standard error, in one format (docs/operators/logs.md):
//
//   <name>: <level> <event> key=value key="value with spaces"
//
// Lines per second and bytes per line are bounded. Event and keys are literals that are checked at compile
// time; values are escaped, so that input from outside can't forge a line or a key. Lines have no time stamp,
// and there is no background thread. Each logger is used on one thread; several loggers may write at the same
// time, line by line. Errors of the stream are ignored.
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

// The name of an event or a key: a snake_case literal.
class LogName {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): a literal at the call site
  consteval LogName(const char* text) : text_(text) {
    if (!IsSnakeCase(text_)) throw "not snake_case";  // a compile error at the call site
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

// A key and its value; lives only for the duration of the logging statement.
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

  // Limits of a token bucket: after `burst` lines at once only `per_second` lines per second are written. The
  // event lines_left_out, with the number of dropped lines, precedes the next line that is written.
  struct Limits {
    double burst = 100;
    double per_second = 5;
  };
  static constexpr std::size_t kMaxLineLength = 500;  // bytes after `<name>: `

  // Writes to standard error; `name` is the prefix of each line.
  explicit Logger(std::string name);
  Logger(std::string name, const Limits& limits);
  // `out` must outlive the logger.
  Logger(std::string name, std::ostream& out);
  ~Logger();
  Logger(const Logger&) = delete;
  Logger& operator=(const Logger&) = delete;

  // None of the methods below throws: a line that can't be written is lost.
  void Error(LogName event, Fields fields = {}) noexcept;  // an operator has to act
  void Warn(LogName event, Fields fields = {}) noexcept;   // degraded, recovers by itself
  void Info(LogName event, Fields fields = {}) noexcept;   // a normal change of state

  // Writes `<name>: <text>`, for the few lines whose text the operators' pages document. The text is escaped,
  // and the rate limit applies.
  void FreeText(std::string_view text) noexcept;

  // Writes `<name>: <text>` without escaping and limits, for the periodic lines with counters.
  void CounterLine(std::string_view text) noexcept;

 private:
  enum class Level { kInfo, kWarning, kError };
  class Writer;  // spdlog's headers stay in log.cpp

  void WriteIfAdmitted(Level level, LogName event, Fields fields) noexcept;
  void Write(Level level, LogName event, Fields fields);
  // Whether the rate limit allows one more line. Writes lines_left_out before it if lines were dropped.
  bool Admit();

  std::unique_ptr<Writer> writer_;
  RateLimiter rate_limiter_;
  std::uint64_t dropped_ = 0;  // lines dropped since the last one that was written
};

}  // namespace mothrack::runtime
