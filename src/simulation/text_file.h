// Writes text files: HTML pages and scenario files.
#pragma once

#include <string>

namespace mothrack::simulation {

// Writes `text` to `path`, replacing an existing file. Throws std::runtime_error, naming `path`, if the write
// fails.
void WriteFile(const std::string& path, const std::string& text);

}  // namespace mothrack::simulation
