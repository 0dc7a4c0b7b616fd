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
  enum class Kind { kReadEpoch, kAcquire, kOpen, kRelease };
  Kind kind = Kind::kReadEpoch;
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
  Claim(std::string claim_id, std::set<std::string> agents, std::set<std::string> required, bool resuming,
        Duration timeout, TimePoint now);

  void OnHighestEpoch(const std::string& agent, Epoch highest);
  // Of kAcquire and kOpen alike; `tool`: whose question is answered; `holder`: who is in the way; `open`:
  // this change is, there.
  void OnLeaseAnswer(const std::string& claim_id, const std::string& agent, Epoch epoch,
                     Lessor::Verdict verdict, const std::optional<Holder>& holder, bool open);

  // Call it after each of the above, and at least every kTickInterval.
  static constexpr Duration kTickInterval{100};
  void Tick(TimePoint now, std::vector<ClaimCommand>& commands);

  struct Granted {
    Epoch epoch = 0;
    TimePoint since;  // no agent granted it earlier
  };
  const std::optional<Granted>& granted() const { return granted_; }
  // Why it was not; everything that was granted is given back.
  const std::string& rejection() const { return rejection_; }

 private:
  bool CollectEpochs(TimePoint now, std::vector<ClaimCommand>& commands);
  void AskNextAgent(TimePoint now, std::vector<ClaimCommand>& commands);
  bool HasQuorum(const std::set<std::string>& agents) const;
  void Reject(const std::string& why, std::vector<ClaimCommand>& commands);
  std::string MissingFrom(const std::set<std::string>& agents) const;

  const std::string claim_id_;
  const std::set<std::string> agents_;
  const std::set<std::string> required_;
  const bool resuming_;
  const Duration timeout_;
  TimePoint request_started_at_;   // of the question that is out
  TimePoint last_sent_at_;         // when it was put last
  bool epochs_requested_ = false;  // the first question is out
  std::map<std::string, Epoch> highest_by_agent_;
  Epoch epoch_ = 0;  // 0: not chosen yet
  std::vector<std::string> claim_order_;
  std::size_t next_agent_ = 0;  // in `claim_order_`: asked, or about to be
  bool request_pending_ = false;
  bool opening_ = false;              // all are claimed
  std::set<std::string> granted_by_;  // claimed or, once opening, opened
  std::optional<TimePoint> first_request_at_;
  std::optional<Granted> granted_;
  std::string rejection_;
  bool open_at_any_agent_ = false;
  std::string fault_;  // for the next turn
};

}  // namespace mothrack::rollout
