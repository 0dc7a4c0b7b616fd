// Which outcomes the record of a test cluster counts as violations, above all if a sidecar is killed between
// the sending of a request and the reading of its answer.
#include "standins/traffic_record.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;
using Outcome = Traffic::Outcome;

constexpr std::size_t kSidecar = 1;
constexpr milliseconds kDrain{1050};

TrafficRecord::TimePoint After(int ms) { return TrafficRecord::TimePoint(milliseconds(100'000 + ms)); }

// A safe request at an even index, an unsafe one at an odd one, as Traffic sends them.
struct Sent {
  int index = 0;
  Outcome outcome{};
  int begin_ms = 0;
  int connected_ms = 0;
  int end_ms = 0;
};

class TrafficRecordTest : public ::testing::Test {
 protected:
  static std::string Id(int index) { return "s" + std::to_string(kSidecar) + '-' + std::to_string(index); }

  void Complete(const Sent& sent) {
    const bool unsafe = sent.index % 2 == 1;
    record_.RequestCompleted({kSidecar, sent.index, Id(sent.index), unsafe, sent.outcome,
                              After(sent.begin_ms), After(sent.connected_ms), After(sent.end_ms)});
    if (unsafe) unsafe_[Id(sent.index)] = sent.outcome;
  }
  void Run(int index, int at_ms) {
    record_.RequestStarted(0, Id(index), After(at_ms));
    if (index % 2 == 1) ++runs_[Id(index)];
  }
  std::vector<std::string> Violations() const { return record_.Violations(unsafe_, runs_, kDrain); }

  TrafficRecord record_;
  std::map<std::string, Outcome> unsafe_;
  std::map<std::string, int> runs_;
};

TEST_F(TrafficRecordTest, AnAnswerThatIsReadAfterItsSidecarWasKilledIsNoViolation) {
  Complete({0, Outcome::kRefused, 0, 1, 20});
  record_.SidecarKilled(kSidecar, After(10));
  EXPECT_EQ(Violations(), std::vector<std::string>{});
}

TEST_F(TrafficRecordTest, AnAnswerThatIsReadWhenItsSidecarIsKilledIsNoViolation) {
  Complete({0, Outcome::kServed, 0, 1, 10});
  record_.SidecarKilled(kSidecar, After(10));
  EXPECT_EQ(Violations(), std::vector<std::string>{});
}

TEST_F(TrafficRecordTest, AnAnswerOfTheNextProcessIsNoViolation) {
  Complete({1, Outcome::kServed, 0, 30, 50});
  Run(1, 40);
  record_.SidecarKilled(kSidecar, After(10));
  EXPECT_EQ(Violations(), std::vector<std::string>{});
}

TEST_F(TrafficRecordTest, ARequestWithoutAnAnswerIsAViolationUnlessItsSidecarWasKilled) {
  Complete({0, Outcome::kLost, 0, 1, 20});
  const std::vector<std::string> lost = {
      "s1-0 was accepted and never answered",
      "rule lost: request 4294967296 was never answered (1 times)",
  };
  EXPECT_EQ(Violations(), lost);
  record_.SidecarKilled(kSidecar, After(10));
  EXPECT_EQ(Violations(), std::vector<std::string>{});
}

TEST_F(TrafficRecordTest, AKillOfAnotherSidecarOrLongBeforeExcusesNothing) {
  Complete({0, Outcome::kLost, 1000, 1001, 1020});
  record_.SidecarKilled(kSidecar + 1, After(1010));
  record_.SidecarKilled(kSidecar, After(10));
  EXPECT_EQ(Violations().size(), 2U);
}

TEST_F(TrafficRecordTest, ALateAnswerIsAViolationEvenIfItsSidecarIsKilledLater) {
  Complete({0, Outcome::kServed, 0, 1, 6001});
  const std::vector<std::string> late = {
      "rule lost: request 4294967296 was answered 1001.000000 ms after its time (1 times)"};
  EXPECT_EQ(Violations(), late);
  record_.SidecarKilled(kSidecar, After(6500));
  EXPECT_EQ(Violations(), late);
}

TEST_F(TrafficRecordTest, AnUnsafeRequestThatRunsTwiceIsAViolation) {
  Complete({1, Outcome::kServed, 0, 1, 20});
  Run(1, 5);
  Run(1, 10);
  EXPECT_EQ(Violations().front(), "s1-1 ran 2 times");
}

TEST_F(TrafficRecordTest, ARejectedRequestThatRanIsAViolationEvenIfItsSidecarWasKilled) {
  Complete({1, Outcome::kRefused, 0, 1, 20});
  Run(1, 5);
  record_.SidecarKilled(kSidecar, After(10));
  EXPECT_EQ(Violations().size(), 2U);
  EXPECT_EQ(Violations().front(), "s1-1 ran, and ended as 1");
}

TEST_F(TrafficRecordTest, ARequestToAnUpstreamThatDrainsIsAViolation) {
  record_.SidecarNotified(kSidecar, {true}, After(0));
  Complete({0, Outcome::kServed, 1051, 1051, 1060});
  Run(0, 1051);
  const std::vector<std::string> violations = Violations();
  ASSERT_EQ(violations.size(), 1U);
  EXPECT_TRUE(violations[0].starts_with("rule drain: ")) << violations[0];
}

}  // namespace
}  // namespace mothrack::testing
