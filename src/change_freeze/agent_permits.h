// An agent's part in a freeze. It grants the lease of a change, and takes each of its steps, only while it
// has a permit that the coordinator of the highest term it knows has confirmed a short while ago; a word of
// an older term is refused however late it comes. So a freeze is in force at every agent within kPermitTime
// of its decision, also at one that nobody can tell: an agent counts from when it *asked*, and the
// coordinator answers only while its lease holds.
//
// With no coordinator nothing new begins and what runs holds. Break-glass is the operator's way past that, at
// this agent, for a while; it is written down first and told to the coordinator once there is one.
//
// A value, like src/rollout/lease.h: let a copy decide, make its record durable, keep the copy.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "change_freeze/conflicts.h"
#include "change_freeze/voter.h"
#include "rollout/types.h"

namespace mothrack::change_freeze {

// From a decision until no agent acts against it, by true time (the issue asks for 2 s): an agent's own count
// is shortened, so that a clock that runs slow stays within it.
inline constexpr Duration kPermitValidity{2000};
// How often an agent asks for one that is in use: three chances before it lapses.
inline constexpr Duration kPermitPollInterval{500};
// One rolling change takes as long at most; after it, somebody has to want it again.
inline constexpr Duration kBreakGlassDuration{600'000};
inline constexpr std::size_t kMaxUnreportedBreakGlass =
    32;  // not told yet; more are refused, as they would be lost

// What the coordinator says of one change.
struct PermitConfirmation {
  enum class State : std::uint8_t { kNone, kRunning, kPaused, kBlocked };
  Term term = 0;
  std::uint64_t version = 0;  // of the state that says so
  std::string change{};
  ChangeKind kind = ChangeKind::kRestart;
  State state = State::kNone;
  std::uint32_t batch = 0;  // the last that may begin
  std::string reason{};
};

struct BreakGlassRecord {
  std::uint64_t number = 0;  // of this agent's
  std::string agent{};
  std::string change{};
  std::string who{};
  std::string reason{};
  bool operator==(const BreakGlassRecord&) const = default;
};

struct PermitRecord {
  Term term = 0;  // the highest known
  std::uint64_t break_glass_count = 0;
  std::vector<BreakGlassRecord> unreported{};
  bool operator==(const PermitRecord&) const = default;
};

class AgentPermits {
 public:
  enum class Verdict : std::uint8_t {
    kAllowed,
    kBreakGlass,  // by break-glass
    kNone,        // the coordinator has given no permit
    kPaused,      // this batch does not begin
    kBlocked,
    kLapsed,  // not confirmed for too long: nobody leads, or it can't be reached
  };
  struct Decision {
    Verdict verdict = Verdict::kNone;
    std::string reason{};
    bool allowed() const { return verdict == Verdict::kAllowed || verdict == Verdict::kBreakGlass; }
  };

  AgentPermits(std::string agent, PermitRecord record)
      : agent_(std::move(agent)), record_(std::move(record)) {}

  // False: of an older term or state, and nothing has changed. `asked`: when this agent asked, of its clock.
  bool OnConfirmation(const PermitConfirmation& confirmation, TimePoint request_sent);
  // Nobody leads; `why` says who is missing.
  void OnLeaderless(const std::string& reason) { leaderless_ = reason; }
  // May the change's lease be granted (batch 0), or a step of its batch be taken, at this instant?
  Decision Check(const std::string& change, ChangeKind kind, std::uint32_t batch, TimePoint now) const;
  // Empty: done, once the record is durable; else why not.
  std::string BreakGlass(const std::string& change, const std::string& who, bool viewer,
                         const std::string& reason, TimePoint now);
  // The coordinator has the notes up to this number in its committed state.
  void OnBreakGlassReported(std::uint64_t number);

  const PermitRecord& record() const { return record_; }

 private:
  struct Confirmation {
    PermitConfirmation confirmation;
    TimePoint until;
  };
  std::string agent_;
  PermitRecord record_;
  std::uint64_t version_ = 0;                          // the highest heard of the term
  std::map<std::string, Confirmation> confirmations_;  // by change; of this process's life, like the rest
  std::map<std::string, TimePoint> break_glass_until_;
  std::string leaderless_;
};

}  // namespace mothrack::change_freeze
