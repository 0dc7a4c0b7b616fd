// What mothrackctl prints: tables, differences of files. Text in, text out.
#pragma once

#include <string>
#include <vector>

namespace mothrack::ctl {

// Columns as wide as their widest cell, two spaces between; the first row is the head.
std::string Table(const std::vector<std::vector<std::string>>& rows);

// Lines that went ("-") and came ("+"), with `around` lines that stayed on either side; empty where nothing
// differs. Beyond kMostLines a side only says so: the comparison costs the product of both.
std::string Difference(const std::string& before, const std::string& after, std::size_t around = 2);
constexpr std::size_t kMostLines = 2000;

// Control characters of what others sent are shown, not obeyed.
std::string Plain(const std::string& text);

}  // namespace mothrack::ctl
