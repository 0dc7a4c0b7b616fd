// Tests of the gossip task: whatever happens to it, the event loop's thread continues.
#include "gossip/task.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "gossip/task_fixture.h"
#include "gtest/gtest.h"

namespace mothrack::gossip {
namespace {

using namespace std::chrono_literals;

TEST(Task, TwoMembersDiscoverEachOtherAndExchangeValues) {
  const TaskDirectory directory;
  TaskClient a(directory, "a");
  TaskClient b(directory, "b", {a.task.local()});
  EXPECT_TRUE(Eventually([&] {
    return a.HasState("b", gossip::MemberState::kAlive) && b.HasState("a", gossip::MemberState::kAlive);
  }));
  a.task.Post(PutValueCommand{"load", "7", Duration(60'000)});
  EXPECT_TRUE(Eventually([&] {
    const MembershipSnapshot* snapshot = b.Latest();
    return !snapshot->values.empty() && snapshot->values[0].owner.name == "a" &&
           snapshot->values[0].bytes == "7";
  }));
  a.task.Post(LeaveCommand{});
  EXPECT_TRUE(a.task.Stop());
  EXPECT_TRUE(Eventually([&] { return b.HasState("a", gossip::MemberState::kLeft); }))
      << "a leave posted before the stop must be sent";
}

TEST(Task, AMemberThatStopsWithoutLeavingIsDead) {
  const TaskDirectory directory;
  TaskClient a(directory, "a");
  auto b = std::make_unique<TaskClient>(directory, "b", std::vector{a.task.local()});
  ASSERT_TRUE(Eventually([&] { return a.HasState("b", gossip::MemberState::kAlive); }));
  b.reset();
  EXPECT_TRUE(Eventually([&] { return a.HasState("b", gossip::MemberState::kDead); }));
}

TEST(Task, AStuckTaskNeitherBlocksTheLoopNorTheStop) {
  const TaskDirectory directory;
  const auto stuck = std::make_shared<std::atomic<bool>>(false);
  TaskClient a(directory, "a", {}, "keys", [stuck] {
    while (*stuck) std::this_thread::sleep_for(1ms);
  });
  ASSERT_TRUE(Eventually([&] { return a.Latest() != nullptr; }));
  *stuck = true;
  std::this_thread::sleep_for(1200ms);
  const Duration before = a.Age();
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < 1000; ++i) a.task.Post(PutValueCommand{"load", std::to_string(i), Duration(1000)});
  EXPECT_LT(std::chrono::steady_clock::now() - began, 100ms);
  EXPECT_GE(a.task.dropped(), 1000 - kMaxPendingCommands);
  std::this_thread::sleep_for(100ms);
  EXPECT_GT(a.Age(), before);
  EXPECT_FALSE(a.task.Stop());
  EXPECT_LT(std::chrono::steady_clock::now() - began, 1s);
  *stuck = false;
}

TEST(Task, AFailedTaskIsCountedAndTheLoopContinues) {
  const TaskDirectory directory;
  std::atomic<int> turns{0};
  TaskClient a(directory, "a", {}, "keys", [&] {
    if (++turns == 5) throw std::runtime_error("injected fault");
  });
  EXPECT_TRUE(Eventually([&] { return a.task.failures() == 1; }));
  a.task.Post(PutValueCommand{"load", "1", Duration(1000)});
  EXPECT_TRUE(a.task.Stop());
}

TEST(Task, DatagramsOfAnotherKeyAreRejectedUntilKeysAreReloaded) {
  const TaskDirectory directory;
  directory.WriteKeys("others", {'b'});
  TaskClient a(directory, "a");
  TaskClient b(directory, "b", {a.task.local()}, "others");
  EXPECT_TRUE(Eventually([&] { return a.Latest() != nullptr && a.Latest()->unauthenticated > 0; }));
  EXPECT_TRUE(a.Latest()->members.empty());
  // An invalid file changes nothing.
  directory.Write("others", "no key at all\n");
  b.task.ReloadKeys();
  std::this_thread::sleep_for(200ms);
  EXPECT_TRUE(a.Latest()->members.empty());
  directory.WriteKeys("others", {'a', 'b'});
  b.task.ReloadKeys();
  EXPECT_TRUE(Eventually([&] { return a.HasState("b", gossip::MemberState::kAlive); }));
}

TEST(Task, InvalidDatagramsAreCounted) {
  const TaskDirectory directory;
  TaskClient a(directory, "a");
  boost::asio::io_context io;
  boost::asio::ip::udp::socket stranger(io, boost::asio::ip::udp::v4());
  const boost::asio::ip::udp::endpoint to(a.task.local().address(), a.task.local().port());
  for (const std::size_t size : {0, 1, 40, 1200, 1201, 9000})
    stranger.send_to(boost::asio::buffer(std::string(size, 'x')), to);
  EXPECT_TRUE(Eventually([&] { return a.Latest() != nullptr && a.Latest()->unauthenticated == 6; }));
}

TEST(Task, StartErrorsNameTheCause) {
  const TaskDirectory directory;
  TaskClient a(directory, "a");
  const auto error = [](const Settings& settings, const std::string& name) {
    try {
      const Task task(settings, name);
    } catch (const TaskError& e) {
      return std::string(e.what());
    }
    return std::string("started");
  };
  Settings settings = FastSettings(directory);
  EXPECT_NE(error(settings, "no good name").find("not a valid member name"), std::string::npos);
  settings.listen = a.task.local();
  EXPECT_NE(error(settings, "b").find("Address already in use; free the address"), std::string::npos);
  settings = FastSettings(directory, {}, "none");
  EXPECT_NE(error(settings, "b").find(directory.File("none")), std::string::npos);
}

}  // namespace
}  // namespace mothrack::gossip
