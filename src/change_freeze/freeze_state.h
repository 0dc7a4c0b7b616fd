// The coordinator's state, which survives any minority of the voters: incidents, permits, and the glass that
// was broken. Its rules for permits are here; it is replicated as bytes (src/change_freeze/voter.h), and what
// is not committed does not count.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "change_freeze/agent_permits.h"
#include "change_freeze/conflicts.h"
#include "change_freeze/incidents.h"
#include "change_freeze/voter.h"

namespace mothrack::change_freeze {

inline constexpr std::size_t kMaxPermits = 16;
inline constexpr std::size_t kMaxBreakGlassRecords = 32;
// A footprint that names more instances tells its halls only.
inline constexpr std::size_t kMaxFootprintInstances = 256;
// Nobody asked about it for so long: its change is forgotten here; the fleet's lease keeps it open
// (src/rollout/lease.h).
inline constexpr Duration kPermitIdleTimeout{60'000};

struct Permit {
  std::string change{};
  ChangeKind kind = ChangeKind::kRestart;
  Footprint footprint{};
  std::string who{};
  std::set<std::uint64_t> remedies{};  // the incidents that it says it mends
  std::uint32_t batch = 0;             // the last that may begin
  PermitConfirmation::State state = PermitConfirmation::State::kRunning;
  std::string reason{};
  bool ended =
      false;  // done, withdrawn or followed by another kind: in force until no agent can have it any more
  TimePoint ended_at{};     // of `over`
  TimePoint last_polled{};  // for the last time
};

struct PermitRequest {
  std::string change{};
  ChangeKind kind = ChangeKind::kRestart;
  Footprint footprint{};
  std::string who{};
  std::set<std::uint64_t> remedies{};
  std::uint32_t batch = 0;
};

class FreezeState {
 public:
  Incidents incidents;

  // What the incidents say of a change, and which of them.
  struct Evaluation {
    Effect effect = Effect::kAllowed;
    std::string reason{};
  };
  Evaluation Evaluate(ChangeKind kind, const Footprint& footprint,
                      const std::set<std::uint64_t>& remedies) const;

  // Empty: its permit covers that batch now, once this state is committed; else why not, or not yet.
  std::string RequestPermit(const PermitRequest& wanted, TimePoint now);
  void EndPermit(const std::string& change, TimePoint now);
  // An agent confirms that it still wants the permit, and is told how it stands.
  PermitConfirmation ConfirmPermit(const std::string& change, TimePoint now);
  // Notes that an agent has; each is kept once, the latest kMostGlassKept.
  void RecordBreakGlass(const std::vector<BreakGlassRecord>& break_glass);
  // This state is committed, after `before`: until now agents were told that one, so what has ended counts
  // from now.
  void OnCommitted(const FreezeState& before, TimePoint now);
  // Time passes, incidents come and go: permits follow.
  void Reevaluate(TimePoint now);

  const std::vector<Permit>& permits() const { return permits_; }
  const std::vector<BreakGlassRecord>& break_glass() const { return break_glass_; }
  std::uint64_t LastBreakGlassOf(const std::string& agent) const;
  bool EqualIgnoringTimes(const FreezeState& other) const;

  std::string Encode(TimePoint now) const;
  // Times that end something begin anew. Nothing: these bytes are no ledger.
  static std::optional<FreezeState> Decode(const std::string& bytes, TimePoint now);

 private:
  void Terminate(Permit& permit, PermitConfirmation::State state, const std::string& reason, TimePoint now);
  std::vector<Permit> permits_;
  std::vector<BreakGlassRecord> break_glass_;
  std::map<std::string, std::uint64_t> last_break_glass_;  // by agent: the highest number of its glass
};

}  // namespace mothrack::change_freeze
