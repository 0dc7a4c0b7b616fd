#include "page_server.h"

#include <chrono>
#include <thread>

namespace mothrack::demo {
namespace {

constexpr std::chrono::milliseconds kStateCheckInterval{10};
constexpr unsigned kOk = 200;

}  // namespace

PageServer::PageServer(const std::string& name)
    : upstream_([this, name](testing::Wire& wire, const testing::Request&, int) {
        while (unresponsive_ && !ended_) std::this_thread::sleep_for(kStateCheckInterval);
        wire.Answer(kOk, name + '\n');
      }) {}

}  // namespace mothrack::demo
