// The main() of a fuzz target in builds without libFuzzer: runs the target on every file of a directory.
// Fails if the directory has no files.
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: " << argv[0] << " DIRECTORY\n";
    return 2;
  }
  int files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(argv[1])) {
    std::ifstream stream(entry.path(), std::ios::binary);
    const std::vector<char> bytes((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    ++files;
  }
  std::cout << files << " inputs\n";
  return files > 0 ? 0 : 1;
}
