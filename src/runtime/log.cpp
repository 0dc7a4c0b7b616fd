#include "runtime/log.h"

#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <array>
#include <utility>

namespace mothrack::runtime {
namespace {

constexpr bool IsPrintable(char c) { return c >= ' ' && c <= '~'; }

// Escapes one byte of a value. A backslash, or a byte that is not printable ASCII, becomes an escape of two
// or four bytes, so that no control sequence reaches a terminal and truncation never splits a character.
std::string Escaped(char c) {
  static constexpr std::array<char, 16> kDigits{'0', '1', '2', '3', '4', '5', '6', '7',
                                                '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'};
  if (c == '\\') return "\\\\";
  if (c == '\n') return "\\n";
  if (c == '\r') return "\\r";
  if (c == '\t') return "\\t";
  if (IsPrintable(c)) return {c};
  const auto byte = static_cast<unsigned char>(c);
  return {'\\', 'x', kDigits.at(byte >> 4U), kDigits.at(byte & 0xfU)};
}

// Whether a value can be written without quotes and escapes.
bool IsBareValue(std::string_view value) {
  if (value.empty()) return false;
  for (const char c : value) {
    if (!IsPrintable(c) || c == ' ' || c == '"' || c == '\\' || c == '=') return false;
  }
  return true;
}

// Appends as much of `value` as fits into `line`, with a closing quote in any case. Returns false if it was
// truncated.
bool AppendValue(std::string& line, std::string_view value) {
  if (IsBareValue(value)) {
    const std::size_t space = Logger::kMaxLineLength - line.size();
    line += value.substr(0, space);
    return value.size() <= space;
  }
  line += '"';
  for (const char c : value) {
    const std::string text = c == '"' ? "\\\"" : Escaped(c);
    if (line.size() + text.size() + 1 > Logger::kMaxLineLength) {
      line += '"';
      return false;
    }
    line += text;
  }
  line += '"';
  return true;
}

// The size in bytes of a key with an empty value: ` key=""`.
std::size_t MinSize(const LogField& field) { return field.key().size() + 4; }

}  // namespace

class Logger::Writer {
 public:
  Writer(std::string name, spdlog::sink_ptr sink) : logger_(std::move(name), std::move(sink)) {
    logger_.set_pattern("%n: %v");
    logger_.set_error_handler([](const std::string&) {});
  }

  // Passes a constant time. Otherwise spdlog would read the wall clock for each line, although no line has a
  // time stamp.
  void Write(spdlog::level::level_enum level, std::string_view text) {
    logger_.log(spdlog::log_clock::time_point{}, spdlog::source_loc{}, level,
                spdlog::string_view_t(text.data(), text.size()));
  }

  static spdlog::level::level_enum LevelOf(Level level) {
    switch (level) {
      case Level::kInfo:
        return spdlog::level::info;
      case Level::kWarning:
        return spdlog::level::warn;
      case Level::kError:
        break;
    }
    return spdlog::level::err;
  }

 private:
  spdlog::logger logger_;
};

// The sinks are synchronized, so that lines of loggers on several threads are not mixed.
Logger::Logger(std::string name) : Logger(std::move(name), Limits{}) {}

Logger::Logger(std::string name, const Limits& limits)
    : writer_(std::make_unique<Writer>(std::move(name), std::make_shared<spdlog::sinks::stderr_sink_mt>())),
      rate_limiter_(limits.per_second, limits.burst, Now()) {}

Logger::Logger(std::string name, std::ostream& out)
    : writer_(std::make_unique<Writer>(std::move(name),
                                       std::make_shared<spdlog::sinks::ostream_sink_mt>(out, true))),
      rate_limiter_(Limits{}.per_second, Limits{}.burst, Now()) {}

Logger::~Logger() = default;

void Logger::Error(LogName event, Fields fields) noexcept { WriteIfAdmitted(Level::kError, event, fields); }
void Logger::Warn(LogName event, Fields fields) noexcept { WriteIfAdmitted(Level::kWarning, event, fields); }
void Logger::Info(LogName event, Fields fields) noexcept { WriteIfAdmitted(Level::kInfo, event, fields); }

void Logger::WriteIfAdmitted(Level level, LogName event, Fields fields) noexcept {
  try {
    if (Admit()) Write(level, event, fields);
  } catch (...) {
    // A line that can't be formatted or written is lost: logging must not fail its caller.
  }
}

void Logger::FreeText(std::string_view text) noexcept {
  try {
    if (!Admit()) return;
    std::string line;
    for (const char c : text) {
      const std::string escaped = Escaped(c);
      if (line.size() + escaped.size() > kMaxLineLength) break;
      line += escaped;
    }
    writer_->Write(spdlog::level::info, line);
  } catch (...) {
    // The line is lost, as in WriteIfAdmitted().
  }
}

void Logger::CounterLine(std::string_view text) noexcept {
  try {
    writer_->Write(spdlog::level::info, text);
  } catch (...) {
    // The line is lost, as in WriteIfAdmitted().
  }
}

bool Logger::Admit() {
  if (!rate_limiter_.Take(Now())) {
    ++dropped_;
    return false;
  }
  if (dropped_ > 0) Write(Level::kWarning, "lines_left_out", {{"count", std::exchange(dropped_, 0)}});
  return true;
}

void Logger::Write(Level level, LogName event, Fields fields) {
  const spdlog::level::level_enum severity = Writer::LevelOf(level);
  const spdlog::string_view_t level_name = spdlog::level::to_string_view(severity);
  std::string line(level_name.data(), level_name.size());
  line += ' ';
  line += event.text();
  for (const LogField& field : fields) {
    if (line.size() + MinSize(field) > kMaxLineLength) break;
    line += ' ';
    line += field.key();
    line += '=';
    if (!AppendValue(line, field.value())) break;
  }
  writer_->Write(severity, line);
}

}  // namespace mothrack::runtime
