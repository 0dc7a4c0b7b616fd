// Shared by tests of the discovery loop: a scripted source of endpoint lists, and the loop under test, run in
// the test's thread.
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

inline discovery::StalenessRules MakeRules(bool on_request, runtime::Duration drain) {
  return {on_request, drain, seconds(10)};
}

// The point in a call at which the source stops answering.
enum class StopPoint { kBeforeRead, kBeforeHeader, kInHeader, kInBody };
inline constexpr StopPoint kStopPoints[] = {StopPoint::kBeforeRead, StopPoint::kBeforeHeader,
                                            StopPoint::kInHeader, StopPoint::kInBody};

inline std::string OkResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string ListText(int revision) {
  return json{{"rev", revision}, {"all", true}, {"targets", json::array({Target("u1", "127.0.0.1:1")})}}.dump(
      2);
}

// A source of lists with one upstream, at a revision that the test sets. It holds watches until their wait is
// over or there is a newer revision. The test can make it leave a number of calls unanswered, or answer them
// with a given text.
class Source {
 public:
  struct Call {
    std::string target;
    runtime::TimePoint received;
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
    scripted_text_ = std::move(text);
    scripted_left_ = calls;
  }
  // Delays the answers to calls for a full list. Must be called before the first call.
  void DelayLists(runtime::Duration delay) { list_delay_ = delay; }
  void Publish(int revision) { revision_ = revision; }
  int unanswered() const { return unanswered_; }
  std::vector<Call> calls() const {
    const std::lock_guard lock(mutex_);
    return calls_;
  }

 private:
  enum class Reply { kAnswer, kNoAnswer, kScripted };

  // Records a call and returns how to answer it.
  Reply NextReply(const std::string& target) {
    const std::lock_guard lock(mutex_);
    calls_.push_back({target, runtime::Now()});
    if (unanswered_left_ > 0) return --unanswered_left_, Reply::kNoAnswer;
    if (scripted_left_ > 0) return --scripted_left_, Reply::kScripted;
    return Reply::kAnswer;
  }

  void Serve(Wire& wire) {
    while (const auto request = wire.ReadRequest()) {
      const std::string target(request->target());
      const Reply reply = NextReply(target);
      if (reply == Reply::kNoAnswer) return LeaveUnanswered(wire);
      if (reply == Reply::kScripted) {
        wire.Write(scripted_text_);
        return;
      }
      if (const auto at = target.find("index="); at != std::string::npos) {
        const int index = std::stoi(target.substr(at + 6));
        const auto until = runtime::Now() + milliseconds(std::stoi(target.substr(target.find("wait=") + 5)));
        while (revision_ <= index && runtime::Now() < until) std::this_thread::sleep_for(milliseconds(2));
      }
      const std::string list = OkResponse(ListText(revision_));
      // In the worst case a full list has the state at the start of the call, so the delay comes after.
      if (target.find("index=") == std::string::npos) std::this_thread::sleep_for(list_delay_);
      if (!wire.Write(list)) return;
    }
  }

  void LeaveUnanswered(Wire& wire) {
    const std::string text = OkResponse(ListText(revision_));
    const std::size_t header_size = text.find("\r\n\r\n") + 4;
    if (stop_point_ == StopPoint::kInHeader) wire.Write(text.substr(0, header_size / 2));
    if (stop_point_ == StopPoint::kInBody) wire.Write(text.substr(0, header_size + 10));
    ++unanswered_;
    wire.ReadsEnd();
  }

  mutable std::mutex mutex_;
  std::vector<Call> calls_;
  StopPoint stop_point_ = StopPoint::kBeforeHeader;
  std::string scripted_text_;
  runtime::Duration list_delay_{};
  int unanswered_left_ = 0;
  int scripted_left_ = 0;
  std::atomic<int> revision_{1};
  std::atomic<int> unanswered_{0};
  Peer peer_;
};

// The loop under test, run in the test's thread.
class LoopUnderTest {
 public:
  LoopUnderTest(const discovery::PollPolicy& policy, const runtime::Endpoint& endpoint)
      : discovery(io, endpoint, policy, 7, start_times_, log_, [this](dispatch::MembershipList list) {
          revision = static_cast<int>(list.revision);
          ++lists;
        }) {}

  // Runs the loop until `condition` is true. Returns false after `timeout`.
  bool RunUntil(const std::function<bool()>& condition, runtime::Duration timeout = seconds(20)) {
    const runtime::TimePoint end = runtime::Now() + timeout;
    while (!condition()) {
      if (runtime::Now() > end) return false;
      io.restart();
      io.run_one_for(milliseconds(2));
    }
    return true;
  }
  void RunFor(runtime::Duration time) {
    RunUntil([] { return false; }, time);
  }
  int LogLines() const {
    const std::string text = log_text_.str();
    return static_cast<int>(std::count(text.begin(), text.end(), '\n'));
  }

  int revision = 0;
  int lists = 0;
  boost::asio::io_context io;

 private:
  dispatch::StartTimes start_times_{runtime::ReadClocks()};
  std::ostringstream log_text_;
  runtime::Logger log_{"test", log_text_};

 public:
  discovery::Discovery discovery;
};

// Added to each bound, for a machine that is busy with other tests or sanitizers.
inline constexpr runtime::Duration kSlack = milliseconds(300);
inline constexpr runtime::Duration kDrain = milliseconds(500);

// The policy for a shared service, with short times.
inline discovery::PollPolicy ShortOnRequestPolicy() {
  discovery::PollPolicy policy = discovery::PollPolicy::For(MakeRules(true, kDrain));
  policy.watch_wait = milliseconds(300);
  policy.watch_timeout = milliseconds(100);
  policy.list_timeout = policy.retry_timeout = milliseconds(300);
  policy.fault_backoff = milliseconds(50);
  policy.max_retry_interval = milliseconds(500);
  policy.min_fault_interval = milliseconds(300);
  policy.answer_time = milliseconds(200);
  return policy;
}

// Expects that the intervals between calls, from call `from` on, are those of the policy for consecutive
// failures.
inline void ExpectRetryIntervals(const discovery::PollPolicy& policy, const std::vector<Source::Call>& calls,
                                 std::size_t from) {
  for (std::size_t i = from; i < calls.size(); ++i) {
    const runtime::Duration interval = calls[i].received - calls[i - 1].received;
    EXPECT_GE(interval, policy.retry_timeout - milliseconds(50))
        << i;  // the source records the time a little late
    EXPECT_LE(interval, policy.max_retry_interval + kSlack) << i;
    // Requests the changes since the known revision, without a watch.
    EXPECT_EQ(calls[i].target, "/discovery/hosts?index=1&wait=1") << i;
  }
}

}  // namespace mothrack
