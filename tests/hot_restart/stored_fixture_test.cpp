// Tests the state and the file of bans as version 0.2.0 wrote them. The current version must read them
// completely and write the same bytes.
#include <gtest/gtest.h>

#include <sstream>

#include "hot_restart/state.h"
#include "support/fixtures.h"

namespace mothrack::hot_restart {
namespace {

using runtime::Duration;
using runtime::TimePoint;

const std::string kStateFile = MOTHRACK_FIXTURES "/state_lines.txt";
const std::string kBansFile = MOTHRACK_FIXTURES "/bans.json";

// The states that the fixtures were written from. The second one is that of a process that never received an
// endpoint list.
State FullState() {
  State state;
  state.bans = {"u-2", "u \"9\""};
  state.request_ids = {"9b1f", "0001", "5c0f"};
  state.quiescing = true;
  state.sockets = 37;
  state.starts = {{"u-1", 1'700'000'000'000, TimePoint(Duration(12'345'678))},
                  {"u-2", 1'700'000'000'500, TimePoint(Duration(-5))}};
  state.last_list = TimePoint(Duration(99'000'001));
  return state;
}

State StateWithoutList() {
  State state;
  state.request_ids = {"a"};
  return state;
}

void ExpectStart(const dispatch::ProcessStart& read, const dispatch::ProcessStart& written) {
  EXPECT_EQ(read.uid, written.uid);
  EXPECT_EQ(read.boot_ms, written.boot_ms);
  EXPECT_EQ(read.started, written.started);
}

void ExpectState(const State& read, const State& written) {
  EXPECT_EQ(read.bans, written.bans);
  EXPECT_EQ(read.request_ids, written.request_ids);
  EXPECT_EQ(read.quiescing, written.quiescing);
  EXPECT_EQ(read.sockets, written.sockets);
  EXPECT_EQ(read.last_list, written.last_list);
  ASSERT_EQ(read.starts.size(), written.starts.size());
  for (std::size_t i = 0; i < read.starts.size(); ++i) {
    ExpectStart(read.starts[i], written.starts[i]);
  }
}

TEST(StoredFixture, AStateOfVersion020IsReadCompletelyAndWrittenWithTheSameBytes) {
  std::istringstream lines(testing::ReadFixture(kStateFile));
  for (const State& written : {FullState(), StateWithoutList()}) {
    std::string line;
    ASSERT_TRUE(std::getline(lines, line));
    ExpectState(FromJson(nlohmann::json::parse(line)), written);
    EXPECT_EQ(ToJson(written).dump(), line);
  }
  EXPECT_EQ(lines.peek(), std::istringstream::traits_type::eof());
}

TEST(StoredFixture, BansOfVersion020AreReadCompletelyAndWrittenWithTheSameBytes) {
  runtime::Logger log("test");
  EXPECT_EQ(ReadBans(kBansFile, log), FullState().bans);
  const testing::FixtureDirectory directory;
  ASSERT_EQ(WriteBans(directory.File("bans"), FullState().bans), std::nullopt);
  EXPECT_EQ(testing::ReadFixture(directory.File("bans")), testing::ReadFixture(kBansFile));
}

}  // namespace
}  // namespace mothrack::hot_restart
