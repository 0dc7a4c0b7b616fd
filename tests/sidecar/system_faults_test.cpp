// The sidecar while each of its system calls fails in each documented way: no request is lost or runs twice,
// and it serves again as soon as the fault is over.
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <ostream>
#include <string>
#include <thread>

#include "gtest/gtest.h"
#include "sidecar/faulty_service.h"

namespace mothrack::testing {
namespace {

constexpr auto kFaultDuration = milliseconds(200);
// The sidecar has to recover within a second; the margin is for a machine loaded by other tests and
// sanitizers.
constexpr auto kMaxRecoveryTime = seconds(1) + milliseconds(500);

struct FaultCase {
  const char* name;
  SystemCall call;
  int error;  // errno; 0: the call moves one byte only
  bool outgoing_only = false;
};
std::ostream& operator<<(std::ostream& out, const FaultCase& fault_case) { return out << fault_case.name; }

// Errors of broken connections are injected into connections to upstreams and discovery only
// (`outgoing_only`): a broken connection of a client would lose its answers.
const FaultCase kFaultCases[] = {
    {"AcceptInterrupted", SystemCall::kAccept, EINTR},
    {"AcceptAborted", SystemCall::kAccept, ECONNABORTED},
    {"AcceptNetUnreachable", SystemCall::kAccept, ENETUNREACH},
    {"AcceptProtocol", SystemCall::kAccept, EPROTO},
    {"AcceptProcessLimit", SystemCall::kAccept, EMFILE},
    {"AcceptSystemLimit", SystemCall::kAccept, ENFILE},
    {"AcceptNoBuffers", SystemCall::kAccept, ENOBUFS},
    {"AcceptNoMemory", SystemCall::kAccept, ENOMEM},
    {"SocketProcessLimit", SystemCall::kSocket, EMFILE},
    {"SocketSystemLimit", SystemCall::kSocket, ENFILE},
    {"SocketNoBuffers", SystemCall::kSocket, ENOBUFS},
    {"SocketNoMemory", SystemCall::kSocket, ENOMEM},
    {"ConnectNoAddress", SystemCall::kConnect, EADDRNOTAVAIL},
    {"ConnectNetUnreachable", SystemCall::kConnect, ENETUNREACH},
    {"ConnectHostUnreachable", SystemCall::kConnect, EHOSTUNREACH},
    {"ConnectRefused", SystemCall::kConnect, ECONNREFUSED},
    {"ConnectTimedOut", SystemCall::kConnect, ETIMEDOUT},
    {"ConnectInterrupted", SystemCall::kConnect, EINTR},
    {"ConnectNoPort", SystemCall::kConnect, EAGAIN},
    {"PollInterrupted", SystemCall::kPoll, EINTR},
    {"PollNoMemory", SystemCall::kPoll, ENOMEM},
    {"EpollInterrupted", SystemCall::kEpollWait, EINTR},
    {"SendInterrupted", SystemCall::kSend, EINTR},
    {"SendShort", SystemCall::kSend, 0},
    {"SendReset", SystemCall::kSend, ECONNRESET, true},
    {"SendBroken", SystemCall::kSend, EPIPE, true},
    {"SendTimedOut", SystemCall::kSend, ETIMEDOUT, true},
    {"ReceiveInterrupted", SystemCall::kReceive, EINTR},
    {"ReceiveShort", SystemCall::kReceive, 0},
    {"ReceiveReset", SystemCall::kReceive, ECONNRESET, true},
    {"ReceiveTimedOut", SystemCall::kReceive, ETIMEDOUT, true},
    {"ReceiveHostUnreachable", SystemCall::kReceive, EHOSTUNREACH, true},
};

class SystemFaults : public ::testing::TestWithParam<FaultCase> {};

// Injects the fault into single uses of the call, then into every third one for kFaultDuration. The single
// uses are every 37th of the first 200, or all of these if the environment has SYSTEM_FAULTS=whole.
TEST_P(SystemFaults, LoseNoRequestAndTheSidecarRecovers) {
  const FaultCase& fault_case = GetParam();
  Service service;
  ASSERT_TRUE(service.Start()) << service.node.log();
  CallFaults& faults = service.faults.plan().Of(fault_case.call);
  faults.error = fault_case.error;
  faults.outgoing_only = fault_case.outgoing_only;

  const char* setting = std::getenv("SYSTEM_FAULTS");
  const bool every_use = setting != nullptr && std::strcmp(setting, "whole") == 0;
  for (std::uint64_t use = 1; use <= 200; use += every_use ? 1 : 37) {
    faults.skip = faults.uses + use;
    faults.every = 1;
    faults.remaining = 1;
    ASSERT_TRUE(service.Serves(kClients)) << "after use " << use << '\n' << service.node.log();
    faults.remaining = 0;
  }

  faults.skip = 0;
  faults.every = 3;
  faults.remaining = -1;
  std::this_thread::sleep_for(kFaultDuration);
  faults.remaining = 0;
  const auto over = steady_clock::now();
  ASSERT_TRUE(service.Serves(20 * kClients)) << service.node.log();
  EXPECT_LE(steady_clock::now() - over, kMaxRecoveryTime);
  EXPECT_GE(faults.hits, 5U) << "of " << faults.uses << " uses";
  service.ExpectNoRequestLostOrRepeated();
}

INSTANTIATE_TEST_SUITE_P(Calls, SystemFaults, ::testing::ValuesIn(kFaultCases),
                         [](const auto& row) { return std::string(row.param.name); });

// If local ports run out, that is not a failure of the upstreams.
TEST(LocalFailures, EjectNoUpstream) {
  Service service;
  ASSERT_TRUE(service.Start()) << service.node.log();
  CallFaults& faults = service.faults.plan().Of(SystemCall::kConnect);
  faults.error = EADDRNOTAVAIL;
  const std::uint64_t before = faults.hits;
  faults.remaining = -1;
  ASSERT_TRUE(Eventually([&] { return faults.hits >= before + 40; })) << service.node.log();
  faults.remaining = 0;
  ASSERT_TRUE(service.Serves(20 * kClients)) << service.node.log();
  EXPECT_EQ(service.node.log().find("ejected"), std::string::npos) << service.node.log();
  service.ExpectNoRequestLostOrRepeated();
}

}  // namespace
}  // namespace mothrack::testing
