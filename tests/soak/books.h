// The books of a soak run: what each request was, who ran it, what its client got and when. They decide which
// rules of the deployment were broken. All functions may be called on any thread.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mothrack::soak {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

enum class Effect { kSafe, kKeyed, kUnsafe };

// What an upstream does with a request. The client draws it and sends it along in the target.
struct Plan {
  enum class Answer {
    kWhole,         // a sound answer, at the pace of the plan
    kInterim,       // the same, after interim responses
    kReset,         // the connection is reset instead of the first attempt's answer
    kMalformed,     // bytes that are no response
    kTruncated,     // the answer breaks off in its middle
    kNone,          // never answers
    kStalled,       // the answer stops in its middle, and the connection stays open
    kNotProcessed,  // turns the first attempt away
    kError,         // 500
    kReadsNothing,  // stops reading in the request's body
    kReadsSlowly,   // reads the request's body at 90 kB a second
    kCopyBehind,    // a sound answer and a second copy of it, in one write
    // Not sound, at each attempt (docs/design/message_rules.md). What follows the answer is in the same
    // write.
    kShortLength,  // the length is shorter than the body
    kNoiseBehind,  // the length is right, and noise follows
    kTwoLengths,   // two equal lengths
    kCodingInHttp10,
  };
  enum class Framing { kLength, kChunked, kClose };
  static constexpr int kAnswers = 16;
  static constexpr int kFramings = 3;

  Answer answer = Answer::kWhole;
  Framing framing = Framing::kLength;
  std::size_t size = 0;  // of the answer's body
  Milliseconds delay{};  // between head and body
  Milliseconds pause{};  // between pieces of the body
  std::size_t piece = 0;
  // The upstream stalls for this long once it has written this many bytes of the body, and then resumes.
  Milliseconds stall{};
  std::size_t stall_after = 0;

  bool IsSound() const {
    return answer == Answer::kWhole || answer == Answer::kInterim || answer == Answer::kCopyBehind;
  }
  // Whether no attempt's answer may be served.
  bool IsNeverSound() const { return answer >= Answer::kShortLength; }
  std::string ToText() const;
  // Reads the plan at the end of a target. Returns nothing if there is none.
  static std::optional<Plan> FromTarget(const std::string& target);
};

// The only body that a client may be served for a request.
std::string BodyOf(const std::string& id, std::size_t size);

// What a client got.
struct Result {
  enum class Kind { kAnswered, kTruncated, kNoAnswer, kIdleClose };
  Kind kind = Kind::kNoAnswer;
  unsigned status = 0;
  bool body_matches = true;
  TimePoint at;        // when the answer was complete; for a long 200, when its head had arrived
  TimePoint ended_at;  // when the last of it had arrived, or it broke off
};

enum class Rule {
  kLost,
  kDuplicate,
  kDrain,
  kForeign,
  kUnsoundServed,
  kCut,
  kLeft,
  kStalledClient,
  kProcess
};
const char* NameOf(Rule rule);

struct Violation {
  Rule rule{};
  std::string trace;
};

class Books {
 public:
  // How long after its time an answer may come, how long a drained upstream may be sent to, and how long
  // after its client left an attempt may begin: the figures of the protocol page.
  static constexpr Milliseconds kAnswerSlack{500};
  static constexpr Milliseconds kDrainGrace{550};
  static constexpr Milliseconds kLeaveGrace{100};
  // The kernel's time of an attempt is in ticks.
  static constexpr Milliseconds kTick{10};
  // What is decided so shortly before SIGKILL is decided by it: an answer that goes on would be lost.
  static constexpr Milliseconds kLastAnswers{250};

  // The client has written the last byte of a request.
  void OnSent(const std::string& id, Effect effect, const Plan& plan, Milliseconds timeout);
  void OnResult(const std::string& id, const Result& result);
  // The client has closed its connection without waiting for an answer.
  void OnLeft(const std::string& id);
  // The client that left sends the same request again on another connection.
  void OnSentAgain(const std::string& id);
  // The client has written, or is about to write, what makes its request unsound.
  void OnUnsound(const std::string& id);
  // An upstream is about to write the rest of an answer, without which it is not passed on.
  void OnAnswering(const std::string& id);
  // A request's head has reached an upstream at this time. Returns the number of attempts before.
  int OnAttempt(const std::string& id, const std::string& uid, TimePoint at);
  void OnRun(const std::string& id, const std::string& uid);
  // An upstream has written so much of a sound answer's body.
  void OnBodyWritten(const std::string& id, std::size_t size);
  // The upstream has reset the connection of a request that it had begun to answer.
  void OnBroken(const std::string& id);
  // Discovery has told the sidecar that this upstream drains or is gone.
  void OnDrain(const std::string& uid);
  void OnRestart(const std::string& uid);
  // The sidecar was sent SIGTERM, and will be killed at this time unless it ends before.
  void OnTermination(TimePoint kill_at);
  void AddViolation(Rule rule, const std::string& trace);
  // The longest time for which this process was held up; the bounds are extended by that.
  void OnHeldUp(Milliseconds time);

  std::size_t requests() const;
  std::map<std::string, std::size_t> outcomes() const;
  // All violations, after the end of the run.
  std::vector<Violation> Violations() const;

 private:
  struct Entry {
    Effect effect{};
    Plan plan;
    bool sent = false;
    TimePoint sent_at;
    TimePoint due;
    std::optional<TimePoint> unsound_at;    // when the client had written what makes its request unsound
    std::optional<TimePoint> answering_at;  // when an upstream first wrote the end of an answer
    std::optional<TimePoint> left_at;
    std::optional<TimePoint> again_at;
    std::vector<TimePoint> attempts;
    int runs = 0;
    bool broken = false;
    std::optional<TimePoint> substantial_at;  // when an upstream had written kSubstantial bytes of its body
    std::vector<Result> results;
  };
  // Enough of a sound answer that it must not be dropped at its client's time.
  static constexpr std::size_t kSubstantial = std::size_t{32} * 1024;

  void Judge(const std::string& id, const Entry& entry, std::vector<Violation>& violations) const;
  void JudgeResult(const std::string& id, const Entry& entry, const Result& result,
                   std::vector<Violation>& violations) const;
  std::string Trace(const std::string& id, const Entry& entry) const;

  mutable std::mutex mutex_;
  const TimePoint begin_ = Clock::now();
  std::map<std::string, Entry> entries_;
  std::map<std::string, TimePoint> drained_at_;
  std::vector<Violation> violations_;
  Milliseconds held_up_{};
  std::optional<TimePoint> kill_at_;
};

}  // namespace mothrack::soak
