#include "ctl/show.h"

#include <algorithm>
#include <sstream>

namespace mothrack::ctl {
namespace {

std::vector<std::string> Lines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

}  // namespace

std::string Plain(const std::string& text) {
  std::string plain;
  for (const char c : text) plain += static_cast<unsigned char>(c) < ' ' || c == 127 ? '?' : c;
  return plain;
}

std::string Table(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += Plain(row[i]);
      if (i + 1 < row.size()) line += std::string(widths[i] - row[i].size() + 2, ' ');
    }
    text += line + '\n';
  }
  return text;
}

std::string Difference(const std::string& before, const std::string& after, std::size_t around) {
  if (before == after) return {};
  const auto a = Lines(before);
  const auto b = Lines(after);
  if (a.size() > kMostLines || b.size() > kMostLines) return "(differs; too long to compare line by line)\n";
  // The longest common run of lines, from the end on.
  std::vector<std::vector<unsigned>> common(a.size() + 1, std::vector<unsigned>(b.size() + 1, 0));
  for (std::size_t i = a.size(); i-- > 0;) {
    for (std::size_t j = b.size(); j-- > 0;) {
      common[i][j] = a[i] == b[j] ? common[i + 1][j + 1] + 1 : std::max(common[i + 1][j], common[i][j + 1]);
    }
  }
  std::vector<std::string> all;
  std::vector<std::size_t> marks;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < a.size() || j < b.size()) {
    if (i < a.size() && j < b.size() && a[i] == b[j]) {
      all.push_back("  " + a[i++]), ++j;
      continue;
    }
    marks.push_back(all.size());
    const bool goes = j == b.size() || (i < a.size() && common[i + 1][j] >= common[i][j + 1]);
    all.push_back(goes ? "- " + a[i++] : "+ " + b[j++]);
  }
  std::string text;
  std::size_t shown = 0;
  for (const std::size_t mark : marks) {
    const std::size_t from = std::max(shown, mark > around ? mark - around : 0);
    if (from > shown) text += "  ...\n";
    for (shown = from; shown < std::min(all.size(), mark + around + 1); ++shown)
      text += Plain(all[shown]) + '\n';
  }
  if (shown < all.size()) text += "  ...\n";
  return text;
}

}  // namespace mothrack::ctl
