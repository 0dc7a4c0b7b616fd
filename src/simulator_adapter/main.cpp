// simulator_adapter: speaks the simulator's protocol on standard input and output, one JSON object per line.
// Each input line gets one reply line. Exits with status 1 at the first line that is not a valid batch.
#include <iostream>
#include <string>

#include "simulator_adapter/wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  mothrack::simulator_adapter::Host host;
  std::string line;
  while (std::getline(std::cin, line)) {
    try {
      std::cout << host.Reply(line) << '\n' << std::flush;
    } catch (const mothrack::simulator_adapter::ProtocolError& error) {
      std::cerr << "simulator_adapter: " << error.what() << std::endl;
      return 1;
    }
  }
  return 0;
}
