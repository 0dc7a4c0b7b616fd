// What mothrackctl prints: tables, differences of files. Text in, text out.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace mothrack::ctl {

// Columns as wide as their widest cell, two spaces between; the first row is the head.
std::string Table(const std::vector<std::vector<std::string>>& rows);

// Lines that were removed ("-") and added ("+"), with `context` unchanged lines on either side; empty where
// nothing differs. Where a side has more than kMaxLines it only notes that they differ: the comparison costs
// the product of both.
std::string Difference(const std::string& before, const std::string& after, std::size_t context = 2);
constexpr std::size_t kMaxLines = 2000;

// The text with control characters made visible, as it comes from other machines and goes to a terminal.
std::string Plain(const std::string& text);

// With ", " between them.
std::string Join(const std::set<std::string>& names);

// Local time, "YYYY-MM-DD HH:MM:SS".
std::string ClockText(std::int64_t unix_ms);

}  // namespace mothrack::ctl
