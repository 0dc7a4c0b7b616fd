#include "simulation/text_file.h"

#include <fstream>
#include <stdexcept>

namespace mothrack::simulation {

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  if (!file) throw std::runtime_error(path + ": cannot be written");
}

}  // namespace mothrack::simulation
