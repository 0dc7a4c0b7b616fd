// What comes from another machine's agent or tool, and from the disk, as JSON. What can be read is written,
// read again and must be the same; what can't is said by std::invalid_argument and by nothing else. Broken
// invariants abort.
#include <cstdint>
#include <cstdlib>
#include <stdexcept>

#include "rollout/wire.h"

namespace {

using namespace mothrack::rollout;
using nlohmann::json;

template <typename T>
void CheckReader(const json& input, T (*read)(const json&)) {
  try {
    const T value = read(input);
    const json written = ToJson(value);
    // The text as well, as it goes over the wire: bytes that are no UTF-8 can't have come in.
    if (ToJson(read(json::parse(written.dump()))) != written) std::abort();
  } catch (const std::invalid_argument&) {
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const json input = json::parse(data, data + size, nullptr, false);
  if (input.is_discarded()) return 0;
  CheckReader(input, HolderFrom);
  CheckReader(input, StepFrom);
  CheckReader(input, PlanFrom);
  CheckReader(input, ReportFrom);
  CheckReader(input, InstanceRecordFrom);
  return 0;
}
