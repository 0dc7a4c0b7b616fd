// The coordinator's state, which survives any minority of the voters: incidents, permits, and the glass that
// was broken. Its rules for permits are here; it is replicated as bytes (src/change_freeze/voter.h), and what
// is not committed does not count.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "change_freeze/conflicts.h"
#include "change_freeze/incidents.h"
#include "change_freeze/permits.h"
#include "change_freeze/voter.h"

namespace mothrack::change_freeze {

inline constexpr std::size_t kMostPermits = 16;
inline constexpr std::size_t kMostGlassKept = 32;
// A footprint that names more instances tells its halls only.
inline constexpr std::size_t kMostInstances = 256;
// Nobody asked about it for so long: its change is forgotten here; the fleet's lease keeps it open
// (src/rollout/lease.h).
inline constexpr Duration kPermitIdle{60'000};

struct Permit {
  std::string change{};
  ChangeKind kind = ChangeKind::kRestart;
  Footprint footprint{};
  std::string who{};
  std::set<std::uint64_t> remedies{};  // the incidents that it says it mends
  std::uint32_t batch = 0;             // the last that may begin
  Word::State state = Word::State::kRunning;
  std::string why{};
  bool over =
      false;  // done, withdrawn or followed by another kind: in force until no agent can have it any more
  TimePoint since{};  // of `over`
  TimePoint asked{};  // for the last time
};

struct PermitAsk {
  std::string change{};
  ChangeKind kind = ChangeKind::kRestart;
  Footprint footprint{};
  std::string who{};
  std::set<std::uint64_t> remedies{};
  std::uint32_t batch = 0;
};

class Ledger {
 public:
  Incidents incidents;

  // What the incidents say of a change, and which of them.
  struct Judgement {
    Effect effect = Effect::kAllowed;
    std::string why{};
  };
  Judgement Judge(ChangeKind kind, const Footprint& footprint, const std::set<std::uint64_t>& remedies) const;

  // Empty: its permit covers that batch now, once this state is committed; else why not, or not yet.
  std::string Ask(const PermitAsk& wanted, TimePoint now);
  void Done(const std::string& change, TimePoint now);
  // An agent confirms that it still wants the permit, and is told how it stands.
  Word Confirm(const std::string& change, TimePoint now);
  // Notes that an agent has; each is kept once, the latest kMostGlassKept.
  void Broken(const std::vector<Glass>& glass);
  // This state is committed, after `before`: until now agents were told that one, so what has ended counts
  // from now.
  void Committed(const Ledger& before, TimePoint now);
  // Time passes, incidents come and go: permits follow.
  void Settle(TimePoint now);

  const std::vector<Permit>& permits() const { return permits_; }
  const std::vector<Glass>& glass() const { return glass_; }
  std::uint64_t GlassOf(const std::string& agent) const;
  bool Alike(const Ledger& other) const;

  std::string Pack(TimePoint now) const;
  // Times that end something begin anew. Nothing: these bytes are no ledger.
  static std::optional<Ledger> Unpack(const std::string& bytes, TimePoint now);

 private:
  void End(Permit& permit, Word::State state, const std::string& why, TimePoint now);
  std::vector<Permit> permits_;
  std::vector<Glass> glass_;
  std::map<std::string, std::uint64_t> told_;  // by agent: the highest number of its glass
};

}  // namespace mothrack::change_freeze
