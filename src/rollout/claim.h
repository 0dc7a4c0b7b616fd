// A tool's way to the lease (src/rollout/lease.h): it asks every agent for the highest epoch, takes the next
// one, and then claims the agents one after the other in the order of their names. Two tools that begin at
// the same instant thus meet at the first agent, and one of them stops there with nothing to give back. With
// all of them it opens its change there.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rollout/lease.h"
#include "rollout/types.h"

namespace mothrack::rollout {

struct ClaimCommand {
  enum class Kind { kLook, kAcquire, kOpen, kRelease };
  Kind kind = Kind::kLook;
  std::string agent;
  Epoch epoch = 0;
};

class Claim {
 public:
  // `agents`: all of the fleet. `needed`: those that the change touches; a majority of all is needed besides.
  // An agent that does not answer within `patience` counts as not to be reached.
  // `tool`: as in Holder, of this claim alone.
  // `resumes`: the change was opened before; it must still be open somewhere, or it has come to an end
  // meanwhile.
  Claim(std::string tool, std::set<std::string> agents, std::set<std::string> needed, bool resumes,
        Duration patience, TimePoint now);

  void Looked(const std::string& agent, Epoch highest);
  // Of kAcquire and kOpen alike; `tool`: whose question is answered; `holder`: who is in the way; `open`:
  // this change is, there.
  void Answered(const std::string& tool, const std::string& agent, Epoch epoch, LeaseBook::Verdict verdict,
                const std::optional<Holder>& holder, bool open);

  // Call it after each of the above, and at least every kTurn.
  static constexpr Duration kTurn{100};
  void Turn(TimePoint now, std::vector<ClaimCommand>& commands);

  struct Granted {
    Epoch epoch = 0;
    TimePoint since;  // no agent granted it earlier
  };
  const std::optional<Granted>& granted() const { return granted_; }
  // Why it was not; everything that was granted is given back.
  const std::string& refused() const { return refused_; }

 private:
  bool Looking(TimePoint now, std::vector<ClaimCommand>& commands);
  void Ask(TimePoint now, std::vector<ClaimCommand>& commands);
  bool Enough(const std::set<std::string>& agents) const;
  void Refuse(const std::string& why, std::vector<ClaimCommand>& commands);
  std::string Missing(const std::set<std::string>& agents) const;

  const std::string tool_;
  const std::set<std::string> agents_;
  const std::set<std::string> needed_;
  const bool resumes_;
  const Duration patience_;
  TimePoint since_;       // of the question that is out
  TimePoint again_;       // when it was put last
  bool looking_ = false;  // the first question is out
  std::map<std::string, Epoch> looked_;
  Epoch epoch_ = 0;  // 0: not chosen yet
  std::vector<std::string> order_;
  std::size_t next_ = 0;  // in `order_`: asked, or about to be
  bool asked_ = false;
  bool opening_ = false;       // all are claimed
  std::set<std::string> got_;  // claimed or, once opening, opened
  std::optional<TimePoint> first_asked_;
  std::optional<Granted> granted_;
  std::string refused_;
  bool open_somewhere_ = false;
  std::string fault_;  // for the next turn
};

}  // namespace mothrack::rollout
