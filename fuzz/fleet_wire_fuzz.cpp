// Fuzzes the readers of JSON that comes from an agent or from mothrackctl on another machine, or from the
// disk. A value that can be read must be the same after it is written and read again. A reader must reject
// invalid input with std::invalid_argument and no other exception. A broken invariant aborts.
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
    // dump() throws for invalid UTF-8, which the reader must have rejected.
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
