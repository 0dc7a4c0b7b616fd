// Writes the files that commands are asked for: pages, and scenarios that were found.
#pragma once

#include <string>

namespace mothrack::simulation {

// Replaces what is there. Throws std::runtime_error, naming `path`, where it can't be written whole.
void WriteFile(const std::string& path, const std::string& text);

}  // namespace mothrack::simulation
