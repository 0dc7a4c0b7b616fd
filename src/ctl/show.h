// Formats the output of mothrackctl: tables, differences of files, names and times.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace mothrack::ctl {

// Formats rows as a table. Columns are as wide as their widest cell, with two spaces between them. The first
// row is the head.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

// Shows the lines that were removed ("-") and added ("+"), with `context` unchanged lines on either side.
// Empty if the texts are equal. If a text has more than kMaxLines lines, it only notes that they differ,
// since the comparison's cost is the product of both numbers of lines.
std::string LineDifference(const std::string& before, const std::string& after, std::size_t context = 2);
constexpr std::size_t kMaxLines = 2000;

// Replaces each control character with '?': the text comes from other machines and is printed to a terminal.
std::string Printable(const std::string& text);

// Joins names with ", ".
std::string JoinNames(const std::set<std::string>& names);

// Formats a time as local time, "YYYY-MM-DD HH:MM:SS".
std::string FormatLocalTime(std::int64_t unix_ms);

}  // namespace mothrack::ctl
