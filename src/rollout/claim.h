// How a tool acquires the lease (src/rollout/lease.h) of many agents: it reads the highest epoch of every
// agent, takes the next one as its fencing token, and acquires the lease of one agent after the other, in the
// order of their names. Two tools that begin at the same instant thus meet at the first agent, and one of
// them stops there with nothing to release. Once it has all leases it opens its change at each agent.
//
// A state machine without I/O, driven by answers and by time. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rollout/lease.h"
#include "rollout/types.h"

namespace mothrack::rollout {

// What the claim wants sent to an agent.
struct ClaimCommand {
  enum class Kind { kReadEpoch, kAcquire, kOpen, kRelease };
  Kind kind = Kind::kReadEpoch;
  std::string agent;
  Epoch epoch = 0;
};

class Claim {
 public:
  // `claim_id`: as in Holder, of this claim alone. `agents`: all of the fleet. `required`: those that the
  // change touches; a majority of all is required besides. An agent that does not answer within `timeout`
  // counts as unreachable.
  // `resuming`: the change was opened before; it must still be open somewhere, or it has come to an end
  // meanwhile.
  Claim(std::string claim_id, std::set<std::string> agents, std::set<std::string> required, bool resuming,
        Duration timeout, TimePoint now);

  void OnHighestEpoch(const std::string& agent, Epoch highest);
  // The answer to kAcquire or kOpen. `claim_id`: of the request that it answers; `holder`: who has the lease
  // instead; `open`: whether this change is open at the agent.
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
  // Why it was not granted; empty while that is open. Everything that was granted is released.
  const std::string& rejection() const { return rejection_; }

 private:
  // Reads the highest epochs and chooses the claim's own; false while it waits for them, or rejected the
  // claim.
  bool CollectEpochs(TimePoint now, std::vector<ClaimCommand>& commands);
  // Sends the current agent its request, and again where no answer came.
  void RequestNextAgent(TimePoint now, std::vector<ClaimCommand>& commands);
  bool HasQuorum(const std::set<std::string>& agents) const;
  void Reject(const std::string& why, std::vector<ClaimCommand>& commands);
  std::string MissingFrom(const std::set<std::string>& agents) const;

  const std::string claim_id_;
  const std::set<std::string> agents_;
  const std::set<std::string> required_;
  const bool resuming_;
  const Duration timeout_;
  TimePoint request_started_at_;   // when the current request was first sent
  TimePoint last_sent_at_;         // when it was sent last
  bool epochs_requested_ = false;  // kReadEpoch was sent
  std::map<std::string, Epoch> highest_by_agent_;
  Epoch epoch_ = 0;  // 0: not chosen yet
  std::vector<std::string> claim_order_;
  std::size_t next_agent_ = 0;  // in `claim_order_`: whose answer is awaited, or who gets the next request
  bool request_pending_ = false;
  bool opening_ = false;              // all are claimed
  std::set<std::string> granted_by_;  // claimed or, once opening, opened
  std::optional<TimePoint> first_request_at_;
  std::optional<Granted> granted_;
  std::string rejection_;
  bool open_at_any_agent_ = false;
  std::string fault_;  // why an agent did not grant it; Tick() rejects the claim for it
};

}  // namespace mothrack::rollout
