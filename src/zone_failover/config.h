// The thresholds and times of zone failover. All members of a fleet must have the same, or they come to
// different decisions from the same evidence. Shares are thousandths. Reasons: docs/design/zone_failover.md.
#pragma once

#include <cstddef>
#include <cstdint>

#include "zone_failover/types.h"

namespace mothrack::zone_failover {

struct FailoverConfig {
  // ---- Evidence and quorum ----

  // Older evidence is not used: it is sent each second and takes up to one and a half on its way.
  Duration max_evidence_age{3000};
  // Shares of the judges' weight that find a zone unresponsive: from the first on it is unavailable, from the
  // second on doubtful; up to the third it is an alternative for the load of another.
  int unavailable_threshold = 600, doubt_threshold = 333, alternative_threshold = 250;
  // A judge's weight is what it sent, cut so that no judge has more than one part in so many of all; judges
  // weigh the same where they are fewer.
  int judge_weight_divisor = 5;
  // A quorum has so many judges of so many zones, or all that there are.
  std::size_t min_judges = 3, min_judge_zones = 2;

  // ---- Drain ----

  // Share of the zone's load that moves at once, whatever the other zones are known to bear: what they bear
  // beyond is only known once it has been tried.
  int initial_shift = 250;
  // Further share moved by each step.
  int shift_step = 250;
  // Between two steps: two buckets of the window, so that late answers of the other zones have shown.
  Duration shift_interval{500};
  // No further step while more than this share of the other zones' outcomes is late or rejected.
  int late_threshold = 200;
  // A zone stays drained at least so long; from its third loss on twice as long each time, up to the second
  // figure. Losses are forgotten after the third.
  Duration min_drain_time{5000}, max_drain_time{60'000}, loss_memory{300'000};

  // ---- Recovery ----

  // Members that send probes to a drained zone, one call a second each.
  std::size_t probing_members = 3;
  // Steps from drained to active; each adds the same share.
  int recovery_steps = 4;
  // A step lasts at least so long: the window, and the most that two members differ by.
  Duration recovery_step_interval{2500};
  // Between two steps down, so that the first shows its effect.
  Duration step_down_interval{1000};
  // Answered calls within the window that prove a step: of the probes (none may fail), and of a recovery step
  // (9 of 10).
  std::uint32_t probe_successes = 4, step_successes = 20;
  // Different judges that must have got an answer.
  std::size_t min_success_judges = 2;

  // ---- Traffic ----

  // Share of a zone's peak that all members together may send to its cold upstreams in a second
  // (slow_start_initial_share x overload_multiple x the balancer's own safety factor).
  int slow_start_share = 150;
  // The most that a zone's share changes by in a second; only an unavailable zone goes to 0 at once.
  int share_ramp = 250;
  // A new member that got no state from any peer sends probes only to other zones for so long.
  Duration cautious_start{2000};
};

}  // namespace mothrack::zone_failover
