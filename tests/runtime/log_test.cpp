// Tests the format of log lines, the escaping that prevents forged lines, and the bounds on length and rate.
#include "runtime/log.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <sstream>
#include <string>
#include <thread>
#include <type_traits>
#include <vector>

#include "runtime/clock.h"

namespace mothrack::runtime {
namespace {

constexpr std::size_t kNameSize = 3;  // bytes of "n: "

std::vector<std::string> LinesOf(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  return lines;
}

// A string literal as a template argument.
template <std::size_t N>
struct LiteralText {
  consteval LiteralText(const char (&literal)[N]) { std::copy_n(literal, N, text); }  // NOLINT: a literal
  char text[N];
};
// Whether the literal compiles as the name of an event or a key. The second overload is chosen if it does
// not.
template <LiteralText Name, int = (LogName(Name.text), 0)>
constexpr bool Compiles(int) {
  return true;
}
template <LiteralText Name>
constexpr bool Compiles(long) {
  return false;
}

class LogTest : public ::testing::Test {
 protected:
  std::string Take() {
    const std::string text = out.str();
    out.str("");
    return text;
  }

  // Returns the line with one value, from a new logger, so that the rate limit has no effect.
  static std::string LineOf(const std::string& value) {
    std::ostringstream line_out;
    Logger("n", line_out).Info("event", {{"key", value}, {"after", 1}});
    return line_out.str();
  }

