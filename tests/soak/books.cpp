#include "soak/books.h"

#include <algorithm>
#include <cstdio>

namespace mothrack::soak {
namespace {

constexpr const char* kPlanMark = "?plan=";

}  // namespace

std::string Plan::ToText() const {
  char text[128];
  std::snprintf(text, sizeof text, "%s%d.%d.%zu.%lld.%lld.%zu.%lld.%zu", kPlanMark, static_cast<int>(answer),
                static_cast<int>(framing), size, static_cast<long long>(delay.count()),
                static_cast<long long>(pause.count()), piece, static_cast<long long>(stall.count()),
                stall_after);
  return text;
}

std::optional<Plan> Plan::FromTarget(const std::string& target) {
  const auto at = target.find(kPlanMark);
  if (at == std::string::npos) return std::nullopt;
  int answer = 0;
  int framing = 0;
  long long delay = 0;
  long long pause = 0;
  long long stall = 0;
  Plan plan;
  const char* const text = target.c_str() + at;
  if (std::sscanf(text, "?plan=%d.%d.%zu.%lld.%lld.%zu.%lld.%zu", &answer, &framing, &plan.size, &delay,
                  &pause, &plan.piece, &stall, &plan.stall_after) != 8) {
    return std::nullopt;
  }
  plan.answer = static_cast<Answer>(answer);
  plan.framing = static_cast<Framing>(framing);
  plan.delay = Milliseconds(delay);
  plan.pause = Milliseconds(pause);
  plan.stall = Milliseconds(stall);
  return plan;
}

std::string BodyOf(const std::string& id, std::size_t size) {
  std::string body;
  body.reserve(size + id.size() + 16);
  for (std::size_t line = 0; body.size() < size; ++line) body += id + ':' + std::to_string(line) + ' ';
  body.resize(size);
  return body;
}

const char* NameOf(Rule rule) {
  switch (rule) {
    case Rule::kLost:
      return "lost";
    case Rule::kDuplicate:
      return "duplicate";
    case Rule::kDrain:
      return "drain";
    case Rule::kForeign:
      return "foreign bytes";
    case Rule::kUnsoundServed:
      return "unsound message served";
    case Rule::kCut:
      return "sound answer cut off";
    case Rule::kLeft:
      return "sent on after its client left";
    case Rule::kStalledClient:
      return "stalled client kept";
    case Rule::kProcess:
      return "process";
  }
  return "";
}

void Books::OnSent(const std::string& id, Effect effect, const Plan& plan, Milliseconds timeout) {
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[id];
  entry.effect = effect;
  entry.plan = plan;
  entry.sent = true;
  entry.sent_at = Clock::now();
  entry.due = entry.sent_at + timeout;
}

void Books::OnResult(const std::string& id, const Result& result) {
  const std::lock_guard lock(mutex_);
  entries_[id].results.push_back(result);
}

void Books::OnLeft(const std::string& id) {
  const std::lock_guard lock(mutex_);
  entries_[id].left_at = Clock::now();
}

void Books::OnSentAgain(const std::string& id) {
  const std::lock_guard lock(mutex_);
  entries_[id].again_at = Clock::now();
}

void Books::OnUnsound(const std::string& id) {
  const std::lock_guard lock(mutex_);
  entries_[id].unsound_at = Clock::now();
}

void Books::OnAnswering(const std::string& id) {
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[id];
  if (!entry.answering_at) entry.answering_at = Clock::now();
}

int Books::OnAttempt(const std::string& id, const std::string& uid, TimePoint at) {
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[id];
  entry.attempts.push_back(at);
  const auto drained = drained_at_.find(uid);
  if (drained != drained_at_.end() && at > drained->second + kDrainGrace + held_up_) {
    violations_.push_back({Rule::kDrain, id + " was sent to " + uid + " after it had drained"});
  }
  return static_cast<int>(entry.attempts.size()) - 1;
}

void Books::OnRun(const std::string& id, const std::string&) {
  const std::lock_guard lock(mutex_);
  ++entries_[id].runs;
}

void Books::OnBodyWritten(const std::string& id, std::size_t size) {
  if (size < kSubstantial) return;
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[id];
  if (!entry.substantial_at) entry.substantial_at = Clock::now();
}

void Books::OnBroken(const std::string& id) {
  const std::lock_guard lock(mutex_);
  entries_[id].broken = true;
}

void Books::OnDrain(const std::string& uid) {
  const std::lock_guard lock(mutex_);
  drained_at_.emplace(uid, Clock::now());
}

void Books::OnRestart(const std::string& uid) {
  const std::lock_guard lock(mutex_);
  drained_at_.erase(uid);
}

void Books::OnTermination(TimePoint kill_at) {
  const std::lock_guard lock(mutex_);
  kill_at_ = kill_at;
}

void Books::AddViolation(Rule rule, const std::string& trace) {
  const std::lock_guard lock(mutex_);
  violations_.push_back({rule, trace});
}

void Books::OnHeldUp(Milliseconds time) {
  const std::lock_guard lock(mutex_);
  held_up_ = std::max(held_up_, time);
}

std::size_t Books::requests() const {
  const std::lock_guard lock(mutex_);
  return entries_.size();
}

std::map<std::string, std::size_t> Books::outcomes() const {
  const std::lock_guard lock(mutex_);
  std::map<std::string, std::size_t> outcomes;
  for (const auto& [id, entry] : entries_) {
    for (const Result& result : entry.results) {
      const bool answered = result.kind == Result::Kind::kAnswered;
      const char* const other = result.kind == Result::Kind::kTruncated ? "truncated" : "none";
      ++outcomes[answered ? std::to_string(result.status) : other];
    }
  }
  return outcomes;
}

std::vector<Violation> Books::Violations() const {
  const std::lock_guard lock(mutex_);
  std::vector<Violation> violations = violations_;
  for (const auto& [id, entry] : entries_) Judge(id, entry, violations);
  return violations;
}

void Books::Judge(const std::string& id, const Entry& entry, std::vector<Violation>& violations) const {
  if (!entry.sent) return;
  if (entry.effect == Effect::kUnsafe && entry.runs > 1) {
    violations.push_back({Rule::kDuplicate, Trace(id, entry)});
  }
  for (const TimePoint attempt : entry.attempts) {
    const bool belongs_to_the_next = entry.again_at && attempt + kTick >= *entry.again_at;
    if (entry.left_at && !belongs_to_the_next && attempt > *entry.left_at + kLeaveGrace + held_up_) {
      violations.push_back({Rule::kLeft, Trace(id, entry)});
      break;
    }
  }
  for (const Result& result : entry.results) JudgeResult(id, entry, result, violations);
}

void Books::JudgeResult(const std::string& id, const Entry& entry, const Result& result,
                        std::vector<Violation>& violations) const {
  using Kind = Result::Kind;
  const auto add = [&](Rule rule) { violations.push_back({rule, Trace(id, entry)}); };
  if (result.kind == Kind::kIdleClose) return;
  if (!result.body_matches) return add(Rule::kForeign);
  // What makes a request unsound was there before an upstream wrote the end of its answer.
  const bool unsound_request =
      entry.unsound_at && (!entry.answering_at || *entry.unsound_at < *entry.answering_at);
  const bool served = result.kind == Kind::kAnswered && result.status == 200;
  if (served && (unsound_request || entry.plan.IsNeverSound())) return add(Rule::kUnsoundServed);
  if (result.kind == Kind::kNoAnswer) return add(Rule::kLost);
  if (result.at > entry.due + kAnswerSlack + held_up_) return add(Rule::kLost);
  const bool refused = result.kind == Kind::kAnswered && (result.status == 503 || result.status == 429);
  if (refused && entry.effect == Effect::kUnsafe && entry.runs > 0) return add(Rule::kDuplicate);
  if (!entry.plan.IsSound() || entry.broken || entry.unsound_at) return;
  if (kill_at_ && result.ended_at > *kill_at_ - kLastAnswers) return;
  // What the client got was decided shortly before its time at the latest.
  const TimePoint decided = std::min(result.at, entry.due) - Milliseconds(100) - held_up_;
  const bool was_substantial = entry.substantial_at && *entry.substantial_at < decided;
  const bool whole = result.kind == Kind::kAnswered && result.status == 200;
  if (result.kind == Kind::kTruncated || (!whole && was_substantial)) add(Rule::kCut);
}

std::string Books::Trace(const std::string& id, const Entry& entry) const {
  const auto since = [this](TimePoint at) {
    return std::to_string(std::chrono::duration_cast<Milliseconds>(at - begin_).count());
  };
  const char* const effect = entry.effect == Effect::kSafe    ? "safe"
                             : entry.effect == Effect::kKeyed ? "keyed"
                                                              : "unsafe";
  std::string text = id + ' ' + effect + ' ' + entry.plan.ToText() + " sent " + since(entry.sent_at) +
                     " due " + since(entry.due) + " attempts";
  for (const TimePoint attempt : entry.attempts) text += ' ' + since(attempt);
  text += " runs " + std::to_string(entry.runs);
  if (entry.unsound_at) text += " unsound " + since(*entry.unsound_at);
  if (entry.answering_at) text += " answering " + since(*entry.answering_at);
  if (entry.left_at) text += " left " + since(*entry.left_at);
  if (entry.again_at) text += " again " + since(*entry.again_at);
  if (entry.substantial_at) text += " 32 KiB written " + since(*entry.substantial_at);
  for (const Result& result : entry.results) {
    text += " result " + std::to_string(static_cast<int>(result.kind)) + '/' + std::to_string(result.status) +
            " at " + since(result.at);
  }
  return text;
}

}  // namespace mothrack::soak
