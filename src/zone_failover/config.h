// The thresholds and times of zone failover. They must be the same at all members of a fleet; otherwise
// members reach different decisions from the same evidence. Shares are thousandths. Reasons:
// docs/design/zone_failover.md.
#pragma once

#include <cstddef>
#include <cstdint>

#include "zone_failover/types.h"

namespace mothrack::zone_failover {

struct FailoverConfig {
  // ---- Evidence and quorum ----

  // Older evidence is not used. Evidence is sent every second and takes up to 1.5 s to arrive.
  Duration max_evidence_age{3000};
  // A zone is unavailable if at least this share of its judges' weight finds it unresponsive.
  int unavailable_threshold = 600;
  // A zone is doubtful if at least this share does.
  int doubt_threshold = 333;
  // A zone may take another zone's load if at most this share of its judges' weight, and of its witnesses,
  // finds it unresponsive.
  int alternative_threshold = 250;
  // A judge's weight is the number of attempts it sent, capped so that no judge has more than
  // 1/judge_weight_divisor of the total. With fewer judges than that, all weigh the same.
  int judge_weight_divisor = 5;
  // Minimum number of judges for a quorum, and of the zones that they are in. If fewer exist, a quorum needs
  // all of them.
  std::size_t min_judges = 3;
  std::size_t min_judge_zones = 2;

  // ---- Drain ----

  // Minimum share of the zone's load that is shifted at once, even if the other zones are not known to have
  // that much spare capacity: capacity beyond what they have carried is only known once it has been tried.
  int initial_shift = 250;
  // Share that each further step shifts.
  int shift_step = 250;
  // Time between two steps: two buckets of the window, so that late answers of the other zones have become
  // visible.
  Duration shift_interval{500};
  // No further step while more than this share of the other zones' outcomes is late or rejected.
  int late_threshold = 200;
  // Minimum time for which a zone stays drained. From the third loss on it doubles with each loss, up to
  // max_drain_time. Losses are forgotten after loss_memory.
  Duration min_drain_time{5000};
  Duration max_drain_time{60'000};
  Duration loss_memory{300'000};

  // ---- Recovery ----

  // Number of members that send probes to a drained zone, one call per second each.
  std::size_t probing_members = 3;
  // Number of steps from drained to active; each adds the same share.
  int recovery_steps = 4;
  // Minimum duration of a step: the window plus the maximum time difference between two members.
  Duration recovery_step_interval{2500};
  // Time between two steps down, so that the first one shows its effect.
  Duration step_down_interval{1000};
  // Answered probes within the window that prove that a drained zone may recover (none may fail), and
  // answered calls that prove a recovery step (9 of 10 must succeed).
  std::uint32_t probe_successes = 4;
  std::uint32_t step_successes = 20;
  // Number of different judges that must have got an answer.
  std::size_t min_success_judges = 2;

  // ---- Traffic ----

  // Share of a zone's peak that all members together may send per second to its upstreams at the start of
  // their slow start (slow_start_initial_share x overload_multiple x the balancer's own safety factor).
  int slow_start_share = 150;
  // Maximum change of a zone's share per second. Only an unavailable zone drops to 0 at once.
  int share_ramp = 250;
  // A new member that received no state from any peer sends only probes to zones other than its own for this
  // time.
  Duration cautious_start{2000};
};

}  // namespace mothrack::zone_failover