  std::ostringstream out;
  Logger log{"n", out};
};

// ---- Format ----

TEST_F(LogTest, ALineHasNameLevelEventAndKeys) {
  log.Warn("discovery_failed", {{"cause", "refused"}, {"calls", 17U}, {"left", -3}});
  EXPECT_EQ(Take(), "n: warning discovery_failed cause=refused calls=17 left=-3\n");
  log.Info("ready");
  EXPECT_EQ(Take(), "n: info ready\n");
}

TEST_F(LogTest, EachLevelIsWritten) {
  log.Error("event");
  log.Warn("event");
  log.Info("event");
  EXPECT_EQ(Take(), "n: error event\nn: warning event\nn: info event\n");
}

TEST_F(LogTest, OnlyValuesThatNeedItAreQuoted) {
  EXPECT_EQ(LineOf("127.0.0.1:80/a?b&c"), "n: info event key=127.0.0.1:80/a?b&c after=1\n");
  EXPECT_EQ(LineOf("two words"), "n: info event key=\"two words\" after=1\n");
  EXPECT_EQ(LineOf(""), "n: info event key=\"\" after=1\n");
}

// Names of events and keys must be literals in snake_case; anything else does not compile.
TEST_F(LogTest, NamesAreSnakeCaseLiterals) {
  static_assert(std::is_constructible_v<LogField, LogName, std::string>);
  static_assert(!std::is_constructible_v<LogName, std::string>);
  static_assert(!std::is_constructible_v<LogName, std::string_view>);
  static_assert(LogName("snake_case_2").text() == "snake_case_2");
  static_assert(Compiles<"snake_case">(0));
  static_assert(!Compiles<"Camel">(0) && !Compiles<"two words">(0) && !Compiles<"a=b">(0) &&
                !Compiles<"">(0));
  for (const char* name : {"a", "a_b", "a2"}) EXPECT_TRUE(LogName::IsSnakeCase(name)) << name;
  for (const char* name : {"", "A", "aB", "2a", "_a", "a b", "a=b", "a\n", "a\"", "a-b", "a:", "\xc3\xa4"}) {
    EXPECT_FALSE(LogName::IsSnakeCase(name)) << name;
  }
}

// ---- Escaping ----

TEST_F(LogTest, NoValueForgesALineAKeyOrATerminalSequence) {
  struct Row {
    std::string value;
    std::string shown;
  };
  const std::vector<Row> rows = {
      {"a\nn: error forged", R"("a\nn: error forged")"},
      {"a\r\tb", R"("a\r\tb")"},
      {"x after=2", R"("x after=2")"},
      {"x=y", R"("x=y")"},
      {"x\" after=2 y=\"", R"("x\" after=2 y=\"")"},
      {"\\", R"("\\")"},
      {"\\\" after=2", R"("\\\" after=2")"},
      {"\x1b[2J", R"("\x1b[2J")"},
      {std::string("a\0b", 3), R"("a\x00b")"},
      {"\x7f", R"("\x7f")"},
      {"\xc2\x9b"
       "2J",
       R"("\xc2\x9b2J")"},
      {"\xe2\x80\xa8", R"("\xe2\x80\xa8")"},
  };
  for (const Row& row : rows) EXPECT_EQ(LineOf(row.value), "n: info event key=" + row.shown + " after=1\n");
  for (int byte = 0; byte < 256; ++byte) {
    const std::string line = LineOf(std::string("a") + static_cast<char>(byte) + "b");
    ASSERT_EQ(line.find('\n'), line.size() - 1) << byte;
    for (const char shown : line.substr(0, line.size() - 1))
      ASSERT_TRUE(shown >= ' ' && shown <= '~') << byte;
  }
}

TEST_F(LogTest, FreeTextKeepsItsWordsAndIsOneLine) {
  log.FreeText("discovery: \"malformed\" list: a=b\nn: error forged \x1b");
  EXPECT_EQ(Take(), "n: discovery: \"malformed\" list: a=b\\nn: error forged \\x1b\n");
}

// ---- Bounds ----

TEST_F(LogTest, ALineHasAtMost500BytesAndItsQuoteIsClosed) {
  const std::string prefix = "n: info event key=";
  const std::size_t space = Logger::kMaxLineLength + kNameSize - prefix.size();
  EXPECT_EQ(LineOf(std::string(2000, 'x')), prefix + std::string(space, 'x') + '\n');
  EXPECT_EQ(LineOf(std::string(2000, ' ')), prefix + '"' + std::string(space - 2, ' ') + "\"\n");
  // An escape is never cut in half, wherever the limit falls.
  for (std::size_t before = 0; before < 4; ++before) {
    const std::string line = LineOf(std::string(before, 'x') + std::string(2000, '\x01'));
    const std::string value =
        line.substr(prefix.size() + 1 + before, line.size() - prefix.size() - before - 3);
    EXPECT_LE(line.size(), Logger::kMaxLineLength + kNameSize + 1);
    EXPECT_EQ(line.substr(line.size() - 2), "\"\n");
    EXPECT_EQ(value.size() % 4, 0U) << line;
  }
  // A key that does not fit with its value is left out completely.
  const std::string longest(space - std::string(" after=").size(), 'x');
  EXPECT_EQ(LineOf(longest), prefix + longest + '\n');
  log.FreeText(std::string(2000, 'x'));
  EXPECT_EQ(Take(), "n: " + std::string(Logger::kMaxLineLength, 'x') + '\n');
  log.FreeText(std::string(2000, '\n'));
  EXPECT_EQ(Take().size(), Logger::kMaxLineLength + kNameSize + 1);
}

TEST_F(LogTest, ABurstOf100LinesThen5LinesPerSecondAndTheNumberLeftOut) {
  const TimePoint started_at = Now();
  std::size_t attempted = 0;
  const auto log_one = [&] {
    if (++attempted % 2 == 0) {
      log.Info("event");
    } else {
      log.FreeText("free text");
    }
  };
  for (int i = 0; i < 100; ++i) log_one();
  ASSERT_EQ(LinesOf(out.str()).size(), 100U);
  // Logs until a line reports the number of lines left out.
  while (out.str().find("lines_left_out") == std::string::npos) {
    ASSERT_LT(Now() - started_at, std::chrono::seconds(20));
    log_one();
  }
  const double seconds = std::chrono::duration<double>(Now() - started_at).count();
  std::size_t written = 0;
  std::size_t left_out = 0;
  const std::string left_out_prefix = "n: warning lines_left_out count=";
  for (const std::string& line : LinesOf(Take())) {
    if (line.starts_with(left_out_prefix)) {
      left_out += std::stoul(line.substr(left_out_prefix.size()));
    } else {
      ++written;
    }
  }
  EXPECT_GT(left_out, 0U);
  EXPECT_EQ(written + left_out, attempted);
  EXPECT_LE(static_cast<double>(written), 100 + 5 * seconds);
  EXPECT_GE(seconds, 0.2);  // at 5 lines per second, the first line after the burst takes 0.2 s
}

TEST_F(LogTest, CounterLinesAreWrittenUnchangedAndWithoutLimit) {
  const std::string text = "counts {\"a\":\"" + std::string(2000, 'x') + "\"}";
  for (int i = 0; i < 300; ++i) log.CounterLine(text);
  const auto lines = LinesOf(Take());
  ASSERT_EQ(lines.size(), 300U);
  for (const std::string& line : lines) ASSERT_EQ(line, "n: " + text);
  log.Info("event");
  EXPECT_EQ(Take(), "n: info event\n") << "counter lines must not count towards the limit of other lines";
}

// ---- Standard error ----

TEST(LogOnStandardError, LinesOfLoggersOnTwoThreadsAreNotMixed) {
  constexpr int kLines = 2000;
  ::testing::internal::CaptureStderr();
  const auto write = [](const std::string& name) {
    Logger log(name);
    for (int i = 0; i < kLines; ++i) log.CounterLine("counts {}");
  };
  std::thread other(write, "other");
  write("one");
  other.join();
  int ones = 0;
  int others = 0;
  for (const std::string& line : LinesOf(::testing::internal::GetCapturedStderr())) {
    if (line == "one: counts {}") ++ones;
    if (line == "other: counts {}") ++others;
  }
  EXPECT_EQ(ones, kLines);
  EXPECT_EQ(others, kLines);
}

TEST(LogOnStandardError, ALoggerMayHaveOtherLimits) {
  ::testing::internal::CaptureStderr();
  Logger log("n", {.burst = 3, .per_second = 0});
  for (int i = 0; i < 9; ++i) log.Info("event");
  EXPECT_EQ(::testing::internal::GetCapturedStderr(), "n: info event\nn: info event\nn: info event\n");
}

}  // namespace
}  // namespace mothrack::runtime
