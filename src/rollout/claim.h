// A tool's claim of the lease (src/rollout/lease.h) of many agents. It reads the highest epoch of every
// agent, takes the next one as its fencing token, and acquires the lease of one agent after the other, in the
// order of their names. So two tools that start at the same time meet at the first agent, and one of them
// stops there with nothing to release. Once the claim has all leases, it opens its change at each agent.
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

// A request for the caller to send to an agent.
struct ClaimCommand {
  enum class Kind { kReadEpoch, kAcquire, kOpen, kRelease };
  Kind kind = Kind::kReadEpoch;
  std::string agent;
  Epoch epoch = 0;
};

class Claim {
 public:
  // `claim_id`: Holder::claim_id, unique to this claim. `agents`: all agents of the fleet. `required`: those
  // that the change touches; a majority of all agents is required as well. An agent that does not answer
  // within `timeout` counts as unreachable. `resuming`: the change was opened before; if it is no longer open
  // at any agent, it has ended in the meantime and the claim is rejected.
  Claim(std::string claim_id, std::set<std::string> agents, std::set<std::string> required, bool resuming,
        Duration timeout, TimePoint now);

  void OnHighestEpoch(const std::string& agent, Epoch highest);
  // Handles the answer to kAcquire or kOpen. `claim_id`: of the answered request. `holder`: the current
  // holder if the lease was refused. `open`: whether this change is open at the agent.
  void OnLeaseAnswer(const std::string& claim_id, const std::string& agent, Epoch epoch,
                     Lessor::Verdict verdict, const std::optional<Holder>& holder, bool open);

  // Appends the requests that are due. Call it after each of the functions above, and at least every
  // kTickInterval.
  static constexpr Duration kTickInterval{100};
  void Tick(TimePoint now, std::vector<ClaimCommand>& commands);

  struct Granted {
    Epoch epoch = 0;
    TimePoint since;  // no agent granted the lease before this
  };
  // std::nullopt until the change is open at a majority of all agents, including all required ones.
  const std::optional<Granted>& granted() const { return granted_; }
  // Why the claim was rejected; empty while it is undecided or if it was granted. The Tick() that
  // rejects a claim also releases its leases.
  const std::string& rejection() const { return rejection_; }

 private:
  // Reads the highest epochs and chooses the claim's own. Returns false while it waits for answers, or after
  // it rejected the claim.
  bool CollectEpochs(TimePoint now, std::vector<ClaimCommand>& commands);
  // Sends the current agent its request, and repeats it while there is no answer.
  void RequestNextAgent(TimePoint now, std::vector<ClaimCommand>& commands);
  // Whether `agents` are a majority of all and include all required ones.
  bool HasQuorum(const std::set<std::string>& agents) const;
  void Reject(const std::string& reason, std::vector<ClaimCommand>& commands);
  // Lists the agents of the fleet that are not in `agents`.
  std::string MissingFrom(const std::set<std::string>& agents) const;

  const std::string claim_id_;
  const std::set<std::string> agents_;
  const std::set<std::string> required_;
  const bool resuming_;
  const Duration timeout_;
  TimePoint request_started_at_;   // when the current request was first sent
  TimePoint last_sent_at_;         // when it was last sent
  bool epochs_requested_ = false;  // kReadEpoch was sent
  std::map<std::string, Epoch> highest_by_agent_;
  Epoch epoch_ = 0;  // 0: not chosen yet
  std::vector<std::string> claim_order_;
  // Index in `claim_order_` of the agent whose answer is awaited or that gets the next request.
  std::size_t next_agent_ = 0;
  bool request_pending_ = false;
  bool opening_ = false;              // all leases are acquired; the change is being opened
  std::set<std::string> granted_by_;  // agents that granted kAcquire or, while opening, kOpen
  std::optional<TimePoint> first_request_at_;
  std::optional<Granted> granted_;
  std::string rejection_;
  bool open_at_any_agent_ = false;
  std::string fault_;  // why an agent refused; the next Tick() rejects the claim
};

}  // namespace mothrack::rollout
