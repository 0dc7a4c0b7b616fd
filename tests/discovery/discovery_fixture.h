// What tests of the discovery loop share: a scripted source of endpoint lists, and the loop run in this
// thread.
#pragma once

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "discovery/discovery.h"
#include "discovery/endpoint_staleness.h"
#include "gtest/gtest.h"
#include "standins/peers.h"

namespace mothrack {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Peer;
using testing::Target;
using testing::Wire;

inline discovery::StalenessRules Rules(bool on_request, runtime::Duration drain) {
  return {on_request, drain, seconds(10)};
}

// Where in a call the source stops to answer.
enum class StopPoint { kBeforeItIsRead, kBeforeTheHead, kInTheHead, kInTheBody };
inline constexpr StopPoint kStopPoints[] = {StopPoint::kBeforeItIsRead, StopPoint::kBeforeTheHead,
                                            StopPoint::kInTheHead, StopPoint::kInTheBody};

inline std::string OkResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string ListText(int revision) {
  return json{{"rev", revision}, {"all", true}, {"targets", json::array({Target("u1", "127.0.0.1:1")})}}.dump(
      2);
}

// A source of lists of one upstream, at a revision that the test sets. It holds watches until their wait is
// over or there is a newer revision; of the next calls it leaves some unanswered, or answers them with a
// text.
class Source {
 public:
  struct Seen {
    std::string target;
    runtime::TimePoint at;
  };
  Source() : peer_([this](Wire& wire, int) { Serve(wire); }) {}

  runtime::Endpoint endpoint() const { return *runtime::ParseEndpoint(peer_.address()); }
  void StopAnswering(StopPoint stop_point, int calls) {
    const std::lock_guard lock(mutex_);
    stop_point_ = stop_point;
    unanswered_left_ = calls;
  }
  void AnswerWith(std::string text, int calls) {
    const std::lock_guard lock(mutex_);
    text_ = std::move(text);
    scripted_left_ = calls;
  }
  // Before the first call.
  void DelayLists(runtime::Duration delay) { list_delay_ = delay; }
  void Publish(int revision) { revision_ = revision; }
  int unanswered() const { return unanswered_; }
  std::vector<Seen> seen() const {
    const std::lock_guard lock(mutex_);
    return seen_;
  }

 private:
  enum class Reply { kAnswer, kNoAnswer, kScripted };

  Reply Next(const std::string& target) {
    const std::lock_guard lock(mutex_);
    seen_.push_back({target, runtime::Now()});
    if (unanswered_left_ > 0) return --unanswered_left_, Reply::kNoAnswer;
    if (scripted_left_ > 0) return --scripted_left_, Reply::kScripted;
    return Reply::kAnswer;
  }

  void Serve(Wire& wire) {
    while (const auto request = wire.ReadRequest()) {
      const std::string target(request->target());
      const Reply reply = Next(target);
      if (reply == Reply::kNoAnswer) return LeaveUnanswered(wire);
      if (reply == Reply::kScripted) {
        wire.Write(text_);
        return;
      }
      if (const auto at = target.find("index="); at != std::string::npos) {
        const int index = std::stoi(target.substr(at + 6));
        const auto until = runtime::Now() + milliseconds(std::stoi(target.substr(target.find("wait=") + 5)));
        while (revision_ <= index && runtime::Now() < until) std::this_thread::sleep_for(milliseconds(2));
      }
      const std::string list = OkResponse(ListText(revision_));
      // A full list says what was so when it was begun: the worst case.
      if (target.find("index=") == std::string::npos) std::this_thread::sleep_for(list_delay_);
      if (!wire.Write(list)) return;
    }
  }

  void LeaveUnanswered(Wire& wire) {
    const std::string text = OkResponse(ListText(revision_));
    const std::size_t head = text.find("\r\n\r\n") + 4;
    if (stop_point_ == StopPoint::kInTheHead) wire.Write(text.substr(0, head / 2));
    if (stop_point_ == StopPoint::kInTheBody) wire.Write(text.substr(0, head + 10));
    ++unanswered_;
    wire.ReadsEnd();
  }

  mutable std::mutex mutex_;
  std::vector<Seen> seen_;
  StopPoint stop_point_ = StopPoint::kBeforeTheHead;
  std::string text_;
  runtime::Duration list_delay_{};
  int unanswered_left_ = 0;
  int scripted_left_ = 0;
  std::atomic<int> revision_{1};
  std::atomic<int> unanswered_{0};
  Peer peer_;
};

// The loop under test, run in this thread.
class LoopUnderTest {
 public:
  LoopUnderTest(const discovery::PollPolicy& policy, const runtime::Endpoint& endpoint)
      : discovery(io, endpoint, policy, 7, start_times_, log_, [this](dispatch::MembershipList list) {
          revision = static_cast<int>(list.revision);
          ++lists;
        }) {}

  bool Until(const std::function<bool()>& condition, runtime::Duration timeout = seconds(20)) {
    const runtime::TimePoint end = runtime::Now() + timeout;
    while (!condition()) {
      if (runtime::Now() > end) return false;
      io.restart();
      io.run_one_for(milliseconds(2));
    }
    return true;
  }
  void For(runtime::Duration time) {
    Until([] { return false; }, time);
  }
  int LogLines() const {
    const std::string text = text_.str();
    return static_cast<int>(std::count(text.begin(), text.end(), '\n'));
  }

  int revision = 0;
  int lists = 0;
  boost::asio::io_context io;

 private:
  dispatch::StartTimes start_times_{runtime::ReadClocks()};
  std::ostringstream text_;
  runtime::Logger log_{"test", text_};

 public:
  discovery::Discovery discovery;
};

// Beyond the bound, for a machine that is busy with other tests and sanitizers.
inline constexpr runtime::Duration kSlack = milliseconds(300);
inline constexpr runtime::Duration kDrain = milliseconds(500);

inline discovery::PollPolicy ShortOnRequestPolicy() {
  discovery::PollPolicy policy = discovery::PollPolicy::For(Rules(true, kDrain));
  policy.watch_wait = milliseconds(300);
  policy.watch_timeout = milliseconds(100);
  policy.list_timeout = policy.retry_timeout = milliseconds(300);
  policy.fault_backoff = milliseconds(50);
  policy.max_retry_interval = milliseconds(500);
  policy.min_fault_interval = milliseconds(300);
  policy.answer_time = milliseconds(200);
  return policy;
}

// From call `from` on the intervals between calls are those that the policy has for a run of failures.
inline void ExpectRetryIntervals(const discovery::PollPolicy& policy, const std::vector<Source::Seen>& seen,
                                 std::size_t from) {
  for (std::size_t i = from; i < seen.size(); ++i) {
    const runtime::Duration gap = seen[i].at - seen[i - 1].at;
    EXPECT_GE(gap, policy.retry_timeout - milliseconds(50)) << i;  // the source notes the time a little late
    EXPECT_LE(gap, policy.max_retry_interval + kSlack) << i;
    EXPECT_EQ(seen[i].target, "/discovery/hosts?index=1&wait=1") << i;  // of the held revision, and no watch
  }
}

}  // namespace mothrack
