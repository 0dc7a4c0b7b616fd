#include "ctl/show.h"

#include <algorithm>
#include <ctime>
#include <sstream>

namespace mothrack::ctl {
namespace {

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

// All lines of both texts, each with its mark, and which of them differ.
struct DiffLines {
  std::vector<std::string> lines;
  std::vector<std::size_t> changed;  // indices into `lines`
};

// Compares two texts by their longest common subsequence of lines. Time and memory grow with the product of
// both numbers of lines.
DiffLines Compare(const std::vector<std::string>& before, const std::vector<std::string>& after) {
  // By position in `before` and in `after`: the length of the subsequence of the lines from there on.
  std::vector<std::vector<unsigned>> common(before.size() + 1, std::vector<unsigned>(after.size() + 1, 0));
  for (std::size_t i = before.size(); i-- > 0;) {
    for (std::size_t j = after.size(); j-- > 0;) {
      common[i][j] =
          before[i] == after[j] ? common[i + 1][j + 1] + 1 : std::max(common[i + 1][j], common[i][j + 1]);
    }
  }
  DiffLines diff;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < before.size() || j < after.size()) {
    if (i < before.size() && j < after.size() && before[i] == after[j]) {
      diff.lines.push_back("  " + before[i]);
      ++i;
      ++j;
      continue;
    }
    diff.changed.push_back(diff.lines.size());
    const bool removed = j == after.size() || (i < before.size() && common[i + 1][j] >= common[i][j + 1]);
    diff.lines.push_back(removed ? "- " + before[i++] : "+ " + after[j++]);
  }
  return diff;
}

}  // namespace

std::string Printable(const std::string& text) {
  std::string printable;
  for (const char c : text) printable += static_cast<unsigned char>(c) < ' ' || c == 127 ? '?' : c;
  return printable;
}

std::string JoinNames(const std::set<std::string>& names) {
  std::string text;
  for (const std::string& name : names) text += (text.empty() ? "" : ", ") + name;
  return text;
}

std::string FormatLocalTime(std::int64_t unix_ms) {
  const std::time_t at = unix_ms / 1000;
  std::tm local{};
  ::localtime_r(&at, &local);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S", &local);
  return text;
}

std::string FormatTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += Printable(row[i]);
      if (i + 1 < row.size()) line += std::string(widths[i] - row[i].size() + 2, ' ');
    }
    text += line + '\n';
  }
  return text;
}

std::string LineDifference(const std::string& before, const std::string& after, std::size_t context) {
  if (before == after) return {};
  const auto removed = SplitLines(before);
  const auto added = SplitLines(after);
  if (removed.size() > kMaxLines || added.size() > kMaxLines) {
    return "(differs; too long to compare line by line)\n";
  }
  const DiffLines diff = Compare(removed, added);
  std::string text;
  std::size_t shown = 0;
  for (const std::size_t changed : diff.changed) {
    const std::size_t from = std::max(shown, changed > context ? changed - context : 0);
    if (from > shown) text += "  ...\n";
    for (shown = from; shown < std::min(diff.lines.size(), changed + context + 1); ++shown) {
      text += Printable(diff.lines[shown]) + '\n';
    }
  }
  if (shown < diff.lines.size()) text += "  ...\n";
  return text;
}

}  // namespace mothrack::ctl
